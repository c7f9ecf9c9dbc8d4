package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// exchangeSpeeds has the placers exchange speeds until the given time as sockets do: each 300 ms
// with two others, and news with all.
func (r *replay) exchangeSpeeds(end time.Time) {
	r.after(300*time.Millisecond, func() {
		for n, placer := range r.placers {
			p := placer.(*Placer)
			for range 2 {
				if other := r.rand.IntN(len(r.placers)); other != n {
					r.placers[other].(*Placer).LearnSpeeds(p.SpeedShares(30), len(r.placers))
				}
			}
			news := p.SpeedNews(24)
			for other := range r.placers {
				if other != n {
					r.placers[other].(*Placer).LearnSpeeds(news, len(r.placers))
				}
			}
		}
		if r.clock.Now().Before(end) {
			r.exchangeSpeeds(end)
		}
	})
}

// unevenReplay returns a fleet of 24 processes before 12 prefill engines of which every third is 2.4
// times as slow as the others.
func unevenReplay(seed uint64) *replay {
	r := newReplay("estimate", true, 24, 12, 12)
	r.rand = rand.New(rand.NewPCG(1, seed))
	for n := range 12 {
		r.engines[carawayspread.EndpointID(fmt.Sprint("w", n))].slowdown = []float64{0.7, 0.7, 1.7}[n%3]
	}
	return r
}

// relativeError returns the mean error of what a placer knows of the prefill engines, relative to their
// median.
func (r *replay) relativeError(p *Placer) float64 {
	median, _ := p.pools["s"].medianSlowdown(true)
	sum := 0.0
	for n := range 12 {
		id := carawayspread.EndpointID(fmt.Sprint("w", n))
		sum += math.Abs(math.Log(p.pools["s"].engines[id].slowdown/median) - math.Log(r.engines[id].slowdown/0.7))
	}
	return sum / 12
}

// Callers of processes that see each engine once in a few seconds wait at engines that are slow: for
// each process alone it takes as long as the load lasts to find out which. With what all others have
// measured, each knows.
func TestSpeedsAreLearnedByAll(t *testing.T) {
	uneven := long
	uneven.perSecond, uneven.prefixes = 170, 60
	alone, together := 0.0, 0.0
	lateAlone, late := 0, 0
	for seed := range uint64(4) {
		single := unevenReplay(seed).run(12*time.Second, uneven)
		r := unevenReplay(seed)
		r.exchangeSpeeds(r.clock.Now().Add(12 * time.Second))
		r.run(12*time.Second, uneven)
		for n := range r.placers {
			alone += single.relativeError(single.placers[n].(*Placer)) / 96
			together += r.relativeError(r.placers[n].(*Placer)) / 96
		}
		lateAlone, late = lateAlone+single.late+single.refused, late+r.late+r.refused
	}
	t.Logf("error of speeds %.2f alone, %.2f together; not in time %d, %d", alone, together, lateAlone, late)
	qt.Check(t, together < 0.2, qt.IsTrue)
	qt.Check(t, together < 0.8*alone, qt.IsTrue)
	qt.Check(t, float64(late) < 0.8*float64(lateAlone), qt.IsTrue)
}

// A process that starts before engines of unlike speeds sends all of them as much until its own answers
// have shown which are slow. It knows them as soon as one peer has answered.
func TestStartingProcessLearnsSpeeds(t *testing.T) {
	uneven := long
	uneven.perSecond = 70
	r := unevenReplay(1)
	r.exchangeSpeeds(r.clock.Now().Add(10 * time.Second))
	r.run(10*time.Second, uneven)
	started := New(carawayspread.Environment{Clock: r.clock, Zone: "z0", Rand: rand.New(rand.NewPCG(5, 6))})
	var endpoints []carawayspread.Endpoint
	for _, e := range r.engines {
		endpoints = append(endpoints, e.endpoint)
	}
	started.SetEndpoints("s", endpoints)
	before := r.relativeError(started)
	known := r.placers[0].(*Placer).KnownSpeeds()
	qt.Check(t, known, qt.DeepEquals, r.placers[0].(*Placer).KnownSpeeds(), qt.Commentf("nothing is handed over"))
	qt.Check(t, len(known) >= 12, qt.IsTrue)
	started.LearnSpeeds(r.placers[0].(*Placer).SpeedShares(30), len(r.placers))
	t.Logf("error %.2f before, %.2f after", before, r.relativeError(started))
	qt.Check(t, before > 0.25, qt.IsTrue)
	qt.Check(t, r.relativeError(started) < 0.2, qt.IsTrue)
}

