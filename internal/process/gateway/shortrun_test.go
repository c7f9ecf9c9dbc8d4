package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/decision/runmoves"
)

// stoppedRun copies a run that has made that many events, and stops it.
type stoppedRun struct {
	made    int
	stopped chan struct{}
	once    sync.Once
}

func (s *stoppedRun) CopyRun(_ context.Context, c carawayspread.RunCopy) (carawayspread.CopyResult, error) {
	if c.Stop {
		s.once.Do(func() { close(s.stopped) })
	}
	return carawayspread.CopyResult{Outcome: carawayspread.CopyComplete, Handle: "m-1", Events: s.made}, nil
}

// Read breaks the stream off once the run has stopped.
func (s *stoppedRun) Read([]byte) (int, error) {
	<-s.stopped
	return 0, io.ErrUnexpectedEOF
}

// A run has moved, and its stream ends as complete before the events that it had made already, as the engine that
// goes on has none or fewer.
func TestMovedStreamHasAllThatItsRunHadMade(t *testing.T) {
	for name, test := range map[string]struct {
		after string // the caller takes the stream up
		made  int
		next  string
		want  string
		whole bool
	}{
		"goes on":                       {made: 2, next: "3 4", want: "1 2 3 4", whole: true},
		"events were lost on the way":   {made: 4, next: "3 4", want: "1 2 3 4", whole: true},
		"all events were made":          {made: 2, next: "", want: "1 2", whole: true},
		"the lost ones do not come":     {made: 4, next: "", want: "1 2"},
		"one of the lost does not come": {made: 4, next: "3", want: "1 2 3"},
		"nothing is stated":             {next: "", want: "1 2", whole: true},
		"taken up, counts from there":   {after: "5", made: 4, next: "8", want: "6 7 8", whole: true},
		"taken up, counts all":          {after: "5", made: 8, next: "8", want: "6 7 8", whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			run := &stoppedRun{made: test.made, stopped: make(chan struct{})}
			first := "1 2"
			if test.after != "" {
				first = "6 7"
			}
			began := make(chan struct{})
			b := newHarness(t, func(s sentAttempt) (*carawayspread.Reply, error) {
				r := reply(s, http.StatusOK, "", nil)
				r.Framing = carawayspread.FramingChunks
				r.Body = io.NopCloser(io.MultiReader(strings.NewReader(eventsOf(first)), run))
				close(began)
				return r, nil
			}, func(s sentAttempt) (*carawayspread.Reply, error) {
				r := reply(s, http.StatusOK, eventsOf(test.next), io.EOF)
				r.Framing = carawayspread.FramingChunks
				return r, nil
			})
			b.gateway.moves, b.gateway.mover = runmoves.New(b.clock, moveNotice), run
			traits := &carawayspread.EngineTraits{Slots: 8, KVTokens: 1e6, KVBytesPerToken: 1, LinkBitsPerSecond: 1e9, MovesRuns: true, TokensPerEvent: 1}
			routes := []*carawayspread.Route{route("once", carawayspread.RetryNever, true, 1)}
			b.gateway.Adopt(carawayspread.NewRouting(2, routes, map[string]carawayspread.RoutedService{"s": {Name: "s", Engine: traits}}, carawayspread.CallerLimits{}))
			b.clock.Advance(streamLifetime(routes[0]))
			b.runClock(t)
			go func() {
				<-began
				b.leave(b.transport.all()[0].to)
			}()
			header := []string{tokens, "100,0"} // an answer of that length might end before it moves
			if test.after != "" {
				header = append(header, "Last-Event-Id", test.after)
			}
			resp, body, err := b.post(t, "/once/x", "p", header...)
			qt.Assert(t, resp, qt.IsNotNil, qt.Commentf("%v", err))
			qt.Check(t, errors.Is(err, io.ErrUnexpectedEOF), qt.Equals, !test.whole, qt.Commentf("%v", err))
			qt.Check(t, body, qt.Equals, eventsOf(test.want))
		})
	}
}

// leave lists one of the engines as leaving.
func (b *harness) leave(id carawayspread.EndpointID) {
	var endpoints []carawayspread.Endpoint
	for _, e := range (*b.gateway.endpoints.Load())["s"] {
		endpoints = append(endpoints, carawayspread.NewEndpoint(e.ID(), "s", "z", e.Address(), e.ID() == id,
			carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithSlots(8), carawayspread.WithVersion("v1")))
	}
	b.gateway.SetEndpoints(endpoints)
}
