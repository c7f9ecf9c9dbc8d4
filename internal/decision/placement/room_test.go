package placement

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// memoryLoad is a load on the KV memory of engines that decode.
type memoryLoad struct {
	processes, engines int
	memory             int // tokens of each engine
	perSecond          float64
	longPrompts        float64 // share of prompts of 50,000 tokens, the others have 500 to 12,000
	hintSigma          float64 // of the answers relative to their hint
	maxHold            time.Duration
}

// heldMemory is what the engines hold of a replay's requests.
type heldMemory struct {
	*replay
	load                               memoryLoad
	held, running, committed, reserved map[carawayspread.EndpointID]int // committed is what the running requests will hold
	reservations                       int
	// What they ran and held some 100 ms ago, which every process knows.
	runningBefore, committedBefore map[carawayspread.EndpointID]int
	overfull, refused              int
	refusedBesideRoom, total       int
	used, samples                  float64
}

// begin places one request, whose engine holds its prompt and what it has generated until its end.
func (m *heldMemory) begin() {
	prompt := &carawayspread.Prompt{Tokens: 500 + m.rand.IntN(11500), MaxOutputTokens: 4000, LengthHint: 300 + m.rand.IntN(300)}
	if m.rand.Float64() < m.load.longPrompts {
		prompt.Tokens = 50000
	}
	prompt.Parts = []carawayspread.PromptPart{{ID: m.rand.Uint64(), Tokens: prompt.Tokens}}
	output := min(4000, int(float64(prompt.LengthHint)*math.Exp(m.load.hintSigma*m.rand.NormFloat64())))
	req := carawayspread.PlacementRequest{
		Route:   &carawayspread.Route{Name: "r", TargetLatency: time.Second, Stream: true},
		Service: carawayspread.RoutedService{Name: "s", Engine: &carawayspread.EngineTraits{Slots: 64, KVTokens: m.load.memory, TokensPerEvent: 20, MaxHold: m.load.maxHold}},
		Prompt:  prompt, Arrived: m.clock.Now(), Deadline: m.clock.Now().Add(30 * time.Second), Fingerprint: m.rand.Uint64(), Admitted: false,
	}
	// Time to the first event decides nothing here: a prompt that was prefilled elsewhere is placed.
	req.PrefilledBy = "elsewhere"
	placer := m.placers[m.rand.IntN(len(m.placers))]
	m.total++
	at, err := m.placeWithRoom(placer, req)
	if err != nil {
		m.refused++
		for id := range m.runningBefore {
			if max(m.running[id], m.runningBefore[id]) < 60 && max(m.committed[id], m.committedBefore[id])+prompt.Tokens+output < m.load.memory/2 {
				m.refusedBesideRoom++
				break
			}
		}
		return
	}
	id, tracker := at.Endpoint.ID(), placer.Sent(req, at)
	m.add(id, prompt.Tokens)
	m.running[id]++
	m.committed[id] += prompt.Tokens + output
	made := 0
	var step func()
	step = func() {
		made += 20
		m.add(id, 20)
		tracker.Answered()
		if made > 20 {
			tracker.Event()
		}
		if made < output {
			m.after(200*time.Millisecond, step)
			return
		}
		m.add(id, -prompt.Tokens-made)
		m.running[id]--
		m.committed[id] -= prompt.Tokens + output
		tracker.End(carawayspread.OutcomeServed)
	}
	m.after(200*time.Millisecond, step)
}

// placeWithRoom places a request as a gateway does: an engine refuses a reservation that it has no memory for.
func (m *heldMemory) placeWithRoom(placer carawayspread.Placer, req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	req.Exclude = map[carawayspread.EndpointID]bool{}
	for {
		at, err := placer.Place(req)
		if err != nil || at.ReserveTokens == 0 {
			return at, err
		}
		m.reservations++
		if id := at.Endpoint.ID(); m.held[id]+m.reserved[id]+at.ReserveTokens <= m.load.memory {
			growth := at.ReserveTokens - req.Prompt.Tokens
			m.reserved[id] += growth // for the lease
			m.after(m.load.maxHold, func() { m.reserved[id] -= growth })
			return at, nil
		}
		req.Exclude[at.Endpoint.ID()] = true
		if len(req.Exclude) == 3 {
			return at, carawayspread.ErrNoRoom
		}
	}
}

