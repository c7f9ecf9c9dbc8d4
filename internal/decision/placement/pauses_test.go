package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// pausing is a placer before one reader with a queue and one engine that answers.
type pausing struct {
	clock  *clockwork.FakeClock
	placer *Placer
	pause  time.Duration
}

func newPausing(pause time.Duration) *pausing {
	b := &pausing{clock: clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)), pause: pause}
	b.placer = New(carawayspread.Environment{Clock: b.clock, Zone: "z"})
	b.placer.SetEndpoints("s", []carawayspread.Endpoint{
		endpointOf("reads", carawayspread.RolePrefill), endpointOf("answers", carawayspread.RoleDecode),
	})
	return b
}

func (b *pausing) placing(tokens int) carawayspread.PlacementRequest {
	return carawayspread.PlacementRequest{
		Route:   &carawayspread.Route{Name: "r", TargetLatency: time.Second, Timeout: 10 * time.Second, TargetGap: b.pause},
		Service: carawayspread.RoutedService{Name: "s", Engine: &carawayspread.EngineTraits{Slots: 64, KVTokens: 1e6, TokensPerEvent: 7}},
		Prompt:  &carawayspread.Prompt{Tokens: tokens, MaxOutputTokens: 100},
		Arrived: b.clock.Now(), Deadline: b.clock.Now().Add(10 * time.Second),
	}
}

// answering has so many answers run, and the reader work off so much.
func (b *pausing) answering(n int, queue time.Duration) {
	answers, reads := b.placer.byHash[hashOf("answers")], b.placer.byHash[hashOf("reads")]
	b.placer.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{
		{EndpointHash: answers.hash, Running: n, Tokens: 1000 * n}, {EndpointHash: reads.hash, Running: 1, PrefillTime: queue},
	})
}

// Callers whose answers begin while a prompt is read beside them are late by its
// pauses, and so are those after them, as long as each prompt finds that one is read
// there already. The next one waits for the reader instead, though it would make
// nobody late that is not late by now; before a long queue it does not.
func TestReadingBesideAnswersDoesNotGoOn(t *testing.T) {
	for name, c := range map[string]struct {
		queue time.Duration
		reads bool
	}{
		"a queue":      {300 * time.Millisecond, true},
		"a long queue": {3 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newPausing(100 * time.Millisecond)
			b.answering(6, c.queue)
			b.placer.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{{EndpointHash: hashOf("answers"), Running: 6, PrefillTime: 100 * time.Millisecond}})
			at, err := b.placer.Place(b.placing(6000))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, at.PrefillOnly, qt.Equals, c.reads)
		})
	}
}

// Callers whose answers are under way see them pause, although each first event was
// early: a long prompt was read beside them, a piece between any two steps, since
// the reader had a queue. It waits for the reader where the pause would be too long,
// and is read beside where answers bear it, where none runs, or where it is so short
// that the pause stays in time.
func TestPromptIsNotReadBesideAnswersItWouldMakeLate(t *testing.T) {
	const queue = 300 * time.Millisecond
	for name, c := range map[string]struct {
		pause   time.Duration
		answers int
		tokens  int
		reads   bool
	}{
		"the pause would be too long": {100 * time.Millisecond, 6, 6000, true},
		"the pause is borne":          {300 * time.Millisecond, 6, 6000, false},
		"no pause is stated":          {0, 6, 6000, false},
		"nothing answers there":       {100 * time.Millisecond, 0, 6000, false},
		"a short prompt":              {100 * time.Millisecond, 6, 500, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newPausing(c.pause)
			b.answering(c.answers, queue)
			at, err := b.placer.Place(b.placing(c.tokens))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, at.PrefillOnly, qt.Equals, c.reads)
		})
	}
}

// A caller's answer starts in time and then pauses, as the engine that goes on with
// it reads prompts: it is placed where nothing is read, although the KV cache takes
// longer to get there.
func TestAnswerGoesWhereNothingIsRead(t *testing.T) {
	b := newPausing(100 * time.Millisecond)
	b.placer.SetEndpoints("s", []carawayspread.Endpoint{
		endpointOf("reads", carawayspread.RolePrefill), endpointOf("answers", carawayspread.RoleDecode),
		carawayspread.NewEndpoint("far", "s", "far", "10.0.0.2:1", false, carawayspread.WithRole(carawayspread.RoleDecode)),
	})
	req := b.placing(6000)
	req.PrefilledBy = "reads"
	req.Service.Engine.KVBytesPerToken, req.Service.Engine.LinkBitsPerSecond = 1, 6000*8*10 // a tenth of a second
	for _, c := range []struct {
		reading time.Duration
		want    carawayspread.EndpointID
	}{{0, "answers"}, {time.Second, "far"}} {
		b.placer.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{{EndpointHash: hashOf("answers"), Running: 1, PrefillTime: c.reading}})
		at, err := b.placer.Place(req)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, at.Endpoint.ID(), qt.Equals, c.want)
	}
}

// Engines whose answers bear no reading beside them are told apart by what is
// observed: events of so many tokens, the length of prompts, the pace of the readers.
func TestEnginesThatOnlyAnswerAreToldApart(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		only  bool
	}{
		"short pauses": {100 * time.Millisecond, true},
		"long pauses":  {300 * time.Millisecond, false},
		"none stated":  {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newPausing(c.pause)
			_, err := b.placer.Place(b.placing(6000))
			qt.Assert(t, err, qt.IsNil)
			b.clock.Advance(time.Second)
			for _, engine := range b.placer.Roles()[0].Engines {
				qt.Check(t, engine.PrefillDelaysDecode, qt.Equals, c.only && engine.Role == carawayspread.RoleDecode)
			}
		})
	}
}

// The steps of an engine are learnt from the events of its answers: thought faster
// than they are, every pause would seem to be borne.
func TestStepsAreLearntFromEvents(t *testing.T) {
	b := newPausing(100 * time.Millisecond)
	req := b.placing(100)
	at, err := b.placer.Place(req)
	qt.Assert(t, err, qt.IsNil)
	stay := b.placer.Sent(req, at)
	b.clock.Advance(time.Second)
	stay.Answered()
	e := b.placer.byHash[hashOf(at.Endpoint.ID())]
	before := e.pause(4, 7, 0, 100)
	for range 100 {
		b.clock.Advance(50 * time.Millisecond)
		stay.Event()
	}
	qt.Check(t, e.pause(1, 7, 0, 100) > 45*time.Millisecond, qt.IsTrue)
	qt.Check(t, before < 30*time.Millisecond, qt.IsTrue)
	stay.End(carawayspread.OutcomeServed)
}
