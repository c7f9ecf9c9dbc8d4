package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// runOf answers with events of these identifiers; "-" stands for an event without one.
func runOf(ids string, end error) step {
	return func(s sentAttempt) (*carawayspread.Reply, error) {
		return reply(s, http.StatusOK, eventsOf(ids), end), nil
	}
}

func eventsOf(ids string) string {
	var b strings.Builder
	for _, id := range strings.Fields(ids) {
		if id != "-" {
			fmt.Fprintf(&b, "id: %s\n", id)
		}
		fmt.Fprintf(&b, "data: part %s\n\n", id)
	}
	return b.String()
}

// A stream goes on at an engine that repeats events, leaves some out or begins again, and its caller gets the
// events out of order, as a complete answer.
func TestStreamThatGoesOnElsewhereIsInOrder(t *testing.T) {
	const cut = "cut"
	for name, test := range map[string]struct {
		after string   // the caller takes the stream up
		other bool     // identifiers of the service do not rise by one
		runs  []string // of the engines, one after the other
		want  string   // the events that the caller gets
		whole bool
	}{
		"right":                             {runs: []string{"1 2 3 " + cut, "4 5 6"}, want: "1 2 3 4 5 6", whole: true},
		"the last event again":              {runs: []string{"1 2 3 " + cut, "3 4 5 6", "4 5 6"}, want: "1 2 3 4 5 6", whole: true},
		"one left out":                      {runs: []string{"1 2 3 " + cut, "5 6", "4 5 6"}, want: "1 2 3 4 5 6", whole: true},
		"from the first":                    {runs: []string{"1 2 3 " + cut, "1 2 3 4 5 6", "4 5 6"}, want: "1 2 3 4 5 6", whole: true},
		"goes back in its middle":           {runs: []string{"1 2 3 " + cut, "4 5 4 5 6", "6"}, want: "1 2 3 4 5 6", whole: true},
		"repeats one in its middle":         {runs: []string{"1 2 3 " + cut, "4 5 5 6", "6"}, want: "1 2 3 4 5 6", whole: true},
		"leaves one out in its middle":      {runs: []string{"1 2 3 " + cut, "4 6", "5 6"}, want: "1 2 3 4 5 6", whole: true},
		"no engine goes on":                 {runs: []string{"1 2 3 " + cut, "1 2 3 4", "1 2 3 4"}, want: "1 2 3"},
		"taken up":                          {after: "3", runs: []string{"4 5 6"}, want: "4 5 6", whole: true},
		"taken up, the last event again":    {after: "3", runs: []string{"3 4 5 6", "4 5 6"}, want: "4 5 6", whole: true},
		"taken up, from the first":          {after: "3", runs: []string{"1 2 3 4", "4 5 6"}, want: "4 5 6", whole: true},
		"taken up, one left out later":      {after: "3", runs: []string{"4 6", "5 6"}, want: "4 5 6", whole: true},
		"taken up, goes back":               {after: "3", runs: []string{"4 2", "5 6"}, want: "4 5 6", whole: true},
		"taken up, no engine goes on":       {after: "3", runs: []string{"1 2", "1 2", "1 2"}},
		"identifiers rise by more than one": {other: true, runs: []string{"10 20 35 " + cut, "50 70"}, want: "10 20 35 50 70", whole: true},
		"identifiers are no numbers":        {other: true, runs: []string{"a b " + cut, "c d"}, want: "a b c d", whole: true},
		"an event without an identifier":    {runs: []string{"1 2 " + cut, "3 4 -"}, want: "1 2 3 4 -", whole: true},
		"no event has one":                  {other: true, runs: []string{"- - " + cut, "- - - -"}, want: "- -"},
		"of one run":                        {runs: []string{"1 2 2 1 7"}, want: "1 2 2 1 7", whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			var steps []step
			for _, run := range test.runs {
				ids, broken := strings.CutSuffix(run, cut)
				end := io.EOF
				if broken {
					end = io.ErrUnexpectedEOF
				}
				steps = append(steps, runOf(ids, end))
			}
			b := newHarness(t, steps...)
			routes := []*carawayspread.Route{route("resume", carawayspread.RetryResume, true, 3)}
			b.gateway.Adopt(carawayspread.NewRouting(2, routes, map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{}))
			b.clock.Advance(streamLifetime(routes[0]))
			if !test.other {
				b.transport.steps = append([]step{runOf("1 2 3", io.EOF)}, steps...)
				_, _, err := b.post(t, "/resume/x", "p", tokens, "100,50")
				qt.Assert(t, err, qt.IsNil)
			}
			header := []string{tokens, "100,50"}
			if test.after != "" {
				header = append(header, "Last-Event-Id", test.after)
			}
			resp, body, err := b.post(t, "/resume/x", "p", header...)
			whole := err == nil && resp.StatusCode == http.StatusOK
			qt.Assert(t, whole, qt.Equals, test.whole, qt.Commentf("%v", err))
			if resp != nil && resp.StatusCode == http.StatusOK {
				qt.Assert(t, body, qt.Equals, eventsOf(test.want))
			} else if resp != nil {
				qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusBadGateway)
			}
		})
	}
}
