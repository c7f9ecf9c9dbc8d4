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
	b := newHarness(t, disconnect())
	_, _, err := b.post(t, "/never/x", "poison")
	qt.Assert(t, err, qt.IsNil)
	b.gateway.RecordCrash(fingerprint("/never/x", []byte("poison")), "elsewhere", false)
	resp, body, err := b.post(t, "/never/x", "poison")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 503)
	qt.Check(t, body, qt.Contains, `"notRun":true`)
	qt.Check(t, b.transport.all(), qt.HasLen, 1)
	resp, _, err = b.post(t, "/never/x", "innocent")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
}

// Many callers ask for the same, and a connection breaks under one of them, twice in
// two minutes, at two endpoints of which nothing more is heard. All that was answered
// in between shows that the request harms nobody; it is not refused to all of them.
func TestAnsweredRequestIsNotQuarantined(t *testing.T) {
	b := newHarness(t)
	same := fingerprint("/safe/x", []byte("harmless"))
	for _, id := range []carawayspread.EndpointID{"one", "another"} {
		b.gateway.RecordCrash(same, id, false)
		resp, _, err := b.post(t, "/safe/x", "harmless")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
}

// Callers of a harmless request are served although two endpoints broke off its
// answers: both answer others right after, and the peers are told so.
func TestInterruptedAnswersDoNotKeepQuarantine(t *testing.T) {
	b := newHarness(t, disconnect(), disconnect())
	var withdrawals []carawayspread.EndpointID
	b.gateway.reportCrash = func(_ uint64, id carawayspread.EndpointID, withdrawn bool) {
		if withdrawn {
			withdrawals = append(withdrawals, id)
		}
	}
	_, _, err := b.post(t, "/safe/x", "harmless")
	qt.Assert(t, err, qt.IsNil)
	failed := b.transport.all()
	qt.Assert(t, failed, qt.HasLen, 2)
	resp, _, err := b.post(t, "/safe/x", "harmless")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 503)
	for i := range 20 {
		b.clock.Advance(10 * time.Millisecond)
		_, _, err := b.post(t, "/safe/x", fmt.Sprint("other ", i))
		qt.Assert(t, err, qt.IsNil)
	}
	resp, _, err = b.post(t, "/safe/x", "harmless")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	qt.Check(t, len(withdrawals) > 0, qt.IsTrue)
}

// A process refuses a request for two minutes that others answer all the while: both
// endpoints broke off their answers and then took long to show that they live, and the
// others, which had just started, knew of no break that their answers could clear.
func TestRequestAnsweredByPeersLeavesQuarantine(t *testing.T) {
	b, other := newHarness(t, disconnect(), disconnect()), newHarness(t)
	_, _, err := b.post(t, "/safe/x", "harmless")
	qt.Assert(t, err, qt.IsNil)
	b.gateway.reportCrash = func(fingerprint uint64, id carawayspread.EndpointID, withdrawn bool) {
		other.gateway.RecordCrash(fingerprint, id, withdrawn)
	}
	other.gateway.reportCrash = func(fingerprint uint64, id carawayspread.EndpointID, withdrawn bool) {
		b.gateway.RecordCrash(fingerprint, id, withdrawn)
	}
	other.gateway.reportAnswer = b.gateway.AnsweredByPeer
	for range 100 {
		b.clock.Advance(100 * time.Millisecond)
		other.gateway.RefusedByPeer(b.gateway.Refused()) // as heartbeats tell
		resp, _, err := other.post(t, "/safe/x", "harmless")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
	resp, _, err := b.post(t, "/safe/x", "harmless")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
}
