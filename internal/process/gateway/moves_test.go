package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/direct"
	"carawayspread/internal/decision/fleetbudget"
	"carawayspread/internal/decision/placement"
	"carawayspread/internal/decision/runmoves"
	"carawayspread/internal/process/decisionlog"
	"carawayspread/internal/standin/worker"
	"carawayspread/platform/orders"
	"carawayspread/platform/wire"
)

// moveFleet is a gateway on real sockets, with engines that hand over what they run.
type moveFleet struct {
	gateway *Gateway
	server  *httptest.Server
	engines map[string]*worker.Worker
	listAge time.Duration
}

const (
	moveNotice = 3 * time.Second
	// longDelay between two events leaves time for a move, also on a busy machine.
	longDelay  = 500 * time.Millisecond
	eventDelay = 50 * time.Millisecond
)

func newMoveFleet(t *testing.T, engines ...string) *moveFleet {
	t.Helper()
	f := &moveFleet{engines: map[string]*worker.Worker{}}
	for _, id := range engines {
		w, err := worker.New(id)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(w.Close)
		w.SetEventDelay(eventDelay)
		f.engines[id] = w
	}
	f.engines["a"].SetEventDelay(longDelay)
	lines := &bytes.Buffer{}
	log := decisionlog.New(lines)
	t.Cleanup(func() {
		if log.Flush(); t.Failed() {
			t.Log(lines.String())
		}
	})
	clock, client := carawayspread.SystemClock(), direct.New()
	t.Cleanup(client.Close)
	placer := placement.New(carawayspread.Environment{Clock: clock, Zone: "z"})
	f.gateway = New(client, wire.Protocol{}, placer, clock, log,
		WithListAge(func() time.Duration { return f.listAge }), WithEndpointProber(client),
		WithRetryBudget(fleetbudget.Limits{Ratio: 1, Slack: 10, Window: 10 * time.Second}, func() (int, bool) { return 1, true }),
		WithRunMoves(runmoves.New(clock, moveNotice), orders.NewMover(client)))
	f.gateway.start = clock.Now().Add(-time.Minute) // a process that has just started has none of the slack
	traits := &carawayspread.EngineTraits{Slots: 8, KVTokens: 1e6, KVBytesPerToken: 1, LinkBitsPerSecond: 1e9, MovesRuns: true, TokensPerEvent: 1, BacksUpRuns: true}
	f.gateway.Adopt(carawayspread.NewRouting(1, []*carawayspread.Route{
		route("resume/stream", carawayspread.RetryResume, true, 2),
		route("once/stream", carawayspread.RetryNever, true, 1),
	}, map[string]carawayspread.RoutedService{"s": {Name: "s", Engine: traits}}, carawayspread.CallerLimits{}))
	f.server = httptest.NewServer(f.gateway)
	t.Cleanup(f.server.Close)
	return f
}

// list lists engines as ID, ID:leaving or ID:VERSION.
func (f *moveFleet) list(entries ...string) {
	var endpoints []carawayspread.Endpoint
	for _, entry := range entries {
		id, state, _ := strings.Cut(entry, ":")
		version := "v1"
		if state != "" && state != "leaving" {
			version = state
		}
		endpoints = append(endpoints, carawayspread.NewEndpoint(carawayspread.EndpointID(id), "s", "z", f.engines[id].Address(), state == "leaving",
			carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithSlots(8), carawayspread.WithVersion(version)))
	}
	f.gateway.SetEndpoints(endpoints)
}

// movedStream is a stream of which the caller has the first event.
type movedStream struct {
	resp *http.Response
	body *bufio.Reader
	head string
}

func (f *moveFleet) begin(t *testing.T, path string) *movedStream {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.server.URL+path, strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	req.Host = "a.example"
	req.Header.Set("Carawayspread-Request-Id", "id-1")
	req.Header.Set("Carawayspread-Token-Count", "100,50")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = resp.Body.Close() })
	s := &movedStream{resp: resp, body: bufio.NewReader(resp.Body)}
	for !strings.HasSuffix(s.head, "\n\n") {
		line, err := s.body.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		s.head += line
	}
	return s
}

