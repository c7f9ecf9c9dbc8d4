package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// Two endpoints break off the answers to a harmless request and keep running; without the check its
// callers are refused for minutes. An endpoint that answers a request sent after the failure,
// sooner than it could have restarted, has not crashed.
func TestAnsweringEndpointClearsRequests(t *testing.T) {
	const fingerprint = 7
	tests := map[string]struct {
		answeredAfter time.Duration // from the second failure to the answer
		sentAfter     time.Duration // from the second failure to the sending of the answered request
		endpoint      carawayspread.EndpointID
		refused       bool
	}{
		"sent and answered after the failure":         {answeredAfter: 50 * time.Millisecond, sentAfter: 10 * time.Millisecond, endpoint: "b"},
		"at the other endpoint":                       {answeredAfter: 50 * time.Millisecond, sentAfter: 10 * time.Millisecond, endpoint: "a"},
		"sent before the failure":                     {answeredAfter: 50 * time.Millisecond, sentAfter: -10 * time.Millisecond, endpoint: "b", refused: true},
		"answered when a restart could have finished": {answeredAfter: 1200 * time.Millisecond, sentAfter: 1100 * time.Millisecond, endpoint: "b", refused: true},
		"another endpoint":                            {answeredAfter: 50 * time.Millisecond, sentAfter: 10 * time.Millisecond, endpoint: "c", refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
			q := New(clock)
			q.Crashed(Crash{Endpoint: "a", At: clock.Now()}, []uint64{fingerprint}, nil)
			q.Crashed(Crash{Endpoint: "b", At: clock.Now()}, []uint64{fingerprint, 8}, nil)
			crashedAt := clock.Now()
			clock.Advance(test.answeredAfter)
			cleared := q.EndpointAnswered(test.endpoint, crashedAt.Add(test.sentAfter))
			qt.Check(t, len(cleared) == 0, qt.Equals, test.refused)
			verdict, _ := q.Decide(Attempt{Fingerprint: fingerprint})
			qt.Check(t, verdict == VerdictRefuse, qt.Equals, test.refused)
		})
	}
}

// A request that crashes its endpoints must stay refused: another process withdraws the crash of
// one endpoint, which had only broken off an answer, and the request crashes two others.
func TestWithdrawnCrashLeavesOthers(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	q := New(clock)
	refused := func() bool {
		verdict, _ := q.Decide(Attempt{Fingerprint: 7})
		return verdict == VerdictRefuse
	}
	for _, id := range []carawayspread.EndpointID{"a", "b"} {
		q.Crashed(Crash{Endpoint: id, At: clock.Now()}, []uint64{7}, nil)
	}
	qt.Check(t, refused(), qt.IsTrue)
	q.WithdrawCrash(7, "b")
	q.WithdrawCrash(7, "unknown")
	q.WithdrawCrash(9, "b")
	qt.Check(t, refused(), qt.IsFalse)
	q.Crashed(Crash{Endpoint: "c", At: clock.Now()}, []uint64{7}, nil)
	qt.Check(t, refused(), qt.IsTrue)
	q.WithdrawCrash(7, "a")
	q.WithdrawCrash(7, "c")
	qt.Check(t, q.Len(), qt.Equals, 0)
}

// Memory must stay bounded by the crashes of the last second.
func TestRecentCrashesAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	q := New(clock)
	for i := range 5 * maxRecentCrashes {
		q.Crashed(Crash{Endpoint: "a", At: clock.Now()}, []uint64{uint64(i)}, nil)
	}
	qt.Check(t, len(q.recent["a"]), qt.Equals, maxRecentCrashes)
	clock.Advance(2 * AliveWithin)
	q.Crashed(Crash{Endpoint: "b", At: clock.Now()}, []uint64{1}, nil)
	qt.Check(t, q.recent, qt.HasLen, 1)
	clock.Advance(2 * AliveWithin)
	q.EndpointAnswered("b", clock.Now())
	qt.Check(t, q.recentEndpoints.Load(), qt.Equals, int64(0))
}
