// Package baselineplacement holds the baselines that placements are compared with.
//
// They share one rule: prompts are prefilled by engines with the prefill role, where there are any,
// and the answer comes from the engine with the fewest attempts of this process. They do not
// consider other processes, time, or what an engine has cached.
package baselineplacement

import (
	"hash/fnv"
	"sort"
	"sync"
	"time"

	"carawayspread"
)

const (
	// maxPromptTokens bounds the prompt tokens that one process has in flight at one prefill engine,
	// for boundedHome.
	maxPromptTokens = 15000
	// retryDelay is the Retry-After time of a refused caller.
	retryDelay = time.Second
)

// Placer is a carawayspread.Placer that follows one simple rule.
type Placer struct {
	pick func(p *Placer, candidates []carawayspread.Endpoint, req carawayspread.PlacementRequest) (carawayspread.Endpoint, bool)

	mu        sync.Mutex
	endpoints map[string][]carawayspread.Endpoint
	count     map[carawayspread.EndpointID]int
	tokens    map[carawayspread.EndpointID]int
	turn      int
}

func register(name string, pick func(*Placer, []carawayspread.Endpoint, carawayspread.PlacementRequest) (carawayspread.Endpoint, bool)) func(carawayspread.Environment) carawayspread.Placer {
	return carawayspread.Placers.Register(name, func(carawayspread.Environment) carawayspread.Placer {
		return &Placer{
			pick: pick, endpoints: map[string][]carawayspread.Endpoint{},
			count: map[carawayspread.EndpointID]int{}, tokens: map[carawayspread.EndpointID]int{},
		}
	})
}

var (
	_ = register("roundRobin", roundRobin)
	_ = register("leastOutstanding", leastOutstanding)
	_ = register("fixedHome", fixedHome)
	_ = register("boundedHome", boundedHome)
)

func roundRobin(p *Placer, candidates []carawayspread.Endpoint, _ carawayspread.PlacementRequest) (carawayspread.Endpoint, bool) {
	p.turn++
	return candidates[p.turn%len(candidates)], true
}

func leastOutstanding(p *Placer, candidates []carawayspread.Endpoint, _ carawayspread.PlacementRequest) (carawayspread.Endpoint, bool) {
	best := candidates[0]
	for _, e := range candidates[1:] {
		if p.count[e.ID()] < p.count[best.ID()] {
			best = e
		}
	}
	return best, true
}

// fixedHome sends prompts with a shared prefix to the same endpoint, by rendezvous hashing.
func fixedHome(p *Placer, candidates []carawayspread.Endpoint, req carawayspread.PlacementRequest) (carawayspread.Endpoint, bool) {
	if req.Prompt == nil || len(req.Prompt.Parts) < 2 || req.PrefilledBy != "" {
		return leastOutstanding(p, candidates, req)
	}
	hashes := req.Prompt.PrefixHashes()
	shared := hashes[len(hashes)-2]
	var best carawayspread.Endpoint
	var bestScore uint64
	for _, e := range candidates {
		h := fnv.New64a()
		_, _ = h.Write([]byte(e.ID()))
		if score := (h.Sum64() ^ shared) * 0x9e3779b97f4a7c15; score >= bestScore {
			best, bestScore = e, score
		}
	}
	return best, true
}

func boundedHome(p *Placer, candidates []carawayspread.Endpoint, req carawayspread.PlacementRequest) (carawayspread.Endpoint, bool) {
	endpoint, ok := fixedHome(p, candidates, req)
	if req.Prompt != nil && req.PrefilledBy == "" && p.tokens[endpoint.ID()] > maxPromptTokens {
		return endpoint, false
	}
	return endpoint, ok
}

// SetEndpoints replaces the endpoints of a service.
func (p *Placer) SetEndpoints(service string, endpoints []carawayspread.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ordered := append([]carawayspread.Endpoint(nil), endpoints...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].ID() < ordered[j].ID() })
	p.endpoints[service] = ordered
}

// Place chooses an endpoint by the rule.
func (p *Placer) Place(req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var prefillEngines, others []carawayspread.Endpoint
	for _, e := range p.endpoints[req.Service.Name] {
		switch {
		case e.Leaving() || req.Exclude[e.ID()]:
		case e.Role() == carawayspread.RolePrefill:
			prefillEngines = append(prefillEngines, e)
		case req.Build != 0 && e.Build() != req.Build:
		default:
			others = append(others, e)
		}
	}
	if len(others) == 0 {
		return carawayspread.Placement{}, refuse()
	}
	candidates, prefillOnly := others, false
	if req.Prompt != nil && req.PrefilledBy == "" && !req.SingleEndpoint && len(prefillEngines) > 0 {
		candidates, prefillOnly = prefillEngines, true
	}
	pick := p.pick
	if req.PrefilledBy != "" {
		pick = leastOutstanding
	}
	endpoint, ok := pick(p, candidates, req)
	if !ok && !req.Admitted {
		return carawayspread.Placement{}, refuse()
	}
	return carawayspread.Placement{Endpoint: endpoint, PrefillOnly: prefillOnly}, nil
}

func refuse() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeOverloaded, "no endpoint can take the request now",
		carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
}

type attemptTracker struct {
	placer *Placer
	id     carawayspread.EndpointID
	tokens int
	once   sync.Once
}

// Sent counts an attempt.
func (p *Placer) Sent(req carawayspread.PlacementRequest, at carawayspread.Placement) carawayspread.AttemptTracker {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &attemptTracker{placer: p, id: at.Endpoint.ID()}
	if req.Prompt != nil {
		t.tokens = req.Prompt.Tokens
	}
	p.count[t.id]++
	p.tokens[t.id] += t.tokens
	return t
}

// Answered does nothing.
func (*attemptTracker) Answered() {}

// Event does nothing.
func (*attemptTracker) Event() {}

// Stalled always returns true: every long wait counts as a stall.
func (*attemptTracker) Stalled() bool { return true }

// End removes the attempt from the count.
func (t *attemptTracker) End(carawayspread.Outcome) {
	t.once.Do(func() {
		t.placer.mu.Lock()
		defer t.placer.mu.Unlock()
		t.placer.count[t.id]--
		t.placer.tokens[t.id] -= t.tokens
	})
}

// ApplyLoadUpdates ignores what peers report.
func (*Placer) ApplyLoadUpdates(string, []carawayspread.LoadUpdate) {}

// Crashed does nothing.
func (*Placer) Crashed(carawayspread.EndpointID) {}

// MarkStale does nothing: the endpoint list will show it.
func (*Placer) MarkStale(carawayspread.EndpointID) {}
