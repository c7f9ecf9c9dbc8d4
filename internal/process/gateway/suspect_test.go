package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// A request that brings down whatever runs it stops doing so after two
// endpoints, through whichever process it comes; others go on being served.
// Its caller sends it again with new identifiers; a peer saw the second crash.
func TestHarmfulRequestIsRefused(t *testing.T) {
	b := newBench(t, breaks())
	_, _, err := b.ask(t, "/never/x", "poison")
	qt.Assert(t, err, qt.IsNil)
	b.gateway.RecordCrash(fingerprint("/never/x", []byte("poison")), "elsewhere", false)
	resp, body, err := b.ask(t, "/never/x", "poison")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 503)
	qt.Check(t, body, qt.Contains, `"notRun":true`)
	qt.Check(t, b.exchange.all(), qt.HasLen, 1)
	resp, _, err = b.ask(t, "/never/x", "innocent")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
}

// Many callers ask for the same, and a connection breaks under one of them, twice in
// two minutes, at two endpoints of which nothing more is heard. All that was answered
// in between shows that the request harms nobody; it is not refused to all of them.
func TestAnswerClearsTheRequest(t *testing.T) {
	b := newBench(t)
	same := fingerprint("/safe/x", []byte("harmless"))
	for _, id := range []carawayspread.EndpointID{"one", "another"} {
		b.gateway.RecordCrash(same, id, false)
		resp, _, err := b.ask(t, "/safe/x", "harmless")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
}

// Callers of a harmless request are served although two endpoints broke off its
// answers: both answer others right after, and the peers are told so.
func TestBrokenAnswersConvictNobody(t *testing.T) {
	b := newBench(t, breaks(), breaks())
	var withdrawn []carawayspread.EndpointID
	b.gateway.crashed = func(_ uint64, id carawayspread.EndpointID, back bool) {
		if back {
			withdrawn = append(withdrawn, id)
		}
	}
	_, _, err := b.ask(t, "/safe/x", "harmless")
	qt.Assert(t, err, qt.IsNil)
	broke := b.exchange.all()
	qt.Assert(t, broke, qt.HasLen, 2)
	resp, _, err := b.ask(t, "/safe/x", "harmless")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 503)
	for i := range 20 {
		b.clock.Advance(10 * time.Millisecond)
		_, _, err := b.ask(t, "/safe/x", fmt.Sprint("other ", i))
		qt.Assert(t, err, qt.IsNil)
	}
	resp, _, err = b.ask(t, "/safe/x", "harmless")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	qt.Check(t, len(withdrawn) > 0, qt.IsTrue)
}

// A process refuses a request for two minutes that others answer all the while: both
// endpoints broke off their answers and then took long to show that they live, and the
// others, which had just started, knew of no break that their answers could clear.
func TestRequestThatOthersAnswerIsNotRefusedForLong(t *testing.T) {
	b, other := newBench(t, breaks(), breaks()), newBench(t)
	_, _, err := b.ask(t, "/safe/x", "harmless")
	qt.Assert(t, err, qt.IsNil)
	b.gateway.crashed = func(fingerprint uint64, id carawayspread.EndpointID, back bool) {
		other.gateway.RecordCrash(fingerprint, id, back)
	}
	other.gateway.crashed = func(fingerprint uint64, id carawayspread.EndpointID, back bool) {
		b.gateway.RecordCrash(fingerprint, id, back)
	}
	other.gateway.answered = b.gateway.AnsweredByPeer
	for range 100 {
		b.clock.Advance(100 * time.Millisecond)
		other.gateway.RefusedByPeer(b.gateway.Refused()) // as heartbeats tell
		resp, _, err := other.ask(t, "/safe/x", "harmless")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
	resp, _, err := b.ask(t, "/safe/x", "harmless")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
}
