package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// gapFixture is a placer with one prefill engine that has a queue and one decode engine.
type gapFixture struct {
	clock     *clockwork.FakeClock
	placer    *Placer
	gapTarget time.Duration
}

func newGapFixture(gapTarget time.Duration) *gapFixture {
	f := &gapFixture{clock: clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)), gapTarget: gapTarget}
	f.placer = New(carawayspread.Environment{Clock: f.clock, Zone: "z"})
	f.placer.SetEndpoints("s", []carawayspread.Endpoint{
		endpointOf("reads", carawayspread.RolePrefill), endpointOf("answers", carawayspread.RoleDecode),
	})
	return f
}

func (f *gapFixture) request(tokens int) carawayspread.PlacementRequest {
	return carawayspread.PlacementRequest{
		Route:   &carawayspread.Route{Name: "r", TargetLatency: time.Second, Timeout: 10 * time.Second, TargetGap: f.gapTarget},
		Service: carawayspread.RoutedService{Name: "s", Engine: &carawayspread.EngineTraits{Slots: 64, KVTokens: 1e6, TokensPerEvent: 7}},
		Prompt:  &carawayspread.Prompt{Tokens: tokens, MaxOutputTokens: 100},
		Arrived: f.clock.Now(), Deadline: f.clock.Now().Add(10 * time.Second),
	}
}

// setLoad reports n running answers at the decode engine and a queue at the prefill engine.
func (f *gapFixture) setLoad(n int, queue time.Duration) {
	decode, prefill := f.placer.byHash[hashOf("answers")], f.placer.byHash[hashOf("reads")]
	f.placer.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{
		{EndpointHash: decode.hash, Running: n, Tokens: 1000 * n}, {EndpointHash: prefill.hash, Running: 1, PrefillTime: queue},
	})
}

// Guards against decode engines that prefill for as long as the load lasts. Answers that start
// while a prompt is prefilled beside them are late by its event gaps, and so are later ones as long
// as each prompt finds a prefill in progress there. The next prompt waits for the prefill engine
// instead, though it would make no answer late that is not late already, unless that engine has a
// long queue.
func TestPrefillBesideDecodesDoesNotContinue(t *testing.T) {
	for name, c := range map[string]struct {
		queue       time.Duration
		prefillOnly bool
	}{
		"a queue":      {300 * time.Millisecond, true},
		"a long queue": {3 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newGapFixture(100 * time.Millisecond)
			f.setLoad(6, c.queue)
			f.placer.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{{EndpointHash: hashOf("answers"), Running: 6, PrefillTime: 100 * time.Millisecond}})
			at, err := f.placer.Place(f.request(6000))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, at.PrefillOnly, qt.Equals, c.prefillOnly)
		})
	}
}

// Guards against gaps in running answers: with a queue at the prefill engine, a long prompt was
// prefilled beside decodes, a chunk between any two steps, although each first event was early. The
// prompt waits for the prefill engine where the gap would be too long. It is prefilled beside
// decodes where the gap target allows it, where no answer runs, or where the prompt is so short
// that the gap stays within the target.
func TestPrefillAvoidsDecodesItWouldDelay(t *testing.T) {
	const queue = 300 * time.Millisecond
	for name, c := range map[string]struct {
		gapTarget   time.Duration
		decodes     int
		tokens      int
		prefillOnly bool
	}{
		"the gap would be too long":    {100 * time.Millisecond, 6, 6000, true},
		"the gap is within the target": {300 * time.Millisecond, 6, 6000, false},
		"no gap target":                {0, 6, 6000, false},
		"no running answers":           {100 * time.Millisecond, 0, 6000, false},
		"a short prompt":               {100 * time.Millisecond, 6, 500, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newGapFixture(c.gapTarget)
			f.setLoad(c.decodes, queue)
			at, err := f.placer.Place(f.request(c.tokens))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, at.PrefillOnly, qt.Equals, c.prefillOnly)
		})
	}
}

// Guards against answers that start in time and then have long gaps because their decode engine
// prefills prompts: the answer is placed where nothing is prefilled, although the KV cache takes
// longer to get there.
func TestDecodeAvoidsEngineWithPrefills(t *testing.T) {
	f := newGapFixture(100 * time.Millisecond)
	f.placer.SetEndpoints("s", []carawayspread.Endpoint{
		endpointOf("reads", carawayspread.RolePrefill), endpointOf("answers", carawayspread.RoleDecode),
		carawayspread.NewEndpoint("far", "s", "far", "10.0.0.2:1", false, carawayspread.WithRole(carawayspread.RoleDecode)),
	})
	req := f.request(6000)
	req.PrefilledBy = "reads"
	req.Service.Engine.KVBytesPerToken, req.Service.Engine.LinkBitsPerSecond = 1, 6000*8*10 // takes 100 ms
	for _, c := range []struct {
		prefill time.Duration
		want    carawayspread.EndpointID
	}{{0, "answers"}, {time.Second, "far"}} {
		f.placer.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{{EndpointHash: hashOf("answers"), Running: 1, PrefillTime: c.prefill}})
		at, err := f.placer.Place(req)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, at.Endpoint.ID(), qt.Equals, c.want)
	}
}

// Decode engines that do not tolerate prefill are detected from observations: tokens for each
// event, the length of prompts and the slowdown of the prefill engines.
func TestDecodeOnlyEnginesAreDetected(t *testing.T) {
	for name, c := range map[string]struct {
		gapTarget  time.Duration
		decodeOnly bool
	}{
		"short gap target": {100 * time.Millisecond, true},
		"long gap target":  {300 * time.Millisecond, false},
		"no gap target":    {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newGapFixture(c.gapTarget)
			_, err := f.placer.Place(f.request(6000))
			qt.Assert(t, err, qt.IsNil)
			f.clock.Advance(time.Second)
			for _, engine := range f.placer.Roles()[0].Engines {
				qt.Check(t, engine.PrefillDelaysDecode, qt.Equals, c.decodeOnly && engine.Role == carawayspread.RoleDecode)
			}
		})
	}
}

// The step time of an engine is learned from the events of its answers. If it were assumed too
// short, every gap would seem to meet its target.
func TestStepTimeIsLearnedFromEvents(t *testing.T) {
	f := newGapFixture(100 * time.Millisecond)
	req := f.request(100)
	at, err := f.placer.Place(req)
	qt.Assert(t, err, qt.IsNil)
	tracker := f.placer.Sent(req, at)
	f.clock.Advance(time.Second)
	tracker.Answered()
	e := f.placer.byHash[hashOf(at.Endpoint.ID())]
	before := e.eventGap(4, 7, 0, 100)
	for range 100 {
		f.clock.Advance(50 * time.Millisecond)
		tracker.Event()
	}
	qt.Check(t, e.eventGap(1, 7, 0, 100) > 45*time.Millisecond, qt.IsTrue)
	qt.Check(t, before < 30*time.Millisecond, qt.IsTrue)
	tracker.End(carawayspread.OutcomeServed)
}
