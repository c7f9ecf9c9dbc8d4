package fault

import (
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
)

// UntilCleared as the number of responses to lose loses all responses of writes until Clear.
const UntilCleared = -1

// Faults holds the active faults and counts requests. It is safe for concurrent use. The zero value
// has no active fault.
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
	SlowMs    int64 `json:"slowMs"`    // at least 0
	LoseNext  int   `json:"loseNext"`  // number of responses of writes to lose; UntilCleared for all
	Throttled bool  `json:"throttled"` // responds with the throttling error of the protocol
}

// New returns Faults without an active fault. The clock times the delay of SetSlow.
func New(clock carawayspread.Clock) *Faults { return &Faults{clock: clock} }

// SetDown closes the connection of every request without a response.
func (f *Faults) SetDown(down bool) { f.set(func(s *state) { s.Down = down }) }

// SetSlow delays the execution of every request, with a resolution of a millisecond.
func (f *Faults) SetSlow(d time.Duration) {
	f.set(func(s *state) { s.SlowMs = d.Milliseconds() })
}

// LoseAnswers executes the next n writes and closes their connections without a response.
func (f *Faults) LoseAnswers(n int) { f.set(func(s *state) { s.LoseNext = n }) }

// SetThrottled responds to every request with the throttling error of the protocol.
func (f *Faults) SetThrottled(on bool) { f.set(func(s *state) { s.Throttled = on }) }

// Clear switches all faults off.
func (f *Faults) Clear() { f.set(func(s *state) { *s = state{} }) }

// Reads returns the number of executed read requests.
func (f *Faults) Reads() uint64 { return f.reads.Load() }

// Writes returns the number of executed write requests, including those whose response was lost.
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

// takeLostAnswer reports whether the response of this write is lost, and counts it.
func (f *Faults) takeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.LoseNext > 0 {
		f.state.LoseNext--
		return true
	}
	return f.state.LoseNext == UntilCleared
}
