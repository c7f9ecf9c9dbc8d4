package peers

import (
	"context"
	"fmt"
	"net/netip"
	"reflect"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// fakeCrashTracker reports some crashes and has a verdict on those of peers.
type fakeCrashTracker struct {
	reports []carawayspread.CrashReport
	verdict carawayspread.CrashVerdict

	mu      sync.Mutex
	learned []carawayspread.CrashReport
}

func (t *fakeCrashTracker) Reports() []carawayspread.CrashReport { return t.reports }

func (t *fakeCrashTracker) LearnCrash(r carawayspread.CrashReport) carawayspread.CrashVerdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learned = append(t.learned, r)
	return t.verdict
}

func (t *fakeCrashTracker) learnedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.learned)
}

// crashReceiver keeps the crashes and withdrawals that arrive.
type crashReceiver struct {
	receiver
	crashes chan Crash
}

func (r *crashReceiver) RecordCrash(c Crash) { r.crashes <- c }

// member is one process of a fleet of sockets.
type member struct {
	socket   *Socket
	crashes  *fakeCrashTracker
	refusals *fakeTracker
	receiver *crashReceiver
}

func startMember(ctx context.Context, t *testing.T, seeds []string, crashes *fakeCrashTracker) *member {
	t.Helper()
	s, err := Listen("127.0.0.1:0", seeds, carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Close)
	m := &member{socket: s, crashes: crashes, refusals: &fakeTracker{socket: s}, receiver: &crashReceiver{crashes: make(chan Crash, 64)}}
	s.SetStatusFunc(func() carawayspread.PeerStatus { return carawayspread.PeerStatus{Zone: "z"} })
	s.SetRefusalTracker(m.refusals)
	s.SetCrashTracker(crashes)
	go func() { _ = s.Run(ctx) }()
	go func() { _ = s.Receive(m.receiver) }()
	return m
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
}

// A process that starts after a crash, or to which its notification was lost, must learn of it; each
// report is repeated, since any datagram may be lost.
func TestCrashesAreReportedToPeersThatStartLater(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	report := carawayspread.CrashReport{Fingerprint: 7, Endpoint: "w", Age: 3 * time.Second}
	first := startMember(ctx, t, nil, &fakeCrashTracker{reports: []carawayspread.CrashReport{report}})
	first.socket.BroadcastCrash(Crash{Fingerprint: 7, Endpoint: "w"})
	time.Sleep(20 * time.Millisecond)
	later := startMember(ctx, t, []string{first.socket.Address()}, &fakeCrashTracker{})
	waitFor(t, func() bool { return later.crashes.learnedCount() > 2 })
	qt.Check(t, later.crashes.learned[0], qt.DeepEquals, report)
	qt.Check(t, later.receiver.crashes, qt.HasLen, 0)
}

// A process keeps a request on record, since it missed that a crash was none or that the request was
// answered. The peer that it reports the crash to must tell it.
func TestRefutedCrashIsCorrectedAtTheReporter(t *testing.T) {
	for name, verdict := range map[string]carawayspread.CrashVerdict{"withdrawn": carawayspread.CrashWithdrawn, "answered": carawayspread.CrashAnswered} {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			stale := startMember(ctx, t, nil, &fakeCrashTracker{reports: []carawayspread.CrashReport{{Fingerprint: 7, Endpoint: "w", Age: time.Second}}})
			startMember(ctx, t, []string{stale.socket.Address()}, &fakeCrashTracker{verdict: verdict})
			if verdict == carawayspread.CrashWithdrawn {
				waitFor(t, func() bool { return len(stale.receiver.crashes) > 0 })
				qt.Check(t, <-stale.receiver.crashes, qt.Equals, Crash{Fingerprint: 7, Endpoint: "w", Withdrawn: true})
				return
			}
			waitFor(t, func() bool {
				stale.refusals.mu.Lock()
				defer stale.refusals.mu.Unlock()
				return len(stale.refusals.cleared) > 0
			})
			qt.Check(t, stale.refusals.cleared[0], qt.Equals, uint64(7))
		})
	}
}

// In a fleet of hundreds each process would send what it refuses to all others, twice a second.
func TestGossipCostsTheSameInALargeFleet(t *testing.T) {
	s, err := Listen("127.0.0.1:0", nil, carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	for n := range 300 {
		s.recordPeer(message{sender: uint64(n + 1), address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:99", n/100, n%100))})
	}
	qt.Check(t, s.gossipTargets(), qt.HasLen, gossipFanout)
}

func FuzzDecodeCrashes(f *testing.F) {
	f.Add(crashMessage{sender: 1, reports: []carawayspread.CrashReport{{Fingerprint: 2, Endpoint: "w", Age: time.Second}, {Endpoint: "v"}}}.encode())
	f.Add([]byte{crashMagic, 1, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeCrashes(b)
		if err != nil {
			return
		}
		again, err := decodeCrashes(m.encode())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reflect.DeepEqual(again, m), qt.IsTrue)
	})
}
