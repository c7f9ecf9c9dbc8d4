package suspectparts

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"carawayspread"
)

const (
	// memory is how long a crash that does not suffice to refuse its part is kept.
	memory = 10 * time.Minute
	// maxParts bounds the parts with crashes, and maxSuspects those that may be refused: about 500 bytes
	// each.
	maxParts     = 2048
	maxSuspects  = 128
	maxExplained = 1024 // endpoints
)

// Request is what counts of a prompt that broke off.
type Request struct {
	Parts   []uint64 // keys of the parts that other prompts may share
	Witness uint32   // session
}

// Parts holds what one process knows of parts that broke off. It is safe for concurrent use.
type Parts struct {
	clock carawayspread.Clock

	mu  sync.Mutex
	rng *rand.Rand
	// weak are the parts with crashes that do not suffice; suspects those with enough, counted alone.
	weak, suspects *lru.LRU[uint64, *record]
	answered       *lru.LRU[uint64, time.Time] // when each part that had crashes was answered last
	// running are endpoints that have proved to run on, and when.
	running   *lru.LRU[carawayspread.EndpointID, time.Time]
	unsaved   map[uint64]struct{}                      // with a crash that this process observed and that is not saved
	explained *lru.LRU[carawayspread.EndpointID, bool] // whose crashes a refused part explains; whether taken
	cleared   []uint64                                 // were refused and answered here; not taken yet

	known atomic.Int64 // number of parts in weak and suspects, readable without the lock
}

// New returns Parts that know of no crash. rng chooses what is reported.
func New(clock carawayspread.Clock, rng *rand.Rand) *Parts {
	return &Parts{
		clock: clock, rng: rng, unsaved: map[uint64]struct{}{},
		weak: newLRU[uint64, *record](maxParts), suspects: newLRU[uint64, *record](maxSuspects),
		answered: newLRU[uint64, time.Time](maxParts), explained: newLRU[carawayspread.EndpointID, bool](maxExplained), running: newLRU[carawayspread.EndpointID, time.Time](maxExplained),
	}
}

func newLRU[K comparable, V any](size int) *lru.LRU[K, V] {
	l, err := lru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // the sizes are constants
	}
	return l
}

// Crashed records that the endpoint crashed while the requests ran there, and returns what peers do not
// know yet. doubtful says that something listened at its address shortly after.
func (p *Parts) Crashed(endpoint carawayspread.EndpointID, at time.Time, doubtful bool, requests []Request) []carawayspread.PartCrash {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if provedAt, ok := p.running.Peek(endpoint); ok && doubtful && !provedAt.Before(at) {
		return nil
	}
	var news []carawayspread.PartCrash
	for _, request := range requests {
		for _, part := range request.Parts {
			if answeredAt, ok := p.answered.Peek(part); ok && answeredAt.After(at) {
				continue
			}
			if p.record(part, crash{endpoint, at, request.Witness, doubtful}, now) {
				news = append(news, carawayspread.PartCrash{Part: part, Endpoint: endpoint, Witness: request.Witness, Age: now.Sub(at), Doubtful: doubtful})
				p.unsaved[part] = struct{}{}
			}
		}
	}
	p.explain()
	return news
}

// record records a crash under a part, and reports whether it was not known. A part with enough crashes
// becomes a suspect.
func (p *Parts) record(part uint64, c crash, now time.Time) bool {
	r, ok := p.suspects.Get(part)
	if !ok {
		if r, ok = p.weak.Get(part); !ok || now.Sub(r.lastCrash()) > memory {
			r = &record{}
			p.weak.Add(part, r)
		}
	}
	isNew := r.add(c)
	if isNew && r.harmful(none) && p.weak.Remove(part) {
		p.suspects.Add(part, r)
	}
	p.count()
	return isNew
}

func (p *Parts) count() { p.known.Store(int64(p.weak.Len() + p.suspects.Len())) }

// explain notes the endpoints whose crashes refused parts explain.
func (p *Parts) explain() {
	for _, part := range p.suspects.Keys() {
		r, _ := p.suspects.Peek(part)
		if !p.refused([]uint64{part}, r) {
			continue
		}
		for _, c := range r.crashes {
			if !p.explained.Contains(c.endpoint) {
				p.explained.Add(c.endpoint, false)
			}
		}
	}
}

// refused reports whether a prompt with the part of r is refused for it.
func (p *Parts) refused(prompt []uint64, r *record) bool { return r.restored || p.harmful(prompt, r) }

// TakeExplained returns endpoints whose crashes a refused part explains, each once.
func (p *Parts) TakeExplained() []carawayspread.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var explained []carawayspread.EndpointID
	for _, endpoint := range p.explained.Keys() {
		if taken, _ := p.explained.Peek(endpoint); !taken {
			explained = append(explained, endpoint)
			p.explained.Add(endpoint, true)
		}
	}
	return explained
}

// Empty reports whether nothing is known of any part.
func (p *Parts) Empty() bool { return p.known.Load() == 0 }

// Len returns the number of parts that are refused whatever else a prompt has.
func (p *Parts) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, part := range p.suspects.Keys() {
		if r, _ := p.suspects.Peek(part); p.refused([]uint64{part}, r) {
			n++
		}
	}
	return n
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