func (s *movedStream) rest() (string, error) {
	rest, err := io.ReadAll(s.body)
	return s.head + string(rest), err
}

// eventsUpTo returns a stream up to that event.
func eventsUpTo(last int) string {
	var b strings.Builder
	for n := 1; n <= last; n++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: part %d of id-1\n\n", n, n)
	}
	return b.String()
}

// checkNothingLeft checks that the engines hold no memory of runs any more and were asked for nothing that mixes
// requests or runs one twice.
func (f *moveFleet) checkNothingLeft(t *testing.T) {
	t.Helper()
	held := func() (n int) {
		for _, w := range f.engines {
			n += w.Copies()
		}
		return n
	}
	for deadline := time.Now().Add(2 * time.Second); held() > 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	qt.Check(t, held(), qt.Equals, 0, qt.Commentf("copies that nobody frees"))
	for _, w := range f.engines {
		qt.Check(t, w.Violations(), qt.HasLen, 0)
	}
}

// A caller's stream breaks off, lacks an event or has one twice, because the engine of its run leaves, or because
// something fails on the way to another one. A run that may have gone on twice, or with another's memory, is
// worse than one that is cut.
func TestRunMovesOffALeavingEngine(t *testing.T) {
	const whole = worker.Events
	gone := func(f *moveFleet) { f.list("b") }
	for name, test := range map[string]struct {
		path   string                 // /once/stream/x if empty
		moves  []worker.MoveBehaviour // of the engine that leaves
		leaves func(f *moveFleet)     // a is listed as leaving, and b, if nil
		age    time.Duration          // of the list by then
		delay  time.Duration          // between events, if not longDelay
		events int                    // that the caller gets; all of them in an answer that is complete
		at     []string               // engines that ran a part of the request
	}{
		"its entry says so":    {events: whole, at: []string{"a", "b"}},
		"its entry is removed": {leaves: gone, events: whole, at: []string{"a", "b"}},
		"an answer to a peer says so": {leaves: func(f *moveFleet) {
			f.list("a", "b")
			f.gateway.ApplyPeerFeedback("a", carawayspread.Feedback{Draining: true})
		}, events: whole, at: []string{"a", "b"}},
		"a stream that may be taken up":   {path: "/resume/stream/x", events: whole, at: []string{"a", "b"}},
		"no engine of its build":          {leaves: func(f *moveFleet) { f.list("a:leaving", "b:v2") }, events: whole, at: []string{"a"}},
		"no room at first":                {moves: []worker.MoveBehaviour{worker.MoveNoRoom}, events: whole, at: []string{"a", "b"}},
		"an earlier call is in progress":  {moves: []worker.MoveBehaviour{worker.MoveBusy}, events: whole, at: []string{"a", "b"}},
		"the answer to a copy is lost":    {moves: []worker.MoveBehaviour{worker.MoveLostAnswer}, events: whole, at: []string{"a", "b"}},
		"the copy outlasts the run":       {moves: []worker.MoveBehaviour{worker.MoveSlow}, delay: eventDelay, events: whole, at: []string{"a"}},
		"the other ends after the copy":   {moves: []worker.MoveBehaviour{worker.MoveThenGone}, events: whole, at: []string{"a", "a"}},
		"the other ends after the stop":   {moves: []worker.MoveBehaviour{worker.MoveCopy, worker.MoveThenGone}, events: whole, at: []string{"a", "a"}},
		"no room for the rest":            {moves: []worker.MoveBehaviour{worker.MoveCopy, worker.MoveNoRoom}, events: whole, at: []string{"a", "a", "b"}},
		"no room, and a gets nothing now": {moves: []worker.MoveBehaviour{worker.MoveCopy, worker.MoveNoRoom}, age: moveNotice, events: 1, at: []string{"a"}},
		"it ends during the copy":         {moves: []worker.MoveBehaviour{worker.MoveCrash}, events: 1, at: []string{"a"}},
		"it ends, may be taken up":        {path: "/resume/stream/x", moves: []worker.MoveBehaviour{worker.MoveCrash}, events: whole, at: []string{"a", "b"}},
		"the answer to the stop is lost":  {moves: []worker.MoveBehaviour{worker.MoveCopy, worker.MoveLostAnswer}, events: 1, at: []string{"a"}},
		"it is lost, may be taken up":     {path: "/resume/stream/x", moves: []worker.MoveBehaviour{worker.MoveCopy, worker.MoveLostAnswer}, events: whole, at: []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newMoveFleet(t, "a", "b", "c")
			f.engines["a"].ScriptMoves(test.moves...)
			if test.delay > 0 {
				f.engines["a"].SetEventDelay(test.delay)
			}
			f.list("a")
			if test.path == "" {
				test.path = "/once/stream/x"
			}
			s := f.begin(t, test.path)
			f.listAge = test.age
			if test.leaves == nil {
				test.leaves = func(f *moveFleet) { f.list("a:leaving", "b") }
			}
			test.leaves(f)
			body, err := s.rest()
			qt.Check(t, body, qt.Equals, eventsUpTo(test.events))
			qt.Check(t, err == nil, qt.Equals, test.events == whole, qt.Commentf("%v", err))
			qt.Check(t, s.resp.Header.Get("Carawayspread-Server-Seal"), qt.Equals, "a.id-1")
			qt.Check(t, f.ranAt(), qt.DeepEquals, test.at)
			f.checkNothingLeft(t)
		})
	}
}

