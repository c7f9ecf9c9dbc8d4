package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/decision/placement"
	"carawayspread/internal/process/decisionlog"
	"carawayspread/platform/wire"
)

// feedbackFleet is a set of gateways in front of the same endpoints, which answer at once.
type feedbackFleet struct {
	clock    *clockwork.FakeClock
	rand     *rand.Rand
	gateways []*Gateway
	// respond returns the status of an endpoint's answer to the process, and headers to add.
	respond func(id carawayspread.EndpointID, process int) (status int, h http.Header)
	// arrivals are the requests that each endpoint received.
	arrivals map[carawayspread.EndpointID][]arrival
	refused  int
	// lossRate is the share of messages that a peer does not receive.
	lossRate float64
	// pending are messages between processes that have not been delivered yet.
	pending []gossipMessage
}

// gossipMessage is one message of a process to its peers.
type gossipMessage struct {
	at       time.Time
	from     int
	id       carawayspread.EndpointID
	feedback carawayspread.Feedback
}

// gossipDelay is how long a message takes from one process to another.
const gossipDelay = 50 * time.Millisecond

type arrival struct {
	at      time.Time
	process int
}

// fleetTransport connects one process to the endpoints.
type fleetTransport struct {
	fleet   *feedbackFleet
	process int
}

func (e fleetTransport) Send(_ context.Context, to carawayspread.Endpoint, out carawayspread.Outbound) (*carawayspread.Reply, error) {
	f := e.fleet
	f.arrivals[to.ID()] = append(f.arrivals[to.ID()], arrival{f.clock.Now(), e.process})
	status, h := f.respond(to.ID(), e.process)
	h.Set("Carawayspread-Request-Id", out.Header.Get("Carawayspread-Request-Id"))
	h.Set("Carawayspread-Server-Seal", "seal")
	return &carawayspread.Reply{Status: status, Header: h, Body: io.NopCloser(strings.NewReader("whole")), Length: 5}, nil
}

func newFeedbackFleet(processes, endpoints int) *feedbackFleet {
	f := &feedbackFleet{
		clock: clockwork.NewFakeClock(), rand: rand.New(rand.NewPCG(7, 8)),
		arrivals: map[carawayspread.EndpointID][]arrival{},
		respond:  func(carawayspread.EndpointID, int) (int, http.Header) { return http.StatusOK, http.Header{} },
	}
	for n := range processes {
		placer := placement.New(carawayspread.Environment{Clock: f.clock, Zone: "z"})
		g := New(fleetTransport{f, n}, wire.Protocol{}, placer, f.clock, decisionlog.New(io.Discard),
			WithFeedback(func(id carawayspread.EndpointID, feedback carawayspread.Feedback) {
				f.pending = append(f.pending, gossipMessage{f.clock.Now(), n, id, feedback})
			}, func() (uint64, []uint64) { return uint64(n), f.processIDs(processes) }))
		g.Adopt(carawayspread.NewRouting(1, []*carawayspread.Route{route("never", carawayspread.RetryNever, false, 3)},
			map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{BodyBytes: 100}))
		f.gateways = append(f.gateways, g)
	}
	f.setEndpoints(endpoints)
	return f
}

// setEndpoints gives all processes the list of endpoints.
func (f *feedbackFleet) setEndpoints(endpoints int) {
	var all []carawayspread.Endpoint
	for n := range endpoints {
		all = append(all, carawayspread.NewEndpoint(carawayspread.EndpointID(fmt.Sprint("w", n)), "s", "z", fmt.Sprint("10.0.0.1:", 100+n), false))
	}
	for _, g := range f.gateways {
		g.SetEndpoints(all)
	}
}

// processIDs returns the identifiers of all processes.
func (f *feedbackFleet) processIDs(processes int) []uint64 {
	all := make([]uint64, processes)
	for n := range all {
		all[n] = uint64(n)
	}
	return all
}

// deliver delivers the messages that are at least gossipDelay old.
func (f *feedbackFleet) deliver() {
	for len(f.pending) > 0 && f.clock.Now().Sub(f.pending[0].at) >= gossipDelay {
		message := f.pending[0]
		f.pending = f.pending[1:]
		for n, g := range f.gateways {
			if n != message.from && f.rand.Float64() >= f.lossRate {
				g.ApplyPeerFeedback(message.id, message.feedback)
			}
		}
	}
}

// run sends requests to random processes, one per step, and counts the refused ones.
func (f *feedbackFleet) run(d, step time.Duration) {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); f.clock.Advance(step) {
		f.deliver()
		if w := f.post(f.rand.IntN(len(f.gateways))); w.Code != http.StatusOK {
			f.refused++
		}
	}
}

