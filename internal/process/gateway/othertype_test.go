package gateway

import (
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// An answer of another kind is passed on within a stream, as one of its events; or a stream that its caller takes up
// has events twice, as its status is another one than 200.
func TestAnswerOfAnotherKindContinuesNoStream(t *testing.T) {
	type run struct {
		status    int
		mediaType string
		body      string
		end       error
	}
	const stream, partial = "text/event-stream", http.StatusPartialContent
	cut := run{200, stream, eventsOf("1 2"), io.ErrUnexpectedEOF}
	rest := run{200, stream, eventsOf("3 4"), io.EOF}
	for name, test := range map[string]struct {
		after  string // the caller takes the stream up
		runs   []run
		status int
		want   string
	}{
		"an object":               {runs: []run{cut, {200, "application/json", "{\"error\": 1}\n\n", io.EOF}, rest}, status: 200, want: "1 2 3 4"},
		"a stream":                {runs: []run{cut, rest}, status: 200, want: "1 2 3 4"},
		"a stream in a charset":   {runs: []run{cut, {200, "Text/Event-Stream; charset=utf-8", eventsOf("3 4"), io.EOF}}, status: 200, want: "1 2 3 4"},
		"of no stated type":       {runs: []run{cut, {200, "", eventsOf("3 4"), io.EOF}}, status: 200, want: "1 2 3 4"},
		"of a type, before none":  {runs: []run{{200, "", eventsOf("1 2"), io.ErrUnexpectedEOF}, rest}, status: 200, want: "1 2 3 4"},
		"taken up, a part":        {after: "2", runs: []run{{partial, stream, eventsOf("3 4"), io.EOF}}, status: partial, want: "3 4"},
		"taken up, another part":  {after: "2", runs: []run{{partial, stream, eventsOf("1 2 3 4"), io.EOF}, rest}, status: 200, want: "3 4"},
		"taken up, nothing in it": {after: "2", runs: []run{{http.StatusNoContent, "", "", io.EOF}}, status: http.StatusNoContent},
	} {
		t.Run(name, func(t *testing.T) {
			var steps []step
			for _, r := range test.runs {
				steps = append(steps, func(s sentAttempt) (*carawayspread.Reply, error) {
					return reply(s, r.status, r.body, r.end, "Content-Type", r.mediaType), nil
				})
			}
			b := newHarness(t, steps...)
			routes := []*carawayspread.Route{route("resume", carawayspread.RetryResume, true, 3)}
			b.gateway.Adopt(carawayspread.NewRouting(2, routes, map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{}))
			b.clock.Advance(streamLifetime(routes[0]))
			header := []string{tokens, "100,50"}
			if test.after != "" {
				header = append(header, "Last-Event-Id", test.after)
			}
			resp, body, err := b.post(t, "/resume/x", "p", header...)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			qt.Check(t, body, qt.Equals, eventsOf(test.want))
		})
	}
}
