package measure

import (
	"container/heap"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"carawayspread"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sim is a discrete-event simulation. It is the clock of all modules.
type sim struct {
	now    time.Duration
	events events
	seq    int
}

type event struct {
	at  time.Duration
	seq int // events of the same time run in the order in which they were added
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func (s *sim) Now() time.Time                       { return epoch.Add(s.now) }
func (s *sim) After(time.Duration) <-chan time.Time { panic("decision modules do not wait") }

func (s *sim) in(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, run})
}

// every runs f after each period until the simulation ends.
func (s *sim) every(period time.Duration, f func()) {
	s.in(period, func() { f(); s.every(period, f) })
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// hardware holds the speeds and limits of one kind of endpoint.
type hardware struct {
	prefillRate           float64       // prompt tokens per second
	baseGap, gapPerAnswer time.Duration // time between tokens: baseGap + gapPerAnswer for each running answer
	slots                 int
	decodeLoss            float64 // fraction of the decode speed lost while a prompt is prefilled
	mixedPrefillFactor    float64 // relative prefill speed while answers are decoded
	cachedPrefixes        int     // capacity of the prefix cache
	transferPerToken      time.Duration
	changeDowntime        time.Duration // out of service for a role change
}

// gpu prefills in chunks of 2,048 tokens, 256 ms each. Meanwhile a batch whose
// step takes 40 ms decodes at 40/296 of its speed, and the chunk prefills at 256/296.
var gpu = hardware{
	prefillRate: 8000, baseGap: 12 * time.Millisecond, gapPerAnswer: 700 * time.Microsecond, slots: 64,
	decodeLoss: 0.85, mixedPrefillFactor: 0.85, cachedPrefixes: 12,
	transferPerToken: 16 * time.Microsecond, // 160 KB of KV cache at 10 GB/s
	changeDowntime:   8 * time.Second,
}

var records = hardware{prefillRate: 1e9, baseGap: time.Millisecond, gapPerAnswer: 100 * time.Microsecond, slots: 16, mixedPrefillFactor: 1, cachedPrefixes: 1}

// engine is a fake endpoint. Between two events it decodes all of its answers at
// the same rate, so that a single counter of tokens determines when each one ends.
type engine struct {
	*sim
	id       carawayspread.EndpointID
	hw       hardware
	speed    float64 // 1 is full speed
	role     carawayspread.Role
	changing bool
	nextRole carawayspread.Role // the role after a change under way

	updatedAt      time.Duration // when the counters were last advanced
	decodedTokens  float64       // tokens that an answer running since the start would have by now
	prompts        []*call       // by priority; the first one is prefilled, until a more urgent one arrives
	promptLeft     float64       // prompt tokens left to prefill of the first one
	running        byEnd
	waiting        []*call // for a decode slot
	cache          *lru.Cache[uint64, bool]
	planGeneration int    // invalidates events scheduled earlier
	onPromptsDone  func() // runs when no prompt is left
}

func newEngine(s *sim, id carawayspread.EndpointID, hw hardware) *engine {
	cache, _ := lru.New[uint64, bool](hw.cachedPrefixes)
	return &engine{sim: s, id: id, hw: hw, speed: 1, role: carawayspread.RoleBoth, cache: cache}
}

type byEnd []*call

func (b byEnd) Len() int           { return len(b) }
func (b byEnd) Less(i, j int) bool { return b[i].endsAt < b[j].endsAt }
func (b byEnd) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *byEnd) Push(x any)        { *b = append(*b, x.(*call)) }
func (b *byEnd) Pop() any {
	last := len(*b) - 1
	x := (*b)[last]
	*b = (*b)[:last]
	return x
}

// tokenGap returns the current time between two tokens, in seconds.
func (e *engine) tokenGap() float64 {
	g := (e.hw.baseGap + time.Duration(len(e.running))*e.hw.gapPerAnswer).Seconds() / e.speed
	if len(e.prompts) > 0 {
		g /= 1 - e.hw.decodeLoss
	}
	return g
}

func (e *engine) currentPrefillRate() float64 {
	if len(e.running) > 0 {
		return e.hw.prefillRate * e.speed * e.hw.mixedPrefillFactor
	}
	return e.hw.prefillRate * e.speed
}

// advance brings the counters up to the current time; it must precede every change.
func (e *engine) advance() {
	dt := (e.now - e.updatedAt).Seconds()
	e.updatedAt = e.now
	if len(e.prompts) > 0 {
		e.promptLeft -= dt * e.currentPrefillRate()
	}
	if len(e.running) > 0 {
		e.decodedTokens += dt / e.tokenGap()
	}
}