// post sends one request to a process.
func (f *feedbackFleet) post(process int) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/never/x", strings.NewReader(strconv.Itoa(f.rand.Int())))
	r.Host = "a.example"
	r.Header.Set("Carawayspread-Request-Id", strconv.Itoa(f.rand.Int()))
	w := httptest.NewRecorder()
	f.gateways[process].ServeHTTP(w, r)
	return w
}

// peak returns the largest number of requests that the endpoint received in any span of that
// length, among those at or after from.
func (f *feedbackFleet) peak(id carawayspread.EndpointID, from time.Time, span time.Duration) int {
	var peak, first int
	all := f.arrivals[id]
	for i, a := range all {
		for all[first].at.Before(from) || a.at.Sub(all[first].at) >= span {
			if first == i {
				break
			}
			first++
		}
		if !all[first].at.Before(from) {
			peak = max(peak, i-first+1)
		}
	}
	return peak
}

// Guards against exceeding the rate that an overloaded endpoint reports: requests per second from
// all processes together. Without the limit it receives as many as before, and more than the
// others, because it answers fast.
func TestEndpointGetsNoMoreThanItsReportedRate(t *testing.T) {
	const (
		endpoints = 6
		perSecond = 150
		grace     = 3 * time.Second // for requests in flight, and for the report to reach all processes
		span      = 4 * time.Second
		factor    = 1.5
		slack     = 5
		lasts     = 20 * time.Second
	)
	for name, c := range map[string]struct {
		processes int
		rate      float64
		lossRate  float64 // of the messages between processes
	}{
		"one process":              {1, 4.2, 0},
		"four processes":           {4, 4.2, 0},
		"a low rate":               {4, 2.2, 0},
		"less than one a second":   {4, 0.4, 0},
		"more processes than rate": {28, 2.2, 0},
		"many processes":           {100, 6, 0},
		"messages are lost":        {28, 5, 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFeedbackFleet(c.processes, endpoints)
			f.lossRate = c.lossRate
			f.run(2*time.Second, time.Second/perSecond)
			f.respond = func(id carawayspread.EndpointID, _ int) (int, http.Header) {
				h := http.Header{}
				if id == "w0" {
					h.Set("Server-Limit", strconv.FormatFloat(c.rate, 'g', -1, 64))
				}
				return http.StatusOK, h
			}
			limited := f.clock.Now()
			before := len(f.arrivals["w0"])
			f.run(lasts, time.Second/perSecond)
			allowed := factor*c.rate*span.Seconds() + slack
			peak := f.peak("w0", limited.Add(grace), span)
			qt.Check(t, float64(peak) <= allowed, qt.IsTrue, qt.Commentf("%d requests in %s, %.1f allowed", peak, span, allowed))
			qt.Check(t, f.refused, qt.Equals, 0, qt.Commentf("the other endpoints have capacity"))
			got := float64(len(f.arrivals["w0"]) - before)
			sharers := min(1, math.Max(1, math.Floor(c.rate))/float64(c.processes))
			expected := min(c.rate, sharers*perSecond/endpoints) * lasts.Seconds()
			qt.Check(t, got >= expected/2, qt.IsTrue, qt.Commentf("%.0f of %.0f requests that processes with a share of the rate have for it", got, expected))

			f.respond = func(carawayspread.EndpointID, int) (int, http.Header) { return http.StatusOK, http.Header{} }
			f.run(3*time.Second, time.Second/perSecond)
			before = len(f.arrivals["w0"])
			f.run(3*time.Second, time.Second/perSecond)
			got = float64(len(f.arrivals["w0"]) - before)
			qt.Check(t, got >= 3*perSecond/endpoints/2, qt.IsTrue, qt.Commentf("%.0f requests in 3 s after the limit has ended", got))
		})
	}
}

// Guards against sending or delaying requests above the rate of a service's only endpoint: they must
// be refused at once, with the proof that they have not run and a Retry-After.
func TestRequestsAboveTheRateAreRefusedAtOnce(t *testing.T) {
	f := newFeedbackFleet(1, 1)
	f.respond = func(carawayspread.EndpointID, int) (int, http.Header) {
		return http.StatusOK, http.Header{"Server-Limit": {"1"}}
	}
	qt.Check(t, f.post(0).Code, qt.Equals, http.StatusOK)
	w := f.post(0)
	qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Check(t, w.Body.String(), qt.Contains, `"notRun":true`)
	qt.Check(t, f.arrivals["w0"], qt.HasLen, 1)
	f.clock.Advance(time.Second)
	qt.Check(t, f.post(0).Code, qt.Equals, http.StatusOK)
}
