package suspectparts

import "time"

const (
	// Refusal is how long a part is refused after its last crash. It outlasts the retries of callers.
	Refusal = 2 * time.Minute
	// MaxRefusal is the longest time from a trial to the next one.
	MaxRefusal = 24 * time.Hour
)

// refusalAfterTrial is how long a part is refused from each of its trials on. The last one holds for all
// later trials, so that a day has two of them.
var refusalAfterTrial = []time.Duration{10 * time.Minute, MaxRefusal}

// RefusalAfterTrial returns how long a part is refused from its trial of that number on.
func RefusalAfterTrial(n int) time.Duration {
	return refusalAfterTrial[min(max(n, 1), len(refusalAfterTrial))-1]
}

// TakeSettled returns the parts that are refused for crashes which this process observed, with the time
// left; each of them once for each crash. A part may become refused later than its crash: by crashes that
// peers observed, or as another part is cleared.
func (p *Parts) TakeSettled() map[uint64]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	refused := map[uint64]time.Duration{}
	for part := range p.unsaved {
		switch r := p.find(part); {
		case r == nil:
			delete(p.unsaved, part)
		case p.suspects.Contains(part) && p.refused([]uint64{part}, r):
			refused[part] = r.refusedUntil().Sub(p.clock.Now())
			delete(p.unsaved, part)
		}
	}
	return refused
}

// TakeCleared returns the parts that were refused, and have been answered here since.
func (p *Parts) TakeCleared() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	cleared := p.cleared
	p.cleared = nil
	return cleared
}

// Restore refuses a part for the time left, as processes before this one did, or as another one tries it.
func (p *Parts) Restore(part uint64, left time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.suspects.Get(part)
	if !ok {
		if r, ok = p.weak.Peek(part); !ok {
			r = &record{}
		}
		p.weak.Remove(part)
		p.suspects.Add(part, r)
	}
	r.restored = true
	r.until = later(r.until, p.clock.Now().Add(left))
	p.count()
}
