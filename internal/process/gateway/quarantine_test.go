package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/decision/quarantine"
)

// Guards against a request that crashes one endpoint after the other: it must be refused after two
// crashes, also when the caller sends it under new identifiers and a peer saw one of the crashes.
// Other requests are still served.
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

// Guards against quarantining a harmless request that many callers send: its connection breaks
// twice in two minutes, at two endpoints that give no further sign of running. An answer in between
// shows that the request crashes nothing.
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

// Guards against quarantining a harmless request because two endpoints broke off its answers: both
// answer other requests right after, so the crashes are withdrawn, also at the peers.
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

// Guards against a process that refuses a request for two minutes while its peers answer it: two
// endpoints broke off their answers and then took long to show that they are running, and the
// peers, which had just started, knew of no crash that their answers could withdraw.
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
		other.gateway.RefusedByPeer(b.gateway.Refused()) // as heartbeats do
		resp, _, err := other.post(t, "/safe/x", "harmless")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
	resp, _, err := b.post(t, "/safe/x", "harmless")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
}

// A refusal says that the request may come back in two minutes, whatever is left of its quarantine,
// and although a crash of just now may yet turn out to be none.
func TestRetryAfterOfASuspect(t *testing.T) {
	for name, test := range map[string]struct{ since, want time.Duration }{
		"just now":            {0, time.Second},
		"may be withdrawn":    {400 * time.Millisecond, 600 * time.Millisecond},
		"a minute ago":        {time.Minute, time.Minute},
		"nearly at its end":   {quarantineDuration - time.Second, time.Second},
		"longer than a crash": {time.Second, quarantineDuration - time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			for _, id := range []carawayspread.EndpointID{"one", "another"} {
				b.gateway.RecordCrash(fingerprint("/safe/x", []byte("body")), id, false)
			}
			b.clock.Advance(test.since)
			resp, _, err := b.post(t, "/safe/x", "body")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, resp.StatusCode, qt.Equals, 503)
			seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, time.Duration(seconds*float64(time.Second)), qt.Equals, test.want)
		})
	}
}

// A harmless request that many callers send is refused for two minutes, here and at the peers: two of
// its copies were broken off, and a third, which was running, is answered after that.
func TestCopyThatIsAnsweredLaterEndsTheQuarantine(t *testing.T) {
	b := newHarness(t)
	var reported []uint64
	b.gateway.reportAnswer = func(fingerprint uint64) { reported = append(reported, fingerprint) }
	same := fingerprint("/safe/x", []byte("harmless"))
	b.transport.steps = []step{func(s sentAttempt) (*carawayspread.Reply, error) {
		for _, id := range []carawayspread.EndpointID{"one", "another"} {
			b.gateway.RecordCrash(same, id, false)
		}
		return answer(200)(s)
	}}
	for range 2 {
		resp, _, err := b.post(t, "/safe/x", "harmless")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
	qt.Check(t, reported, qt.DeepEquals, []uint64{same})
}

// What is saved for processes that start later is not settled: one crash, or crashes that are
// withdrawn, so that harmless requests are refused; or nothing is saved.
func TestOnlySettledQuarantinesAreSaved(t *testing.T) {
	for name, test := range map[string]struct {
		crashes   int
		withdrawn bool
		after     time.Duration
		saved     bool
	}{
		"two crashes":              {2, false, quarantine.AliveWithin + 1, true},
		"two crashes, just now":    {2, false, quarantine.AliveWithin, false},
		"one crash":                {1, false, quarantine.AliveWithin + 1, false},
		"two crashes, one is none": {2, true, quarantine.AliveWithin + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			for n := range test.crashes {
				b.gateway.recordOwnCrash(brokenRequest{fingerprint: 7}, carawayspread.EndpointID(fmt.Sprint("w", n)), b.clock.Now())
			}
			if test.withdrawn {
				b.gateway.endpointAnswered("w0", b.clock.Now().Add(1))
			}
			b.clock.Advance(test.after)
			got := b.gateway.TakeSettled()
			qt.Check(t, len(got) == 1, qt.Equals, test.saved, qt.Commentf("%v", got))
			b.clock.Advance(quarantine.AliveWithin)
			again := b.gateway.TakeSettled()
			qt.Check(t, len(again) == 1, qt.Equals, name == "two crashes, just now", qt.Commentf("%v", again))
		})
	}
}

// A request that processes before this one have quarantined is run, or refused for longer than is left.
func TestRestoredQuarantineIsRefused(t *testing.T) {
	b := newHarness(t)
	b.gateway.Restore(fingerprint("/never/x", []byte("body")), 10*time.Second)
	resp, body, err := b.post(t, "/never/x", "body")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, resp.Header.Get("Retry-After"), qt.Equals, "10.000")
	qt.Check(t, body, qt.Contains, `"notRun":true`)
	qt.Check(t, b.gateway.Refused(), qt.HasLen, 1, qt.Commentf("peers are not asked whether they answered it"))
	b.clock.Advance(10 * time.Second)
	resp, _, err = b.post(t, "/never/x", "body")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
}
