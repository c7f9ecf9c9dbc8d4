package placement

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mix is the load and the fleet of one user, from its sizing sheet.
type mix struct {
	name                                     string
	processes, prefillEngines, decodeEngines int
	patterns                                 []pattern
}

func mixes() []mix {
	long := pattern{tokens: 11992, shared: 5382, prefixes: 40, target: 600 * time.Millisecond, bytes: 12000, sigma: .9}
	short := pattern{tokens: 826, shared: 198, prefixes: 40, target: 300 * time.Millisecond, bytes: 900, sigma: .9}
	flag := pattern{tokens: 2368, shared: 568, prefixes: 40, target: 400 * time.Millisecond, bytes: 2400, sigma: .85}
	withRates := func(a, b, c float64) []pattern {
		x, y, z := long, short, flag
		x.perSecond, y.perSecond, z.perSecond = a, b, c
		return []pattern{x, y, z}
	}
	return []mix{
		{"Toponimia", 4, 6, 12, withRates(38.1, 32.3, 65.4)},
		{"Vanua", 5, 4, 8, withRates(25.4, 21.5, 43.5)},
	}
}

// scaled returns the patterns with their request rates multiplied by load.
func (m mix) scaled(load float64) []pattern {
	patterns := slices.Clone(m.patterns)
	for i := range patterns {
		patterns[i].perSecond *= load
	}
	return patterns
}

// bound returns the share of the requests that any placement can answer in time: those whose own
// prefill, with the shared part cached, ends within the target, least work first, until the time of
// all engines is used up. Engines that decode prefill at half the speed; waiting and uneven arrival
// cost nothing.
func (m mix) bound(requests []pattern, d time.Duration) float64 {
	works := make([]time.Duration, 0, len(requests))
	for _, p := range requests {
		if work := time.Duration(p.tokens-p.shared) * modelTimePerToken; work+modelDelay <= p.target {
			works = append(works, work)
		}
	}
	slices.SortFunc(works, cmp.Compare)
	engineTime := time.Duration(float64(d) * (float64(m.prefillEngines) + float64(m.decodeEngines)/2))
	n := 0
	for _, work := range works {
		if engineTime -= work; engineTime < 0 {
			break
		}
		n++
	}
	return float64(n) / float64(len(requests))
}

// capacity returns the load at which prefill alone takes the time of all engines.
func (m mix) capacity() float64 {
	var need float64 // in engines
	for _, p := range m.patterns {
		need += p.perSecond * (time.Duration(p.tokens-p.shared) * modelTimePerToken).Seconds()
	}
	return (float64(m.prefillEngines) + float64(m.decodeEngines)/2) / need
}

const mixDuration = 40 * time.Second

func (m mix) replay(placer string, load float64) *replay {
	return newReplay(placer, true, m.processes, m.prefillEngines, m.decodeEngines).run(mixDuration, m.scaled(load)...)
}

// Guards against a placement that answers far fewer requests of either user in time than any
// placement could, and against one that answers far fewer at twice the load of a full fleet than at
// its full load: unless late requests are refused at once, those that could meet their target wait
// behind them.
func TestMixesNearTheBound(t *testing.T) {
	for _, m := range mixes() {
		t.Run(m.name, func(t *testing.T) {
			usual := m.replay("estimate", 1)
			qt.Check(t, usual.share() >= 0.9*m.bound(usual.requests, mixDuration), qt.IsTrue, qt.Commentf("%.3f", usual.share()))
			full, twice := m.replay("estimate", m.capacity()), m.replay("estimate", 2*m.capacity())
			qt.Check(t, float64(twice.inTime) >= 0.9*float64(full.inTime), qt.IsTrue, qt.Commentf("%d of %d", twice.inTime, full.inTime))
		})
	}
}

// Guards against many processes meeting fewer targets than few do, with the same engines at full
// load. Each of forty processes gets few answers from an engine, and learns from the answers of the
// others how far behind the engine is. Without that, an engine that is a second behind keeps
// getting prompts from all processes that have not used it lately.
func TestManyProcessesMeetTargetsLikeFew(t *testing.T) {
	m := mixes()[0]
	m.prefillEngines, m.decodeEngines = 3*m.prefillEngines, 3*m.decodeEngines
	for i := range m.patterns {
		m.patterns[i].perSecond *= 3
	}
	few, many := m, m
	few.processes, many.processes = 4, 40
	atFew, atMany := few.replay("estimate", m.capacity()), many.replay("estimate", m.capacity())
	t.Logf("in time: %d with 4 processes, %d with 40", atFew.inTime, atMany.inTime)
	qt.Check(t, float64(atMany.inTime) >= 0.95*float64(atFew.inTime), qt.IsTrue)
	qt.Check(t, atMany.share() >= 0.9, qt.IsTrue, qt.Commentf("%.3f", atMany.share()))
}

// Guards against engines that prefill a shared prefix again which another engine holds: each such
// prefill takes engine time that is missing at a peak.
func TestPrefixesAreSeldomRecomputed(t *testing.T) {
	for _, m := range mixes() {
		t.Run(m.name, func(t *testing.T) {
			r := m.replay("estimate", 1.5)
			qt.Check(t, float64(r.recomputed) < 0.25*float64(r.total), qt.IsTrue, qt.Commentf("%d of %d", r.recomputed, r.total))
			qt.Check(t, r.share() >= 0.95*m.bound(r.requests, mixDuration), qt.IsTrue, qt.Commentf("%.3f", r.share()))
		})
	}
}

func TestMeasureMixes(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("prints tables; run by make measure")
	}
	for _, m := range mixes() {
		fmt.Printf("| %s %d+%d, %d processes | load | bound | in time | late | refused | shared parts read again |\n|---|---|---|---|---|---|---|\n", m.name, m.prefillEngines, m.decodeEngines, m.processes)
		row := func(name string, load float64) {
			r := m.replay(name, load)
			percent := func(n int) float64 { return 100 * float64(n) / float64(r.total) }
			fmt.Printf("| %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |\n", name, load, 100*m.bound(r.requests, mixDuration),
				percent(r.inTime), percent(r.late), percent(r.refused), percent(r.recomputed))
		}
		for _, name := range []string{"roundRobin", "leastOutstanding", "fixedHome", "boundedHome", "estimate"} {
			row(name, 1)
		}
		for _, load := range []float64{1.5, 2, m.capacity(), 2 * m.capacity()} {
			row("estimate", load)
		}
		row("roundRobin", 2*m.capacity())
	}
}
