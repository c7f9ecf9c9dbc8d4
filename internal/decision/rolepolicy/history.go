package rolepolicy

import (
	"time"

	"carawayspread"
)

// directions are the role changes that an engine can make. None of them leads to an engine that
// only decodes: an engine with both roles does the same work, and also takes prompts when the mix
// swings. In no split that was measured did engines that only decode serve more
// (docs/design/roles.md).
var directions = [...]step{
	{carawayspread.RoleBoth, carawayspread.RolePrefill, 1},
	{carawayspread.RolePrefill, carawayspread.RoleBoth, 1},
	{carawayspread.RoleDecode, carawayspread.RoleBoth, 1},
	{carawayspread.RoleDecode, carawayspread.RolePrefill, 1},
}

const (
	// sampleInterval is the time over which one sample of the history is averaged.
	sampleInterval = 10 * time.Second
	// maxSamples is the length of the history: half an hour, which covers several swings of
	// minutes.
	maxSamples = 180
)

// history holds the load of the last half hour.
//
// A step that would have saved its cost with the load that arrived is justified whatever the
// forecast is. The gains and losses of a step under a mix that swings back and forth cancel out, so
// that the history leads to the split that is best over many swings and does not follow single
// ones.
type history struct {
	samples []load // one for each sampleInterval, a ring buffer once it is full
	next    int    // index of the next sample to overwrite
	sum     load   // of the sample in progress, in load times seconds
	sumTime time.Duration
}

// add adds a load that lasted for dt.
func (h *history) add(l load, dt time.Duration) {
	h.sum = h.sum.combine(1, l, dt.Seconds())
	h.sumTime += dt
	if h.sumTime < sampleInterval {
		return
	}
	sample := load{}.combine(0, h.sum, 1/h.sumTime.Seconds())
	h.sum, h.sumTime = load{}, 0
	if len(h.samples) < maxSamples {
		h.samples = append(h.samples, sample)
		return
	}
	h.samples[h.next] = sample
	h.next = (h.next + 1) % maxSamples
}

// missed returns the work that a split would have missed over the history, in engine-seconds.
func (h *history) missed(s split, model model) float64 {
	total := 0.0
	for _, l := range h.samples {
		total += model.missed(s, l)
	}
	return total * sampleInterval.Seconds()
}

// candidateSteps returns the steps from a split that move up to limit engines. Their sizes double,
// as it matters little whether four or five engines move together.
func candidateSteps(from split, limit int) []step {
	found := make([]step, 0, 64)
	for _, s := range directions {
		for s.n = 1; s.n <= min(limit, *from.counter(s.from)); s.n *= 2 {
			if from.after(s).coversBothPhases() {
				found = append(found, s)
			}
		}
	}
	return found
}
