package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// Guards against a request that is refused for the whole quarantine although a peer gets answers
// for it, and against peers that report every answered request.
func TestAnswerOfPeerClears(t *testing.T) {
	clock := clockwork.NewFakeClock()
	refusing, answering := New(clock), New(clock)
	for _, endpoint := range []string{"one", "another"} {
		refusing.Crashed(Crash{Endpoint: carawayspread.EndpointID(endpoint), At: clock.Now()}, []uint64{7}, nil)
	}
	qt.Assert(t, refusing.Refused(), qt.DeepEquals, []uint64{7})
	qt.Check(t, answering.Served(7), qt.IsFalse, qt.Commentf("no peer refuses it"))
	answering.RefusedByPeer(refusing.Refused())
	qt.Check(t, answering.Served(8), qt.IsFalse, qt.Commentf("another request"))
	qt.Check(t, answering.Served(7), qt.IsTrue)
	qt.Check(t, answering.Served(7), qt.IsFalse, qt.Commentf("reported once"))
	answering.RefusedByPeer(refusing.Refused())
	clock.Advance(peerRefusalTTL)
	qt.Check(t, answering.Served(7), qt.IsFalse, qt.Commentf("the query has expired"))
	refusing.AnsweredByPeer(7)
	verdict, _ := refusing.Decide(Attempt{Fingerprint: 7})
	qt.Check(t, verdict, qt.Equals, VerdictRun)
	qt.Check(t, refusing.Refused(), qt.HasLen, 0)
}

// The requests that peers are queried for must be bounded, and end with their quarantine.
func TestRefusalsAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := New(clock, Duration(time.Minute))
	for fingerprint := range uint64(4 * maxRefusals) {
		for _, endpoint := range []string{"one", "another"} {
			q.Crashed(Crash{Endpoint: carawayspread.EndpointID(endpoint), At: clock.Now()}, []uint64{fingerprint}, nil)
		}
	}
	qt.Check(t, q.Refused(), qt.HasLen, maxRefusals)
	clock.Advance(2 * time.Minute)
	qt.Check(t, q.Refused(), qt.HasLen, 0)
}
