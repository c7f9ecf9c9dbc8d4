package usagereporter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// silentFor has the table answer nobody for that long.
func silentFor(f *testFleet, d time.Duration) {
	f.table.set(func() { f.table.silent = true })
	time.Sleep(d)
	f.table.set(func() { f.table.silent = false })
}

// withoutTraffic gives a process no more requests, and returns once the others have all its counts.
func withoutTraffic(p *process) *process {
	p.set(func() { p.withoutTraffic = true })
	time.Sleep(7 * time.Second)
	return p
}

// Usage of windows is missed although the platform takes reports: the table that holds the lease is silent
// to all or to the holder. Or two holders report during or after it, with other counts, as the holder is
// killed, suspended or told to leave meanwhile. One message in five is lost.
func TestReportsGoOnWhileTheTableIsSilent(t *testing.T) {
	for name, test := range map[string]struct {
		fault  func(f *testFleet)
		missed int
	}{
		"4 s":                                   {fault: func(f *testFleet) { silentFor(f, 4*time.Second) }},
		"8 s":                                   {fault: func(f *testFleet) { silentFor(f, 8*time.Second) }},
		"10 s":                                  {fault: func(f *testFleet) { silentFor(f, 10*time.Second) }},
		"longer than the lease can be extended": {fault: func(f *testFleet) { silentFor(f, 30*time.Second) }, missed: 3},
		"to the holder only": {fault: func(f *testFleet) {
			name := f.holder().name
			f.table.set(func() { f.table.silentTo = name })
			time.Sleep(30 * time.Second)
			f.table.set(func() { f.table.silentTo = "" })
		}, missed: 1},
		"a witness is killed": {fault: func(f *testFleet) {
			withoutTraffic(f.running()[4]).kill()
			silentFor(f, 10*time.Second)
		}},
		"the holder is killed": {fault: func(f *testFleet) {
			p := withoutTraffic(f.holder())
			go func() { time.Sleep(6 * time.Second); p.kill() }()
			silentFor(f, 8*time.Second)
		}},
		"the holder is suspended": {fault: func(f *testFleet) {
			p := withoutTraffic(f.holder())
			go func() {
				time.Sleep(4 * time.Second)
				p.set(func() { p.suspended = make(chan struct{}) })
				time.Sleep(6 * time.Second)
				p.set(func() { close(p.suspended); p.suspended = nil })
			}()
			silentFor(f, 8*time.Second)
		}, missed: 1},
		"the holder leaves": {fault: func(f *testFleet) {
			go func() { time.Sleep(2 * time.Second); f.holder().reporter.Leave() }()
			silentFor(f, 8*time.Second)
		}},
		"neither table nor platform": {fault: func(f *testFleet) {
			f.sink.set(func() { f.sink.down = true })
			silentFor(f, 6*time.Second)
			f.sink.set(func() { f.sink.down = false })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, test.fault, func(t *testing.T, f *testFleet) {
				checkInvariants(t, f)
				checkReports(t, f, 0, test.missed)
			}, func(f *testFleet) { f.witnessed = true })
		})
	}
}

// Two reports of one window with different counts: the holder sends a report that the table does not have,
// since it is silent, and is killed at once. Its successor has received further counts since.
func TestSuccessorSendsWhatWitnessesKeep(t *testing.T) {
	var window int64
	fault := func(f *testFleet) {
		f.table.set(func() { f.table.silent = true })
		time.Sleep(4 * time.Second)
		f.sink.set(func() { f.sink.loseReplies = 1000 })
		sent := len(f.sink.calls)
		for end := time.Now().Add(12 * time.Second); window == 0 && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
			f.sink.set(func() {
				if len(f.sink.calls) > sent {
					window = f.sink.calls[sent].report.Window
				}
			})
		}
		f.holder().kill()
		for _, p := range f.running() {
			p.ledger.Merge(carawayspread.UsageStatement{
				Process: 99, Window: window, Closed: true, Total: 7,
				Counts: []carawayspread.UsageCount{{Workspace: carawayspread.IDOfWorkspace("a"), Requests: 7}},
			})
		}
		f.table.set(func() { f.table.silent = false })
	}
	runFleet(t, fault, func(t *testing.T, f *testFleet) {
		checkInvariants(t, f)
		holders := map[string]bool{}
		for _, c := range f.sink.calls {
			if c.report.Window == window {
				holders[c.holder] = true
			}
		}
		qt.Assert(t, window, qt.Not(qt.Equals), int64(0), qt.Commentf("nothing was sent in the silence"))
		qt.Check(t, holders, qt.HasLen, 2)
	}, func(f *testFleet) { f.witnessed = true })
}