func (m *heldMemory) add(id carawayspread.EndpointID, tokens int) {
	m.held[id] += tokens
	if tokens > 0 && m.held[id] > m.load.memory {
		m.overfull++
	}
}

func (m *heldMemory) play(d time.Duration) {
	end := m.clock.Now().Add(d)
	var arrive, sample func()
	arrive = func() {
		if m.clock.Now().Before(end) {
			m.begin()
			m.after(time.Duration(m.rand.ExpFloat64()/m.load.perSecond*float64(time.Second)), arrive)
		}
	}
	sample = func() {
		m.runningBefore, m.committedBefore = maps.Clone(m.running), maps.Clone(m.committed)
		for _, held := range m.held {
			m.used += float64(held) / float64(m.load.memory)
			m.samples++
		}
		if m.clock.Now().Before(end) {
			m.after(100*time.Millisecond, sample)
		}
	}
	m.after(0, arrive)
	m.after(d/4, sample)
	m.run(0)
}

// Engines interrupt answers in the middle, or crash, when they are given more than they hold. Several processes
// place prompts at them at twice the room, each knowing of the others' after 50 ms, and many answers are several
// times as long as their callers expect. No engine may be given more than it holds, and none may be refused
// while an engine has room.
func TestEnginesAreNeverOverfull(t *testing.T) {
	for name, load := range map[string]memoryLoad{
		"prompts of 50,000 tokens":   {processes: 8, engines: 12, memory: 500_000, perSecond: 160, longPrompts: 0.3, hintSigma: 0.5, maxHold: 2 * time.Second},
		"long prompts among short":   {processes: 24, engines: 12, memory: 500_000, perSecond: 300, longPrompts: 0.03, hintSigma: 0.5, maxHold: 2 * time.Second},
		"answers longer than hinted": {processes: 8, engines: 12, memory: 60_000, perSecond: 60, hintSigma: 1.2, maxHold: 2 * time.Second},
		"room for all":               {processes: 8, engines: 12, memory: 500_000, perSecond: 40, longPrompts: 0.1, hintSigma: 0.5, maxHold: 2 * time.Second},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				r := newReplay("estimate", true, load.processes, 0, load.engines)
				r.reportDelay = 50 * time.Millisecond
				r.rand = rand.New(rand.NewPCG(1, 2+seed))
				m := &heldMemory{replay: r, load: load, held: map[carawayspread.EndpointID]int{}, running: map[carawayspread.EndpointID]int{}, reserved: map[carawayspread.EndpointID]int{}, committed: map[carawayspread.EndpointID]int{}}
				m.play(20 * time.Second)
				t.Logf("%d of %d refused, %d of them beside room; overfull %d times, %.2f used, %d reservations", m.refused, m.total, m.refusedBesideRoom, m.overfull, m.used/m.samples, m.reservations)
				qt.Check(t, m.overfull, qt.Equals, 0)
				qt.Check(t, m.refusedBesideRoom, qt.Equals, 0)
			})
		}
	}
}

// Peers give away the memory that an answer takes which turns out longer than it was counted with. They must
// be told as it grows, and its engine must be counted free of it when it has ended.
func TestGrowingAnswerIsAnnounced(t *testing.T) {
	r := newReplay("estimate", true, 2, 0, 1)
	first, second := r.placers[0].(*Placer), r.placers[1].(*Placer)
	req := r.placing(short)
	req.Route.Stream, req.Service.Engine.TokensPerEvent = true, 20
	prompt := req.Prompt
	for range minLearned {
		first.lengths.Learn(req.Route.Name, prompt, 10)
	}
	at, err := first.Place(req)
	qt.Assert(t, err, qt.IsNil)
	tracker := first.Sent(req, at)
	counted := func() int {
		r.run(0)
		return second.loads.at(r.clock.Now(), hashOf(at.Endpoint.ID())).tokens
	}
	qt.Check(t, counted(), qt.Equals, 2416)
	tracker.Answered()
	for range 4 {
		tracker.Event()
	}
	qt.Check(t, counted() >= prompt.Tokens+100, qt.IsTrue, qt.Commentf("%d", counted()))
	tracker.End(carawayspread.OutcomeServed)
	qt.Check(t, counted(), qt.Equals, 0)
}

// minLearned is more answers than a class needs until its lengths are used.
const minLearned = 50