// ranAt returns the engines that ran the request, one for each time.
func (f *moveFleet) ranAt() (at []string) {
	for id, w := range f.engines {
		for range w.Runs() {
			at = append(at, id)
		}
	}
	slices.Sort(at)
	return at
}

// A caller leaves while its run is copied, or after it has stopped. Its memory stays at two engines until it
// lapses, and takes room there; or the run goes on for nobody.
func TestRunWhoseCallerLeavesIsNotContinued(t *testing.T) {
	for name, script := range map[string][]worker.MoveBehaviour{
		"during the copy": {worker.MoveSlow},
		"during the stop": {worker.MoveCopy, worker.MoveSlow},
	} {
		t.Run(name, func(t *testing.T) {
			f := newMoveFleet(t, "a", "b")
			f.engines["a"].SetEventDelay(3 * time.Second)
			f.engines["a"].ScriptMoves(script...)
			f.list("a")
			s := f.begin(t, "/once/stream/x")
			f.list("a:leaving", "b")
			time.Sleep(worker.SlowCopy / 2)
			_ = s.resp.Body.Close()
			time.Sleep(worker.SlowCopy)
			qt.Check(t, f.engines["b"].Runs(), qt.Equals, 0)
			f.checkNothingLeft(t)
			qt.Check(t, f.gateway.moves.Len(), qt.Equals, 0)
		})
	}
}

// The move has ended when its call gives up: nothing else frees the copy.
func TestCopyIsFreedAfterItsMove(t *testing.T) {
	b := newHarness(t)
	moves := runmoves.New(b.clock, moveNotice)
	from := carawayspread.NewEndpoint("w0", "s", "z", "10.0.0.1:100", true)
	m := &runMove{c: &call{g: b.gateway}, from: from, handle: "m-1", run: moves.Began(runmoves.Start{Engine: "w0"})}
	m.abandon()
	for deadline := time.Now().Add(2 * time.Second); len(b.transport.all()) == 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	sent := b.transport.all()
	qt.Assert(t, sent, qt.HasLen, 1)
	qt.Check(t, sent[0].out.Method+" "+sent[0].out.Target, qt.Equals, "DELETE /-/kv-handle/m-1")
}
