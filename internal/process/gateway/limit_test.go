package gateway

import (
	"context"
	"fmt"
	"io"
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

// feedbackFleet is some gateways before the same endpoints, which answer at once.
type feedbackFleet struct {
	clock    *clockwork.FakeClock
	rand     *rand.Rand
	gateways []*Gateway
	// says returns the headers that an endpoint adds to an answer to the process.
	says func(id carawayspread.EndpointID, process int) (status int, h http.Header)
	// arrivals are the requests that each endpoint got, by process.
	arrivals map[carawayspread.EndpointID][]arrival
	refused  int
}

type arrival struct {
	at      time.Time
	process int
}

// exchangeOf is the way of one process to the endpoints.
type exchangeOf struct {
	fleet   *feedbackFleet
	process int
}

func (e exchangeOf) Send(_ context.Context, to carawayspread.Endpoint, out carawayspread.Outbound) (*carawayspread.Reply, error) {
	f := e.fleet
	f.arrivals[to.ID()] = append(f.arrivals[to.ID()], arrival{f.clock.Now(), e.process})
	status, h := f.says(to.ID(), e.process)
	h.Set("Carawayspread-Request-Id", out.Header.Get("Carawayspread-Request-Id"))
	if status == http.StatusOK {
		h.Set("Carawayspread-Server-Seal", "seal")
	} else {
		h.Set("Carawayspread-Not-Executed", "1")
	}
	return &carawayspread.Reply{Status: status, Header: h, Body: io.NopCloser(strings.NewReader("whole")), Length: 5}, nil
}

func newFeedbackFleet(processes, endpoints int) *feedbackFleet {
	f := &feedbackFleet{
		clock: clockwork.NewFakeClock(), rand: rand.New(rand.NewPCG(7, 8)),
		arrivals: map[carawayspread.EndpointID][]arrival{},
		says:     func(carawayspread.EndpointID, int) (int, http.Header) { return http.StatusOK, http.Header{} },
	}
	for n := range processes {
		placer := placement.New(carawayspread.Environment{Clock: f.clock, Zone: "z"})
		g := New(exchangeOf{f, n}, wire.Protocol{}, placer, f.clock, decisionlog.New(io.Discard))
		g.Adopt(carawayspread.NewRouting(1, []*carawayspread.Route{route("never", carawayspread.RepeatNever, false, 3)},
			map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{BodyBytes: 100}))
		f.gateways = append(f.gateways, g)
	}
	f.list(endpoints)
	return f
}

// list gives all processes the endpoints as the platform lists them.
func (f *feedbackFleet) list(endpoints int) {
	var all []carawayspread.Endpoint
	for n := range endpoints {
		all = append(all, carawayspread.NewEndpoint(carawayspread.EndpointID(fmt.Sprint("w", n)), "s", "z", fmt.Sprint("10.0.0.1:", 100+n), false))
	}
	for _, g := range f.gateways {
		g.Listed(all)
	}
}

// play sends requests to processes at random, one in each step, and counts those refused.
func (f *feedbackFleet) play(d, step time.Duration) {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); f.clock.Advance(step) {
		r := httptest.NewRequest(http.MethodPost, "/never/x", strings.NewReader(strconv.Itoa(f.rand.Int())))
		r.Host = "a.example"
		r.Header.Set("Carawayspread-Request-Id", strconv.Itoa(f.rand.Int()))
		w := httptest.NewRecorder()
		f.gateways[f.rand.IntN(len(f.gateways))].ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			f.refused++
		}
	}
}

// most returns the most requests that the endpoint got in any span of that length, among
// those from a moment on.
func (f *feedbackFleet) most(id carawayspread.EndpointID, from time.Time, span time.Duration) int {
	var most, first int
	all := f.arrivals[id]
	for i, a := range all {
		for all[first].at.Before(from) || a.at.Sub(all[first].at) >= span {
			if first == i {
				break
			}
			first++
		}
		if !all[first].at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// An endpoint in need names the requests a second that it takes from all processes
// together; it got as many as before, and more than the others as it answered fast.
func TestEndpointGetsNoMoreThanTheRateThatItNames(t *testing.T) {
	const (
		endpoints = 6
		grace     = 3 * time.Second // for what is under way, and for processes to learn of it
		span      = 4 * time.Second
		factor    = 1.5
		slack     = 5
	)
	for name, c := range map[string]struct {
		processes int
		rate      float64
	}{
		"one process":              {1, 4.2},
		"four processes":           {4, 4.2},
		"a low rate":               {4, 2.2},
		"less than one a second":   {4, 0.4},
		"more processes than rate": {28, 2.2},
		"many processes":           {100, 6},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFeedbackFleet(c.processes, endpoints)
			f.play(2*time.Second, 7*time.Millisecond)
			f.says = func(id carawayspread.EndpointID, _ int) (int, http.Header) {
				h := http.Header{}
				if id == "w0" {
					h.Set("Server-Limit", strconv.FormatFloat(c.rate, 'g', -1, 64))
				}
				return http.StatusOK, h
			}
			limited := f.clock.Now()
			f.play(20*time.Second, 7*time.Millisecond)
			allowed := factor*c.rate*span.Seconds() + slack
			most := f.most("w0", limited.Add(grace), span)
			qt.Check(t, float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d requests in %s, %.1f allowed", most, span, allowed))
			qt.Check(t, f.refused, qt.Equals, 0, qt.Commentf("the others have room"))
		})
	}
}
