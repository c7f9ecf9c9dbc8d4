package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Long prompts come back after seconds though each process expects no wait: engines are three times as
// slow as their nominal time says, all processes count their queues down three times too fast, and the
// engines that look idle get the next prompts too. Refused in time, callers would have come back.
func TestQueueOfSlowEnginesIsSeen(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay("estimate", true, 24, 8, 8)
		r.rand = rand.New(rand.NewPCG(1, seed))
		for _, e := range r.engines {
			e.slowdown = 3
		}
		burst := long
		burst.perSecond = 75
		var queued, known time.Duration
		for at := 1500 * time.Millisecond; at < 4*time.Second; at += 100 * time.Millisecond {
			r.after(at, func() {
				now := r.clock.Now()
				for n := range 8 {
					id := carawayspread.EndpointID(fmt.Sprint("w", n))
					queued += max(0, r.engines[id].freeAt.Sub(now))
					for _, placer := range r.placers {
						p := placer.(*Placer)
						e := p.pools["s"].engines[id]
						e.settle(now, p.load(now, e))
						known += e.wait(now) / time.Duration(len(r.placers))
					}
				}
			})
		}
		r.exchangeSpeeds(r.clock.Now().Add(4 * time.Second))
		r.run(4*time.Second, burst)
		t.Logf("mean queue %v, known %v; longest time of one admitted at once %v", queued/200, known/200, r.worstWait)
		qt.Check(t, float64(known) > 0.6*float64(queued), qt.IsTrue)
		qt.Check(t, float64(known) < 1.6*float64(queued), qt.IsTrue)
	}
}

// Where two of three prompts are urgent and engines prefill those first, a patient prompt waits for all
// and an urgent one for the urgent ones alone. The urgent ones, which come back early, made the queue seem
// to have gone, and patient prompts waited behind it.
func TestWaitFollowsUrgency(t *testing.T) {
	r := newReplay("estimate", true, 1, 1, 1)
	p := r.placers[0].(*Placer)
	pool := p.pools["s"]
	e := pool.engines["w0"]
	for range 300 {
		pool.urgency.observe(0, 40*time.Millisecond)
		pool.urgency.observe(2, 60*time.Millisecond)
	}
	now := r.clock.Now()
	e.addPrefill(now, time.Second)
	urgent, patient := e.waitFor(now, pool.urgency.of(0), 0), e.waitFor(now, pool.urgency.of(2), 0)
	qt.Check(t, urgent > 350*time.Millisecond && urgent < 450*time.Millisecond, qt.IsTrue, qt.Commentf("%v", urgent))
	qt.Check(t, patient >= time.Second, qt.IsTrue, qt.Commentf("%v", patient))
	req := r.placing(long)
	req.Route.Priority = 0
	for range 10 {
		a := p.Sent(req, carawayspread.Placement{Endpoint: e.endpoint, PrefillOnly: true, PrefillTime: 40 * time.Millisecond})
		r.clock.Advance(20 * time.Millisecond)
		e.addPrefill(r.clock.Now(), 20*time.Millisecond) // the queue stays as long as it is
		a.Answered()
		a.End(carawayspread.OutcomeServed)
	}
	qt.Check(t, e.wait(r.clock.Now()) > 700*time.Millisecond, qt.IsTrue, qt.Commentf("%v", e.wait(r.clock.Now())))
}

// A process that has no peers to learn from sends a slow engine that always has a queue as much as the
// others, unless the lateness of answers that waited there, beyond that of the others, shows its speed.
func TestQueuedAnswersRevealSlowEngine(t *testing.T) {
	ratio := 0.0
	for seed := range uint64(8) {
		r := newReplay("estimate", true, 2, 4, 4)
		r.rand = rand.New(rand.NewPCG(1, 2+seed))
		r.engines["w0"].slowdown = 3
		r.run(20*time.Second, long)
		engines := r.placers[0].(*Placer).pools["s"].engines
		ratio += engines["w0"].slowdown / engines["w1"].slowdown / 8
	}
	qt.Check(t, ratio > 2.2, qt.IsTrue, qt.Commentf("%.2f times slower", ratio))
}

// Prompts found too few decode engines for half a minute: the first answers of a peak, which had waited for
// prompts that were not known yet, made all engines look slower than they are, and a third of the fleet
// changed its role. Roles follow a speed that many measurements show.
func TestRolesFollowProvenSpeeds(t *testing.T) {
	for name, c := range map[string]struct {
		measurements float64
		least, most  float64 // of the part of the slowdown that roles follow, as a power of it
	}{
		"the first answer":  {1, 0, 0.15},
		"many measurements": {200, 0.9, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay("estimate", true, 1, 1, 1)
			p := r.placers[0].(*Placer)
			e := p.pools["s"].engines["w0"]
			p.LearnSpeeds([]carawayspread.EngineSpeed{{Engine: e.speed.key, Prefill: carawayspread.SpeedShare{Ratio: 0.8, Weight: c.measurements}}}, 1)
			power := math.Log(p.pools["s"].provenSlowdown(e)) / math.Log(e.slowdown)
			qt.Check(t, power >= c.least && power <= c.most, qt.IsTrue, qt.Commentf("%.2f of %.2f", power, e.slowdown))
		})
	}
}
