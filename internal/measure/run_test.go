package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"carawayspread"
)

const (
	firstWorkspace = "workspace 0" // the hot one, where one is hot
	planEvery      = 5 * time.Second
	decodeRate     = 1000 // tokens a second of a gpu at 40 ms between tokens
)

// kind is a class of work with the shape of its requests.
type kind struct {
	class          carawayspread.Class
	plain          bool // goes to the records service
	prompt, answer float64
	shared         float64 // tokens of the prompt that requests have in common
	prefixes       int     // different shared parts
}

// cost returns the engine-seconds of a request without a cache.
func (k kind) cost() float64 {
	if k.plain {
		return 0.006
	}
	return (k.prompt-k.shared/2)/gpu.prefillRate + k.answer/decodeRate
}

// fleet is one user's fleet and mixes.
type fleet struct {
	name                      string
	engines, records, entries int
	workspaces                int
	kinds                     []kind
	mixes                     [][]float64 // each the part of the work that each kind brings
	phase                     time.Duration
	length                    time.Duration
	busy                      float64 // offered work as a part of what the engines can do
	hot                       float64 // times its share that workspace 0 sends in addition
	slow                      float64 // speed of engine 0; zero means full
	gone                      int     // engines withdrawn half-way
	seed                      uint64
}

// arrivals draws the requests of a run; they are the same for every variant.
func (f fleet) arrivals() []*call {
	var calls []*call
	for k, shape := range f.kinds {
		rng := rand.New(rand.NewPCG(f.seed, uint64(k)))
		size := float64(f.engines)
		if shape.plain {
			size = 1 // a few lookups a second for each worker
		}
		for at := time.Duration(0); ; {
			mix := f.mixes[int(at/f.phase)%len(f.mixes)]
			rate := f.busy * size * mix[k] / shape.cost()
			next := at + time.Duration(rng.ExpFloat64()/rate/(1+f.hot/float64(f.workspaces))*1e9)
			if next/f.phase > at/f.phase {
				at = (at/f.phase + 1) * f.phase // the next mix starts: memoryless
				if at >= f.length {
					break
				}
				continue
			}
			at = next
			if at >= f.length {
				break
			}
			calls = append(calls, f.draw(rng, k, at))
		}
	}
	slices.SortStableFunc(calls, func(a, b *call) int { return a.job.Arrived.Compare(b.job.Arrived) })
	return calls
}

func (f fleet) draw(rng *rand.Rand, k int, at time.Duration) *call {
	shape := f.kinds[k]
	workspace := rng.IntN(f.workspaces)
	if f.hot > 0 && rng.Float64() < f.hot/(f.hot+float64(f.workspaces)) {
		workspace = 0
	}
	size := 0.5 + rng.Float64()
	prefix := uint64(k)<<32 | uint64(rng.IntN(max(1, shape.prefixes)))
	c := &call{
		class: k, prompt: shape.shared + (shape.prompt-shape.shared)*size, shared: shape.shared, prefix: prefix,
		answer: float64(max(1, int(shape.answer*(0.5+rng.Float64())))),
	}
	c.job = &carawayspread.Job{
		ID: fmt.Sprint(k, at), Workspace: fmt.Sprintf("workspace %d", workspace), Service: "service", Model: "model",
		Class: shape.class, Arrived: epoch.Add(at), Prefix: prefix, Fingerprint: rng.Uint64(),
		Cost: carawayspread.Cost{Prefill: int(c.prompt), Decode: int(shape.answer)},
	}
	return c
}

// run is one fleet under one variant.
type run struct {
	*sim
	fleet    fleet
	variant  variant
	engines  []*engine
	entries  []*entry // those before the engines, then those before the records
	policy   carawayspread.RolePolicy
	changes  int
	arriving map[int]*carawayspread.Cost
	result   result
}

