package gateway

import (
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// countingPlacer records how requests are counted. Its methods are called by one goroutine at a time.
type countingPlacer struct {
	carawayspread.Placer
	arrived, admitted int
	ends              []string
}

// countedAdmission records how its request ends.
type countedAdmission struct{ placer *countingPlacer }

func (a countedAdmission) End(served bool) {
	a.placer.ends = append(a.placer.ends, fmt.Sprint("served ", served))
}

func (p *countingPlacer) Place(req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	if !req.Repeated {
		p.arrived++
	}
	counted := req.Admission != nil
	at, err := p.Placer.Place(req)
	if err == nil && !counted && at.Admission != nil {
		p.admitted++
		at.Admission = countedAdmission{p}
	}
	return at, err
}

// Guards against SHORT by requests that count as served though their callers got no answer, or twice
// because they were placed again.
func TestAdmissionCountsUntilTheAnswerIsComplete(t *testing.T) {
	for name, test := range map[string]struct {
		steps []step
		roles []carawayspread.Role
		end   string
	}{
		"served":                {[]step{events(1, 2, io.EOF)}, nil, "served true"},
		"prefilled elsewhere":   {[]step{kvHandle(), events(1, 2, io.EOF)}, []carawayspread.Role{carawayspread.RolePrefill, carawayspread.RoleDecode}, "served true"},
		"handover failed":       {[]step{kvHandle(), notRun(503), events(1, 2, io.EOF)}, []carawayspread.Role{carawayspread.RolePrefill, carawayspread.RoleDecode, carawayspread.RoleDecode}, "served true"},
		"rejected, then served": {[]step{notRun(503), events(1, 2, io.EOF)}, nil, "served true"},
		"rejected everywhere":   {[]step{notRun(503), notRun(503), notRun(503)}, nil, "served false"},
		"broke off":             {[]step{events(1, 1, io.ErrUnexpectedEOF)}, nil, "served false"},
		"an error of the model": {[]step{answer(500)}, nil, "served false"},
		"no answer":             {[]step{disconnect()}, nil, "served false"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, test.steps...)
			if test.roles != nil {
				b.engines(test.roles...)
			}
			placer := &countingPlacer{Placer: b.placer}
			b.gateway.placer = placer
			_, _, _ = b.post(t, "/once/x", "p", tokens, "5000,50")
			b.server.Close()
			qt.Check(t, placer.arrived, qt.Equals, 1)
			qt.Check(t, placer.admitted, qt.Equals, 1)
			qt.Check(t, placer.ends, qt.DeepEquals, []string{test.end})
		})
	}
}

// urgentPlacer has each request go before others, and records the priorities of attempts.
type urgentPlacer struct {
	carawayspread.Placer
	sent []int
}

func (p *urgentPlacer) Place(req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	at, err := p.Placer.Place(req)
	at.Urgent = req.PrefilledBy == ""
	return at, err
}

func (p *urgentPlacer) Sent(req carawayspread.PlacementRequest, at carawayspread.Placement) carawayspread.AttemptTracker {
	p.sent = append(p.sent, req.Route.Priority)
	return p.Placer.Sent(req, at)
}

// Guards against SHORT by owed requests that are admitted and then wait behind all others, at the
// engine that prefills them or at the one that decodes, and are counted at another priority.
func TestOwedRequestIsSentBeforeOthers(t *testing.T) {
	b := newHarness(t, kvHandle(), events(1, 2, io.EOF))
	b.engines(carawayspread.RolePrefill, carawayspread.RoleDecode)
	placer := &urgentPlacer{Placer: b.placer}
	b.gateway.placer = placer
	patient := route("once", carawayspread.RetryNever, true, 3)
	patient.Priority = 3
	engine := &carawayspread.EngineTraits{Slots: 8, KVTokens: 1e6, KVBytesPerToken: 1}
	b.gateway.Adopt(carawayspread.NewRouting(2, []*carawayspread.Route{patient},
		map[string]carawayspread.RoutedService{"s": {Name: "s", Engine: engine}}, carawayspread.CallerLimits{BodyBytes: 100}))
	resp, _, err := b.post(t, "/once/x", "p", tokens, "5000,50")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	for _, s := range b.transport.all() {
		qt.Check(t, s.out.Header.Get("Carawayspread-Request-Priority"), qt.Equals, "0")
	}
	qt.Check(t, placer.sent, qt.DeepEquals, []int{0, 0})
	qt.Check(t, patient.Priority, qt.Equals, 3)
}
