package fault

import (
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
)

// UntilCleared as a number of lost answers loses all until Clear.
const UntilCleared = -1

// Faults holds the faults that are switched on and counts requests. Its zero
// value has no fault; it is safe for concurrent use.
type Faults struct {
	clock  carawayspread.Clock
	reads  atomic.Uint64
	writes atomic.Uint64

	mu    sync.Mutex
	state state
}

// state is the JSON form of the faults.
type state struct {
	Down      bool  `json:"down"`
	SlowMs    int64 `json:"slowMs"`    // not negative
	LoseNext  int   `json:"loseNext"`  // answers of writes; UntilCleared for all
	Throttled bool  `json:"throttled"` // refuses by the protocol's own answer
}

// New returns faults that are all switched off. The clock times slowness.
func New(clock carawayspread.Clock) *Faults { return &Faults{clock: clock} }

// SetDown refuses every request by closing its connection without an answer.
func (f *Faults) SetDown(down bool) { f.set(func(s *state) { s.Down = down }) }

// SetSlow delays every request before it is carried out.
func (f *Faults) SetSlow(d time.Duration) {
	f.set(func(s *state) { s.SlowMs = d.Milliseconds() })
}

// LoseAnswers carries out the next n writes and closes their connections in
// place of an answer.
func (f *Faults) LoseAnswers(n int) { f.set(func(s *state) { s.LoseNext = n }) }

// SetThrottled refuses every request by the protocol's own answer.
func (f *Faults) SetThrottled(on bool) { f.set(func(s *state) { s.Throttled = on }) }

// Clear switches all faults off.
func (f *Faults) Clear() { f.set(func(s *state) { *s = state{} }) }

// Reads returns the number of reads carried out or lost.
func (f *Faults) Reads() uint64 { return f.reads.Load() }

// Writes returns the number of write requests carried out or lost.
func (f *Faults) Writes() uint64 { return f.writes.Load() }

func (f *Faults) set(change func(*state)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.state)
}

func (f *Faults) current() state {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// losesThis reports whether the answer of this write is lost.
func (f *Faults) losesThis() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.LoseNext > 0 {
		f.state.LoseNext--
		return true
	}
	return f.state.LoseNext == UntilCleared
}