// Streams at an engine that works three times slower for six seconds have long pauses. Processes without
// a stream there go on sending it more, unless others tell them; and if all took it for a slow engine,
// it would stand idle for as long again.
func TestPassingSlownessPasses(t *testing.T) {
	r := newReplay("estimate", true, 24, 2, 4)
	start := r.clock.Now()
	step := 7 * nominalStepTime(3) // of one event
	for _, id := range []carawayspread.EndpointID{"w2", "w2", "w2", "w3", "w4", "w5"} {
		placer := r.placers[r.seq%len(r.placers)].(*Placer)
		req := r.placing(long)
		req.PrefilledBy, req.Service.Engine.TokensPerEvent = "w0", 7
		tracker := placer.Sent(req, carawayspread.Placement{Endpoint: r.engines[id].endpoint})
		tracker.Answered()
		var next func()
		next = func() {
			tracker.Event()
			gap := step
			if since := r.clock.Now().Sub(start); id == "w2" && since >= 4*time.Second && since < 10*time.Second {
				gap *= 3
			}
			r.after(gap, next)
		}
		r.after(step, next)
	}
	r.exchangeSpeeds(start.Add(time.Minute))
	at := func(d time.Duration) (all, usual float64) {
		for len(r.events) > 0 && r.clock.Now().Before(start.Add(d)) {
			next := heap.Pop(&r.events).(event)
			r.clock.Advance(next.at.Sub(r.clock.Now()))
			next.run()
		}
		all = math.Inf(1)
		for _, placer := range r.placers {
			e := placer.(*Placer).pools["s"].engines["w2"]
			e.refreshPassing(r.clock.Now())
			all, usual = min(all, e.speed.passing), max(usual, e.stepSlowdown)
		}
		return all, usual
	}
	for _, c := range []struct {
		at   time.Duration
		slow bool
	}{{3900 * time.Millisecond, false}, {6 * time.Second, true}, {9 * time.Second, true}, {12500 * time.Millisecond, false}} {
		passing, usual := at(c.at)
		t.Logf("after %v: %.2f times slower at least, %.2f usually", c.at, passing, usual)
		qt.Check(t, passing > 1.5, qt.Equals, c.slow)
		qt.Check(t, usual < 1.6, qt.IsTrue)
	}
}

// An engine that starts again under its identifier, or changes its role, may be another machine: nothing
// that was measured of it before counts, nor what peers still say of it.
func TestRestartedEngineBeginsAnew(t *testing.T) {
	for name, again := range map[string][]carawayspread.EndpointOption{
		"started again": {carawayspread.WithRole(carawayspread.RolePrefill), carawayspread.WithBoot("2")},
		"another role":  {carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithBoot("1")},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay("estimate", false, 1, 1, 1)
			p := r.placers[0].(*Placer)
			before := carawayspread.NewEndpoint("w", "s", "z0", "10.0.0.1:1", false, carawayspread.WithRole(carawayspread.RolePrefill), carawayspread.WithBoot("1"))
			p.SetEndpoints("s", []carawayspread.Endpoint{before})
			evidence := []carawayspread.EngineSpeed{{Engine: speedKey(before), Prefill: carawayspread.SpeedShare{Ratio: math.Log(3), Weight: 20}, Passing: carawayspread.PassingSlowness{Ratio: 1, Weight: 4}}}
			for range 8 {
				p.LearnSpeeds(evidence, 1)
			}
			e := p.pools["s"].engines["w"]
			qt.Check(t, e.slowdown > 2.5, qt.IsTrue, qt.Commentf("%.2f", e.slowdown))
			qt.Check(t, e.speed.passing > 1.5, qt.IsTrue)
			p.SetEndpoints("s", []carawayspread.Endpoint{carawayspread.NewEndpoint("w", "s", "z0", "10.0.0.1:1", false, again...)})
			p.LearnSpeeds(evidence, 1)
			qt.Check(t, p.pools["s"].engines["w"].presentSlowdown(), qt.Equals, 1.0)
		})
	}
}
