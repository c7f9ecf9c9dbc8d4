package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// contestedPlacer asks for a reservation with each placement.
type contestedPlacer struct{ carawayspread.Placer }

func (p contestedPlacer) Place(req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	req.Service.Engine.MaxHold = 2 * time.Second
	at, err := p.Placer.Place(req)
	at.ReserveTokens = 160
	return at, err
}

// Several processes give the last room of an engine to requests of their own: it interrupts the answers of all
// of them. The engine is asked for the room first. A request must go to another engine if it is refused, never
// with a reservation that is not its own, and it must be served if a reservation is not to be had at all.
func TestRoomIsReservedWhereItIsContested(t *testing.T) {
	hold := func(id string) step {
		return func(s sentAttempt) (*carawayspread.Reply, error) {
			return reply(s, 200, `{"hold":"`+id+`"}`, io.EOF, "Carawayspread-Request-Id", ""), nil
		}
	}
	full := answer(503, "Carawayspread-Request-Id", "")
	served := events(1, 2, io.EOF)
	for name, test := range map[string]struct {
		steps  []step
		status int
		holds  []string // of what was sent; "ask" for a reservation, "give up" for its end
	}{
		"taken":                     {[]step{hold("a"), served}, 200, []string{"ask", "a"}},
		"full, then taken":          {[]step{full, hold("b"), served}, 200, []string{"ask", "ask", "b"}},
		"full everywhere":           {[]step{full, full, full}, 503, []string{"ask", "ask", "ask"}},
		"no answer":                 {[]step{disconnect(), served}, 200, []string{"ask", ""}},
		"no reservation named":      {[]step{answer(200, "Carawayspread-Request-Id", ""), served}, 200, []string{"ask", ""}},
		"answer to another request": {[]step{answer(200, "Carawayspread-Request-Id", "id-2"), served}, 200, []string{"ask", ""}},
		"no second reservation":     {[]step{hold("a"), notRun(503), disconnect(), served}, 200, []string{"ask", "a", "ask", ""}},
		"not run with it":           {[]step{hold("a"), notRun(503), hold("b"), served}, 200, []string{"ask", "a", "ask", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, test.steps...)
			b.gateway.placer = contestedPlacer{b.placer}
			resp, body, err := b.post(t, "/once/x", "p", tokens, "100,50", "Carawayspread-Kv-Hold", "the caller's")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status, qt.Commentf(body))
			var got []string
			asked := map[carawayspread.EndpointID]bool{}
			for _, s := range b.transport.all() {
				what := s.out.Header.Get("Carawayspread-Kv-Hold")
				if s.out.Target == "/-/hold-take" {
					what = "ask"
					qt.Check(t, asked[s.to], qt.IsFalse, qt.Commentf("%s twice", s.to))
					asked[s.to] = true
					qt.Check(t, string(s.out.Body), qt.Equals, `{"tokens":160,"ttl_ms":2000}`)
				}
				got = append(got, what)
			}
			qt.Check(t, got, qt.DeepEquals, test.holds)
		})
	}
}

// A reservation with which nothing was sent keeps its room from all others until it ends by itself.
func TestUnusedReservationIsGivenUp(t *testing.T) {
	taken := func(s sentAttempt) (*carawayspread.Reply, error) {
		return reply(s, 200, `{"hold":"a"}`, io.EOF, "Carawayspread-Request-Id", ""), nil
	}
	b := newHarness(t, taken, unreachable())
	b.gateway.placer = contestedPlacer{b.placer}
	_, _, err := b.post(t, "/once/x", "p", tokens, "100,50")
	qt.Assert(t, err, qt.IsNil)
	for range 200 {
		for _, s := range b.transport.all() {
			if s.out.Method == http.MethodDelete {
				qt.Check(t, s.out.Target, qt.Equals, "/-/hold-drop/a")
				qt.Check(t, s.to, qt.Equals, b.transport.all()[0].to)
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("the reservation was kept")
}
