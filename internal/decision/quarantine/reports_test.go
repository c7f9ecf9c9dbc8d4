package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// refuses reports whether the request is refused.
func refuses(q *Quarantine, fingerprint uint64) bool {
	verdict, _ := q.Decide(Attempt{Fingerprint: fingerprint})
	return verdict == VerdictRefuse
}

// learnAll passes what one process reports to another.
func learnAll(to, from *Quarantine) (verdicts []carawayspread.CrashVerdict) {
	for _, report := range from.Reports() {
		verdict, _ := to.Learn(report)
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

// A process that missed the notifications of two crashes sends the request on. What processes report
// to one another must neither be reported before a crash can be withdrawn nor outlive the
// quarantine, however often it goes round.
func TestReportedCrashesQuarantine(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q, other := New(clock, Duration(time.Minute)), New(clock, Duration(time.Minute))
	for _, endpoint := range []carawayspread.EndpointID{"a", "b"} {
		q.Crashed(Crash{Endpoint: endpoint, At: clock.Now()}, []uint64{7}, nil)
	}
	qt.Check(t, q.Reports(), qt.HasLen, 0)
	qt.Check(t, refuses(other, 7), qt.IsFalse)
	clock.Advance(2 * time.Second)
	learnAll(other, q)
	qt.Check(t, refuses(other, 7), qt.IsTrue)
	for range 57 {
		clock.Advance(time.Second)
		learnAll(other, q)
		learnAll(q, other)
		qt.Check(t, refuses(other, 7), qt.IsTrue)
	}
	for range 3 {
		clock.Advance(time.Second)
		learnAll(other, q)
		learnAll(q, other)
	}
	qt.Check(t, refuses(q, 7), qt.IsFalse)
	qt.Check(t, refuses(other, 7), qt.IsFalse)
	qt.Check(t, q.Len()+other.Len(), qt.Equals, 0)
}

// Harmless requests become suspects again: a peer that missed that a crash was none, or that the
// request was answered, reports the crash. It must learn better instead.
func TestDismissedCrashIsNotLearnedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		dismiss func(q *Quarantine)
		again   time.Duration // from then to another crash of the same endpoint; zero if there is none
		want    carawayspread.CrashVerdict
	}{
		"withdrawn":                {func(q *Quarantine) { q.WithdrawCrash(7, "a") }, 0, carawayspread.CrashWithdrawn},
		"answered here":            {func(q *Quarantine) { q.Served(7) }, 0, carawayspread.CrashAnswered},
		"answered by a peer":       {func(q *Quarantine) { q.AnsweredByPeer(7) }, 0, carawayspread.CrashAnswered},
		"crashed after withdrawal": {func(q *Quarantine) { q.WithdrawCrash(7, "a") }, 20 * time.Second, carawayspread.CrashAccepted},
		"crashed after an answer":  {func(q *Quarantine) { q.Served(7) }, 20 * time.Second, carawayspread.CrashAccepted},
		"neither":                  {func(*Quarantine) {}, 0, carawayspread.CrashAccepted},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			q, other := New(clock), New(clock)
			q.Crashed(Crash{Endpoint: "a", At: clock.Now()}, []uint64{7}, nil)
			other.Crashed(Crash{Endpoint: "a", At: clock.Now()}, []uint64{7}, nil)
			clock.Advance(50 * time.Millisecond)
			test.dismiss(q)
			if test.again > 0 {
				other.WithdrawCrash(7, "a")
				clock.Advance(test.again)
				other.Crashed(Crash{Endpoint: "a", At: clock.Now()}, []uint64{7}, nil)
			}
			clock.Advance(2 * time.Second)
			qt.Check(t, learnAll(q, other), qt.DeepEquals, []carawayspread.CrashVerdict{test.want})
			qt.Check(t, len(q.CrashedEndpoints(7)) > 0, qt.Equals, test.want == carawayspread.CrashAccepted)
		})
	}
}

// A report must fit into a packet, with the requests that are refused first: their copies are what
// crashes further endpoints.
func TestReportsAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := New(clock)
	for fingerprint := range uint64(2 * maxReportable) {
		q.Crashed(Crash{Endpoint: "a", At: clock.Now()}, []uint64{fingerprint}, nil)
	}
	q.Crashed(Crash{Endpoint: "b", At: clock.Now()}, []uint64{2*maxReportable - 1}, nil)
	clock.Advance(2 * time.Second)
	for range 20 {
		reports := q.Reports()
		qt.Assert(t, reports, qt.HasLen, maxReports)
		for _, report := range reports[:2] {
			qt.Check(t, report.Fingerprint, qt.Equals, uint64(2*maxReportable-1))
		}
	}
	for n := range 2 * maxDismissals {
		q.WithdrawCrash(uint64(n), "a")
	}
	qt.Check(t, q.reports.dismissals.Len(), qt.Equals, maxDismissals)
	qt.Check(t, q.reports.reportable.Len() <= maxReportable, qt.IsTrue)
}

// Load pattern: 300 processes, each of which sends its reports to three others in each round; a third
// of the datagrams is lost. The notification of the crashes reached one process alone. All must
// refuse the request within a few seconds.
func TestReportsReachAllInALargeFleet(t *testing.T) {
	const processes, fanout, interval, bound = 300, 3, 500 * time.Millisecond, 5 * time.Second
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		clock := clockwork.NewFakeClock()
		var fleet []*Quarantine
		for range processes {
			fleet = append(fleet, New(clock))
		}
		for _, endpoint := range []carawayspread.EndpointID{"a", "b"} {
			fleet[0].Crashed(Crash{Endpoint: endpoint, At: clock.Now()}, []uint64{7}, nil)
		}
		clock.Advance(2 * AliveWithin)
		refusing := 1
		for took := time.Duration(0); refusing < processes; took += interval {
			qt.Assert(t, took <= bound, qt.IsTrue, qt.Commentf("seed %d: %d refuse after %v", seed, refusing, took))
			for n, q := range fleet {
				for range fanout {
					if to := rng.IntN(processes); to != n && rng.IntN(3) > 0 {
						learnAll(fleet[to], q)
					}
				}
			}
			clock.Advance(interval)
			refusing = 0
			for _, q := range fleet {
				if refuses(q, 7) {
					refusing++
				}
			}
		}
	}
}

// A request must not be refused for the crash of one endpoint that several processes report, nor for
// one that was so long ago that its quarantine would be over.
func TestReportsOfOneCrashAreMerged(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := New(clock, Duration(time.Minute))
	for n := range 3 {
		_, isNew := q.Learn(carawayspread.CrashReport{Fingerprint: 7, Endpoint: "a", Age: time.Duration(n) * 20 * time.Second})
		qt.Check(t, isNew, qt.Equals, n == 0)
	}
	for n := range 3 {
		q.Learn(carawayspread.CrashReport{Fingerprint: 8, Endpoint: carawayspread.EndpointID(fmt.Sprint("old-", n)), Age: time.Minute})
	}
	qt.Check(t, refuses(q, 7), qt.IsFalse)
	qt.Check(t, refuses(q, 8), qt.IsFalse)
	qt.Check(t, q.Len(), qt.Equals, 1)
}
