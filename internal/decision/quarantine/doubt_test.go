package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// Guards against a request that is refused for the whole term though a peer answers it,
// and against peers that tell of every request.
func TestAnswerElsewhereClears(t *testing.T) {
	clock := clockwork.NewFakeClock()
	refuses, answers := New(clock), New(clock)
	for _, endpoint := range []string{"one", "another"} {
		refuses.Crashed(Crash{Endpoint: carawayspread.EndpointID(endpoint), At: clock.Now()}, []uint64{7}, nil)
	}
	qt.Assert(t, refuses.Doubts(), qt.DeepEquals, []uint64{7})
	qt.Check(t, answers.Served(7), qt.IsFalse, qt.Commentf("nobody has asked"))
	answers.Doubted(refuses.Doubts())
	qt.Check(t, answers.Served(8), qt.IsFalse, qt.Commentf("another request"))
	qt.Check(t, answers.Served(7), qt.IsTrue)
	qt.Check(t, answers.Served(7), qt.IsFalse, qt.Commentf("told once"))
	answers.Doubted(refuses.Doubts())
	clock.Advance(doubtLife)
	qt.Check(t, answers.Served(7), qt.IsFalse, qt.Commentf("the question is old"))
	refuses.Cleared(7)
	verdict, _ := refuses.Decide(Attempt{Fingerprint: 7})
	qt.Check(t, verdict, qt.Equals, VerdictRun)
	qt.Check(t, refuses.Doubts(), qt.HasLen, 0)
}

// What is asked of peers ends with the conviction, and is bounded.
func TestDoubtsAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := New(clock, Term(time.Minute))
	for fingerprint := range uint64(4 * maxDoubts) {
		for _, endpoint := range []string{"one", "another"} {
			q.Crashed(Crash{Endpoint: carawayspread.EndpointID(endpoint), At: clock.Now()}, []uint64{fingerprint}, nil)
		}
	}
	qt.Check(t, q.Doubts(), qt.HasLen, maxDoubts)
	clock.Advance(2 * time.Minute)
	qt.Check(t, q.Doubts(), qt.HasLen, 0)
}