// variant is one way to decide: modules of the registries by name, where an
// empty name is what daemons run.
type variant struct {
	name                                string
	scheduler, router, limiter, ejector string
	roles                               string
	budget                              bool // retries are bounded
	urgent                              bool // engines are told when each answer is due
	split                               func(engines []*engine)
}

func (f fleet) play(v variant) result {
	r := &run{sim: &sim{}, fleet: f, variant: v, arriving: map[int]*carawayspread.Cost{}, result: newResult(f, v)}
	for i := range f.engines {
		r.engines = append(r.engines, newEngine(r.sim, carawayspread.EndpointID(fmt.Sprintf("engine%04d", i)), gpu))
	}
	if f.slow > 0 {
		r.engines[0].speed = f.slow
	}
	if v.split != nil {
		v.split(r.engines)
	}
	var plain []*engine
	for i := range f.records {
		plain = append(plain, newEngine(r.sim, carawayspread.EndpointID(fmt.Sprintf("records%04d", i)), records))
	}
	for i := range f.entries {
		r.entries = append(r.entries, newEntry(r, i, r.engines))
	}
	for i := range f.entries {
		r.entries = append(r.entries, newEntry(r, i, plain))
	}
	r.policy = build(carawayspread.RolePolicies, v.roles, carawayspread.Environment{Clock: r.sim})
	r.every(planEvery, r.plan)
	balancer := rand.New(rand.NewPCG(f.seed, 1<<40))
	for _, c := range f.arrivals() {
		n := balancer.IntN(f.entries)
		if f.kinds[c.class].plain {
			n += f.entries
		}
		r.in(c.job.Arrived.Sub(epoch), func() { r.arrive(c, r.entries[n]) })
	}
	r.run(f.length + 2*time.Minute)
	r.result.changes = r.changes
	return r.result
}

func (r *run) arrive(c *call, e *entry) {
	if r.arriving[c.class] == nil {
		r.arriving[c.class] = &carawayspread.Cost{}
	}
	r.arriving[c.class].Prefill += c.job.Cost.Prefill - int(c.shared*r.result.hits(c.class))
	r.arriving[c.class].Decode += c.job.Cost.Decode
	r.result.offered(c)
	e.arrive(c)
}

// plan asks the policy with what the entries measured since the last time.
func (r *run) plan() {
	demand := carawayspread.Demand{MeasuredAt: r.Now()}
	for k, shape := range r.fleet.kinds {
		if shape.plain || r.now > r.fleet.length {
			continue
		}
		d := carawayspread.ClassDemand{Class: shape.class}
		if a := r.arriving[k]; a != nil {
			d.PrefillTokens = float64(a.Prefill) / planEvery.Seconds()
			d.DecodeTokens = float64(a.Decode) / planEvery.Seconds()
		}
		for _, e := range r.entries {
			if q := e.queued[k]; q != nil {
				d.QueuedPrefill += float64(q.Prefill)
				d.QueuedDecode += float64(q.Decode)
			}
		}
		demand.Classes = append(demand.Classes, d)
	}
	clear(r.arriving)
	states := make([]carawayspread.RoleState, 0, len(r.engines))
	byID := map[carawayspread.EndpointID]*engine{}
	for _, g := range r.engines {
		byID[g.id] = g
		role := g.role
		if g.changing {
			role = g.next
		}
		states = append(states, carawayspread.RoleState{
			Endpoint: g.id, Role: role, Changing: g.changing, Running: len(g.running) + len(g.prompts),
			KVBytes: int64(g.kvTokens() * 160e3), PrefillRate: g.hw.prefillRate, DecodeRate: decodeRate,
		})
	}
	for _, c := range r.policy.Plan(states, demand) {
		r.changes++
		byID[c.Endpoint].change(c.To)
	}
}

// worked counts tokens that engines spent on a call before its answer.
func (r *run) worked(c *call, prefilled float64) { r.result.prefilled(c, prefilled) }

// over takes the final answer of a call.
func (r *run) over(c *call) { r.result.add(c) }
