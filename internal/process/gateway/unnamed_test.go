package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/decision/eventorder"
	"carawayspread/internal/decision/runbackups"
	"carawayspread/internal/decision/runmoves"
)

// answerOf answers with that body.
func answerOf(body string, end error) step {
	return func(s sentAttempt) (*carawayspread.Reply, error) { return reply(s, http.StatusOK, body, end), nil }
}

// unnamedEvents is eventsOf, with "retry" for a field that no caller gets as an event.
func unnamedEvents(ids string) string {
	return strings.ReplaceAll(eventsOf(ids), "id: retry\ndata: part retry\n", "retry: 10\n")
}

// A stream goes on after an event that is not the last one of its caller, as that has no identifier, and its
// caller gets events twice, as a complete answer.
func TestStreamDoesNotGoOnAfterAnEventThatNothingNames(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		after string // the caller takes the stream up
		first string // events of the first engine, which breaks off
		next  string // events of the next one
		want  string
		whole bool
	}{
		"the last one has an identifier":     {path: "/resume/x", first: "- 2", next: "3 4", want: "- 2 3 4", whole: true},
		"the last one has none":              {path: "/resume/x", first: "1 2 -", next: "- 3 4", want: "1 2 -"},
		"none since it was taken up":         {path: "/resume/x", after: "3", first: "-", next: "- 4", want: "-"},
		"nothing but a time to wait":         {path: "/resume/x", first: "1 2 retry", next: "3 4", want: "1 2 retry 3 4", whole: true},
		"from a copy":                        {path: "/once/x", first: "1 2", next: "3 4", want: "1 2 3 4", whole: true},
		"from a copy, the last one has none": {path: "/once/x", first: "1 2 -", next: "- 3 4", want: "1 2 -"},
		"from a copy, no event has one":      {path: "/once/x", first: "- -", next: "- - - -", want: "- -"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, answerOf(unnamedEvents(test.first), io.ErrUnexpectedEOF), answerOf(unnamedEvents(test.next), io.EOF))
			b.gateway.prober = ended
			b.gateway.backups = runbackups.New(b.clock, 1, func() (int, bool) { return 1, true })
			traits := &carawayspread.EngineTraits{Slots: 8, KVTokens: 1e6, KVBytesPerToken: 1, LinkBitsPerSecond: 1e9, TokensPerEvent: 1, BacksUpRuns: true}
			routes := []*carawayspread.Route{route("resume", carawayspread.RetryResume, true, 3), route("once", carawayspread.RetryNever, true, 1)}
			b.gateway.Adopt(carawayspread.NewRouting(2, routes, map[string]carawayspread.RoutedService{"s": {Name: "s", Engine: traits}}, carawayspread.CallerLimits{}))
			b.clock.Advance(streamLifetime(routes[0]))
			b.runClock(t)
			header := []string{tokens, "100,50"}
			if test.after != "" {
				header = append(header, "Last-Event-Id", test.after)
			}
			resp, body, err := b.post(t, test.path, "p", header...)
			qt.Assert(t, resp, qt.IsNotNil, qt.Commentf("%v", err))
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
			qt.Check(t, err == nil, qt.Equals, test.whole, qt.Commentf("%v", err))
			qt.Check(t, body, qt.Equals, unnamedEvents(test.want))
		})
	}
}

// A run is stopped for its move behind an event that nothing names: its stream is cut, or has that event twice.
func TestRunDoesNotStopBehindAnEventThatNothingNames(t *testing.T) {
	b := newHarness(t)
	b.gateway.moves = runmoves.New(b.clock, moveNotice)
	from := carawayspread.NewEndpoint("w0", "s", "z", "10.0.0.1:100", true)
	c := &call{g: b.gateway, order: eventorder.New(eventorder.NewSteps(), "s", "")}
	m := &runMove{c: c, from: from, run: b.gateway.moves.Began(runmoves.Start{Engine: "w0"})}
	c.move = m
	b.gateway.registerMove(m)
	c.order.Take("1")
	c.offerMove(t.Context(), nil, from)
	qt.Assert(t, c.move, qt.IsNotNil)
	c.order.Take("")
	c.offerMove(t.Context(), nil, from)
	qt.Assert(t, c.move, qt.IsNil)
	qt.Check(t, m.stopRun(), qt.Equals, runmoves.StepStay)
	qt.Check(t, b.gateway.moves.Len(), qt.Equals, 0)
}
