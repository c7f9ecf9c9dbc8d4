// Package plainplacement holds the baselines that placements are compared with.
//
// They share one rule: prompts are read by engines that only read, where there
// are any, and answered by the one with the fewest attempts of this process.
// They know nothing of other processes, of time, or of what an engine holds.
package plainplacement

import (
	"hash/fnv"
	"sort"
	"sync"
	"time"

	"carawayspread"
)

const (
	// boundTokens is the bound on prompt tokens of one process at one reader.
	boundTokens = 15000
	// comeBack is when a refused caller may try again.
	comeBack = time.Second
)

// Placer is a carawayspread.Placer by one simple rule.
type Placer struct {
	pick func(p *Placer, open []carawayspread.Endpoint, req carawayspread.PlacementRequest) (carawayspread.Endpoint, bool)

	mu     sync.Mutex
	known  map[string][]carawayspread.Endpoint
	count  map[carawayspread.EndpointID]int
	tokens map[carawayspread.EndpointID]int
	turn   int
}

func register(name string, pick func(*Placer, []carawayspread.Endpoint, carawayspread.PlacementRequest) (carawayspread.Endpoint, bool)) func(carawayspread.Environment) carawayspread.Placer {
	return carawayspread.Placers.Register(name, func(carawayspread.Environment) carawayspread.Placer {
		return &Placer{
			pick: pick, known: map[string][]carawayspread.Endpoint{},
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

func roundRobin(p *Placer, open []carawayspread.Endpoint, _ carawayspread.PlacementRequest) (carawayspread.Endpoint, bool) {
	p.turn++
	return open[p.turn%len(open)], true
}

func leastOutstanding(p *Placer, open []carawayspread.Endpoint, _ carawayspread.PlacementRequest) (carawayspread.Endpoint, bool) {
	best := open[0]
	for _, e := range open[1:] {
		if p.count[e.ID()] < p.count[best.ID()] {
			best = e
		}
	}
	return best, true
}

// fixedHome sends each shared beginning to one reader, by rendezvous hashing.
func fixedHome(p *Placer, open []carawayspread.Endpoint, req carawayspread.PlacementRequest) (carawayspread.Endpoint, bool) {
	if req.Prompt == nil || len(req.Prompt.Parts) < 2 || req.PrefilledBy != "" {
		return leastOutstanding(p, open, req)
	}
	chains := req.Prompt.PrefixHashes()
	shared := chains[len(chains)-2]
	var best carawayspread.Endpoint
	var most uint64
	for _, e := range open {
		h := fnv.New64a()
		_, _ = h.Write([]byte(e.ID()))
		if score := (h.Sum64() ^ shared) * 0x9e3779b97f4a7c15; score >= most {
			best, most = e, score
		}
	}
	return best, true
}

func boundedHome(p *Placer, open []carawayspread.Endpoint, req carawayspread.PlacementRequest) (carawayspread.Endpoint, bool) {
	home, ok := fixedHome(p, open, req)
	if req.Prompt != nil && req.PrefilledBy == "" && p.tokens[home.ID()] > boundTokens {
		return home, false
	}
	return home, ok
}

// SetEndpoints replaces the endpoints of a service.
func (p *Placer) SetEndpoints(service string, endpoints []carawayspread.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ordered := append([]carawayspread.Endpoint(nil), endpoints...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].ID() < ordered[j].ID() })
	p.known[service] = ordered
}

// Place chooses by the rule.
func (p *Placer) Place(req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var readers, others []carawayspread.Endpoint
	for _, e := range p.known[req.Service.Name] {
		switch {
		case e.Leaving() || req.Exclude[e.ID()]:
		case e.Role() == carawayspread.RolePrefill:
			readers = append(readers, e)
		default:
			others = append(others, e)
		}
	}
	if len(others) == 0 {
		return carawayspread.Placement{}, refuse()
	}
	open, reads := others, false
	if req.Prompt != nil && req.PrefilledBy == "" && !req.SingleEndpoint && len(readers) > 0 {
		open, reads = readers, true
	}
	pick := p.pick
	if req.PrefilledBy != "" {
		pick = leastOutstanding
	}
	endpoint, ok := pick(p, open, req)
	if !ok && !req.Admitted {
		return carawayspread.Placement{}, refuse()
	}
	return carawayspread.Placement{Endpoint: endpoint, PrefillOnly: reads}, nil
}

func refuse() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeOverloaded, "no endpoint can take the request now",
		carawayspread.NotRun(), carawayspread.RetryAfter(comeBack))
}

type stay struct {
	placer *Placer
	id     carawayspread.EndpointID
	tokens int
	once   sync.Once
}

// Sent counts an attempt.
func (p *Placer) Sent(req carawayspread.PlacementRequest, at carawayspread.Placement) carawayspread.AttemptTracker {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &stay{placer: p, id: at.Endpoint.ID()}
	if req.Prompt != nil {
		s.tokens = req.Prompt.Tokens
	}
	p.count[s.id]++
	p.tokens[s.id] += s.tokens
	return s
}

// Answered learns nothing.
func (*stay) Answered() {}

// Event learns nothing.
func (*stay) Event() {}

// Stalled takes every wait that is long for a stall.
func (*stay) Stalled() bool { return true }

// End counts the attempt off.
func (s *stay) End(carawayspread.Outcome) {
	s.once.Do(func() {
		s.placer.mu.Lock()
		defer s.placer.mu.Unlock()
		s.placer.count[s.id]--
		s.placer.tokens[s.id] -= s.tokens
	})
}

// ApplyLoadUpdates learns nothing from peers.
func (*Placer) ApplyLoadUpdates(string, []carawayspread.LoadUpdate) {}

// Crashed learns nothing.
func (*Placer) Crashed(carawayspread.EndpointID) {}

// MarkStale changes nothing: the list will tell.
func (*Placer) MarkStale(carawayspread.EndpointID) {}
