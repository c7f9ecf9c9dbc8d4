package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"carawayspread"
)

const (
	firstWorkspace = "workspace 0" // the hot workspace, if the run has one
	planInterval   = 5 * time.Second
	decodeRate     = 1000 // tokens per second of a gpu at 40 ms between tokens
)

// kind is a request class and the shape of its requests.
type kind struct {
	class          carawayspread.Class
	plain          bool    // served by the records service
	prompt, answer float64 // mean lengths in tokens
	sharedPrefix   float64 // tokens of the prompt's shared prefix
	prefixes       int     // number of different shared prefixes
}

// cost returns the average engine-seconds of a request, with half of its shared prefix cached.
func (k kind) cost() float64 {
	if k.plain {
		return 0.006
	}
	return (k.prompt-k.sharedPrefix/2)/gpu.prefillRate + k.answer/decodeRate
}

// fleet is one user's fleet and the request mixes that it serves in turn.
type fleet struct {
	name                      string
	engines, records, entries int
	workspaces                int
	kinds                     []kind
	mixes                     [][]float64 // each the fraction of the work that each kind contributes
	mixDuration               time.Duration
	length                    time.Duration
	utilization               float64 // offered work as a fraction of the engines' capacity
	hotFactor                 float64 // workspace 0 sends its share of requests this many times in addition
	slowSpeed                 float64 // speed of engine 0; zero means full
	withdrawn                 int     // engines withdrawn halfway through the run
	seed                      uint64
}

// arrivals generates the requests of a run; they are the same for every variant.
func (f fleet) arrivals() []*call {
	var calls []*call
	for k, shape := range f.kinds {
		rng := rand.New(rand.NewPCG(f.seed, uint64(k)))
		size := float64(f.engines)
		if shape.plain {
			size = 1 // a few lookups per second for each worker
		}
		for at := time.Duration(0); ; {
			mix := f.mixes[int(at/f.mixDuration)%len(f.mixes)]
			rate := f.utilization * size * mix[k] / shape.cost()
			next := at + time.Duration(rng.ExpFloat64()/rate/(1+f.hotFactor/float64(f.workspaces))*1e9)
			if next/f.mixDuration > at/f.mixDuration {
				at = (at/f.mixDuration + 1) * f.mixDuration // the next mix starts; arrivals are memoryless
				if at >= f.length {
					break
				}
				continue
			}
			at = next
			if at >= f.length {
				break
			}
			calls = append(calls, f.newCall(rng, k, at))
		}
	}
	slices.SortStableFunc(calls, func(a, b *call) int { return a.job.Arrived.Compare(b.job.Arrived) })
	return calls
}

func (f fleet) newCall(rng *rand.Rand, k int, at time.Duration) *call {
	shape := f.kinds[k]
	workspace := rng.IntN(f.workspaces)
	if f.hotFactor > 0 && rng.Float64() < f.hotFactor/(f.hotFactor+float64(f.workspaces)) {
		workspace = 0
	}
	size := 0.5 + rng.Float64()
	prefix := uint64(k)<<32 | uint64(rng.IntN(max(1, shape.prefixes)))
	c := &call{
		class: k, prompt: shape.sharedPrefix + (shape.prompt-shape.sharedPrefix)*size, shared: shape.sharedPrefix, prefix: prefix,
		answer: float64(max(1, int(shape.answer*(0.5+rng.Float64())))),
	}
	c.job = &carawayspread.Job{
		ID: fmt.Sprint(k, at), Workspace: fmt.Sprintf("workspace %d", workspace), Service: "service", Model: "model",
		Class: shape.class, Arrived: epoch.Add(at), Prefix: prefix, Fingerprint: rng.Uint64(),
		Cost: carawayspread.Cost{Prefill: int(c.prompt), Decode: int(shape.answer)},
	}
	return c
}

// run simulates one fleet under one variant.
type run struct {
	*sim
	fleet       fleet
	variant     variant
	engines     []*engine
	entries     []*entry // those of the model service, then those of the records service
	policy      carawayspread.RolePolicy
	roleChanges int
	arrivedCost map[int]*carawayspread.Cost
	result      result
}