// scheduleNext schedules the event of what ends next; it must follow every change.
func (e *engine) scheduleNext() {
	e.planGeneration++
	next := -1.0
	if len(e.prompts) > 0 {
		next = max(0, e.promptLeft/e.currentPrefillRate())
	}
	if len(e.running) > 0 {
		if t := max(0, (e.running[0].endsAt-e.decodedTokens)*e.tokenGap()); next < 0 || t < next {
			next = t
		}
	}
	if next < 0 {
		return
	}
	generation := e.planGeneration
	e.in(time.Duration(next*1e9)+1, func() {
		if generation == e.planGeneration {
			e.advance()
			e.completeDue()
		}
	})
}

const tokenTolerance = 1e-4 // tokens

func (e *engine) completeDue() {
	var done []*call
	for len(e.running) > 0 && e.running[0].endsAt <= e.decodedTokens+tokenTolerance {
		c := heap.Pop(&e.running).(*call)
		c.remaining = 0
		done = append(done, c)
	}
	var prefilled *call
	if len(e.prompts) > 0 && e.promptLeft <= tokenTolerance {
		prefilled = e.prompts[0]
		e.prompts = e.prompts[1:]
		e.startNextPrompt()
	}
	for len(e.waiting) > 0 && len(e.running) < e.hw.slots {
		e.startDecode(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if prefilled != nil {
		e.cache.Add(prefilled.prefix, true)
		prefilled.firstToken(e)
	}
	e.scheduleNext()
	for _, c := range done {
		c.finish(e)
	}
	if e.onPromptsDone != nil && len(e.prompts) == 0 {
		startDowntime := e.onPromptsDone
		e.onPromptsDone = nil
		startDowntime()
	}
}

// submit accepts a prompt for prefill. False is a refusal: the request didn't run.
func (e *engine) submit(c *call) bool {
	if e.changing || e.role == carawayspread.RoleDecode {
		return false
	}
	e.advance()
	c.prefillTokens = c.prompt
	if e.cache.Contains(c.prefix) {
		c.prefillTokens -= c.shared
	}
	c.remaining = c.prefillTokens
	if len(e.prompts) > 0 {
		e.prompts[0].remaining = e.promptLeft
	}
	at := len(e.prompts)
	for at > 0 && c.priority < e.prompts[at-1].priority {
		at--
	}
	e.prompts = slices.Insert(e.prompts, at, c)
	e.promptLeft = e.prompts[0].remaining
	e.scheduleNext()
	return true
}

func (e *engine) startNextPrompt() {
	if len(e.prompts) == 0 {
		return
	}
	e.promptLeft = e.prompts[0].remaining
}

// resumeDecode accepts an answer whose KV cache has been transferred here.
func (e *engine) resumeDecode(c *call) bool {
	if e.changing || e.role == carawayspread.RolePrefill {
		return false
	}
	e.advance()
	e.admit(c)
	e.scheduleNext()
	return true
}

func (e *engine) admit(c *call) {
	if len(e.running) >= e.hw.slots {
		e.waiting = append(e.waiting, c)
		return
	}
	e.startDecode(c)
}

func (e *engine) startDecode(c *call) {
	c.endsAt = e.decodedTokens + c.remaining
	heap.Push(&e.running, c)
}

// changeRole changes the role: the engine accepts no new work, its running answers move
// to other engines with their KV cache, the current prompt is completed, and then the
// engine is out of service for changeDowntime.
func (e *engine) changeRole(to carawayspread.Role) {
	e.advance()
	e.changing, e.nextRole = true, to
	moved := append([]*call{}, e.waiting...)
	for _, c := range e.running {
		c.remaining = max(0, c.endsAt-e.decodedTokens)
		moved = append(moved, c)
	}
	e.running, e.waiting = nil, nil
	var unstarted []*call
	if len(e.prompts) > 1 {
		unstarted = append(unstarted, e.prompts[1:]...)
		e.prompts = e.prompts[:1:1]
	}
	e.onPromptsDone = func() {
		e.in(e.hw.changeDowntime, func() { e.role, e.changing = to, false })
	}
	if len(e.prompts) == 0 {
		startDowntime := e.onPromptsDone
		e.onPromptsDone = nil
		startDowntime()
	}
	e.scheduleNext()
	for _, c := range moved {
		c.handOff(e)
	}
	for _, c := range unstarted {
		c.refuseUnstarted(e)
	}
}

func (e *engine) kvTokens() (tokens float64) {
	for _, c := range e.running {
		tokens += c.prompt
	}
	return tokens
}

func (e *engine) report() carawayspread.EndpointReport {
	slots := e.hw.slots
	if e.role == carawayspread.RolePrefill {
		slots = 4 // prefills one prompt after the other
	}
	return carawayspread.EndpointReport{
		Endpoint: e.id, MeasuredAt: e.Now(), Running: len(e.running) + min(1, len(e.prompts)),
		Waiting: len(e.waiting) + max(0, len(e.prompts)-1), Slots: slots, Role: e.role,
		Draining: e.changing, PrefillRate: e.hw.prefillRate, DecodeRate: decodeRate,
	}
}