// variant is a set of decision modules, named as in the registries. An empty name
// selects the module that the daemons run.
type variant struct {
	name                                string
	scheduler, router, limiter, ejector string
	roles                               string
	retryBudget                         bool // bounds retries
	deadlinePriority                    bool // engines prefill by the deadline of each answer
	split                               func(engines []*engine)
}

func (f fleet) simulate(v variant) result {
	r := &run{sim: &sim{}, fleet: f, variant: v, arrivedCost: map[int]*carawayspread.Cost{}, result: newResult(f, v)}
	for i := range f.engines {
		r.engines = append(r.engines, newEngine(r.sim, carawayspread.EndpointID(fmt.Sprintf("engine%04d", i)), gpu))
	}
	if f.slowSpeed > 0 {
		r.engines[0].speed = f.slowSpeed
	}
	if v.split != nil {
		v.split(r.engines)
	}
	var recordEngines []*engine
	for i := range f.records {
		recordEngines = append(recordEngines, newEngine(r.sim, carawayspread.EndpointID(fmt.Sprintf("records%04d", i)), records))
	}
	for i := range f.entries {
		r.entries = append(r.entries, newEntry(r, i, r.engines))
	}
	for i := range f.entries {
		r.entries = append(r.entries, newEntry(r, i, recordEngines))
	}
	r.policy = build(carawayspread.RolePolicies, v.roles, carawayspread.Environment{Clock: r.sim})
	r.every(planInterval, r.planRoles)
	balancer := rand.New(rand.NewPCG(f.seed, 1<<40))
	for _, c := range f.arrivals() {
		n := balancer.IntN(f.entries)
		if f.kinds[c.class].plain {
			n += f.entries
		}
		r.in(c.job.Arrived.Sub(epoch), func() { r.arrive(c, r.entries[n]) })
	}
	r.run(f.length + 2*time.Minute)
	r.result.changes = r.roleChanges
	return r.result
}

func (r *run) arrive(c *call, e *entry) {
	if r.arrivedCost[c.class] == nil {
		r.arrivedCost[c.class] = &carawayspread.Cost{}
	}
	r.arrivedCost[c.class].Prefill += c.job.Cost.Prefill - int(c.shared*r.result.cacheHitRatio(c.class))
	r.arrivedCost[c.class].Decode += c.job.Cost.Decode
	r.result.countOffered(c)
	e.arrive(c)
}

// planRoles runs the role policy on what the entries measured since the last plan.
func (r *run) planRoles() {
	demand := carawayspread.Demand{MeasuredAt: r.Now()}
	for k, shape := range r.fleet.kinds {
		if shape.plain || r.now > r.fleet.length {
			continue
		}
		d := carawayspread.ClassDemand{Class: shape.class}
		if a := r.arrivedCost[k]; a != nil {
			d.PrefillTokens = float64(a.Prefill) / planInterval.Seconds()
			d.DecodeTokens = float64(a.Decode) / planInterval.Seconds()
		}
		for _, e := range r.entries {
			if q := e.queued[k]; q != nil {
				d.QueuedPrefill += float64(q.Prefill)
				d.QueuedDecode += float64(q.Decode)
			}
		}
		demand.Classes = append(demand.Classes, d)
	}
	clear(r.arrivedCost)
	states := make([]carawayspread.RoleState, 0, len(r.engines))
	byID := map[carawayspread.EndpointID]*engine{}
	for _, g := range r.engines {
		byID[g.id] = g
		role := g.role
		if g.changing {
			role = g.nextRole
		}
		states = append(states, carawayspread.RoleState{
			Endpoint: g.id, Role: role, Changing: g.changing, Running: len(g.running) + len(g.prompts),
			KVBytes: int64(g.kvTokens() * 160e3), PrefillRate: g.hw.prefillRate, DecodeRate: decodeRate,
		})
	}
	for _, c := range r.policy.Plan(states, demand) {
		r.roleChanges++
		byID[c.Endpoint].changeRole(c.To)
	}
}

// recordPrefill counts the tokens that an engine prefilled for a call.
func (r *run) recordPrefill(c *call, prefilled float64) { r.result.countPrefill(c, prefilled) }

// recordEnd counts the final answer of a call.
func (r *run) recordEnd(c *call) { r.result.add(c) }
