package runmoves

import (
	"time"

	"carawayspread"
)

const (
	// maxDestinations bounds the engines that are asked for room in a row for one run.
	maxDestinations = 3
	// roomPause is the first time until engines are asked for room again, and maxDoublings how often it doubles.
	// At a full fleet an answer ends every few milliseconds.
	roomPause    = 200 * time.Millisecond
	maxDoublings = 2
	// maxStops bounds the calls that stop one run: the first, and repetitions of one whose answer was lost or
	// that met an earlier one.
	maxStops = 3
	// maxCopiesOfRun bounds the copies of one run before it is stopped. Each after the first carries what is new.
	maxCopiesOfRun = 8
	// zoneFactor is how much longer a copy takes between availability zones.
	zoneFactor = 2
	// switchTime is left for the stop of a run, its last copy and its first event elsewhere.
	switchTime = 300 * time.Millisecond
	// pauseShare is the part of the tolerated gap between two events that the last copy may wait at the link.
	// The rest is for the switch itself and for the step that makes the next event.
	pauseShare = 0.25
	// minPaceEvents is how many events show the pace of an engine.
	minPaceEvents = 6
	// overrunShare is the part of an answer that is still expected when it has become as long as expected.
	overrunShare = 0.25
	// fasterShare is the most time between two events elsewhere, relative to the time here, for which a late run
	// moves. Estimates of an engine's step are off by a third.
	fasterShare = 0.6
	// maxLateWaits bounds how often a faster engine is looked for.
	maxLateWaits = 3
	// defaultGap is the tolerated gap of a route that states none.
	defaultGap = 400 * time.Millisecond
)

// Step is what is done next with a run that moves.
type Step int

// Steps of a move.
const (
	StepStay     Step = iota // nothing: the run goes on where it is, or has ended
	StepWait                 // the run goes on where it is, and may move again later
	StepCopy                 // copy to the same engine again
	StepOther                // copy to an engine that was not tried
	StepStop                 // stop the run, and copy the rest
	StepContinue             // go on at the other engine
	StepReturn               // go on where the run has stopped
)

// String returns the name of the step in logs and metrics.
func (s Step) String() string {
	return [...]string{"stay", "wait", "copy", "other", "stop", "continue", "return"}[s]
}

// Start describes a run as its answer begins.
type Start struct {
	Engine         carawayspread.EndpointID
	Traits         *carawayspread.EngineTraits
	PromptTokens   int
	MaxTokens      int           // of the answer; zero if unknown
	TargetGap      time.Duration // zero if the route states none
	OnlyAttempt    bool          // nobody may run the request again
	EventsBefore   int           // of the answer, from engines before
	ExpectedTokens int           // of the answer; zero if unknown
	Deadline       time.Time     // of the answer; zero if it has none
	TokensPerEvent int
}

// Run is one running request. Its fields are guarded by the lock of its Moves.
type Run struct {
	moves      *Moves
	start      Start
	firstEvent time.Time
	events     int
	over       bool // does not move any more
	notBefore  time.Time

	ends         time.Time // of the engine, at least
	destinations int       // that were asked in a row
	copies       int
	stops        int
	waits        int // for room, or for an engine that did not answer
}

// Event records that an event of the answer has arrived. It reports whether the run is due to move, as it does not
// end in time where it is.
func (r *Run) Event() (due bool) {
	m := r.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	r.events++
	now := m.clock.Now()
	if r.over || !r.isLate(now) {
		delete(m.late, r)
		return false
	}
	m.late[r] = struct{}{}
	return r.dueLate(now)
}

// End records that the run has ended at its engine.
func (r *Run) End() {
	r.moves.mu.Lock()
	defer r.moves.mu.Unlock()
	delete(r.moves.late, r)
	runs := r.moves.runs[r.start.Engine]
	delete(runs, r)
	if len(runs) == 0 {
		delete(r.moves.runs, r.start.Engine)
	}
}

func (r *Run) begin(ends time.Time) {
	r.ends, r.destinations, r.copies, r.stops = ends, 1, 0, 0
}

// due reports whether the move of the run may begin: it is not over, the first copy is complete before the
// engine ends, and the answer may not be.
func (r *Run) due(now, ends time.Time) bool {
	if r.over || now.Before(r.notBefore) {
		return false
	}
	copied := now.Add(zoneFactor*r.transferTime() + switchTime)
	return copied.Before(ends) && !r.endsBefore(now, ends)
}

// endsBefore reports whether the answer is complete before that time even if it is as long as it may be.
func (r *Run) endsBefore(now, end time.Time) bool {
	if r.events < 2 || r.start.MaxTokens == 0 || r.start.TokensPerEvent == 0 {
		return false
	}
	gap := now.Sub(r.firstEvent) / time.Duration(r.events-1)
	left := r.start.MaxTokens/r.start.TokensPerEvent + 1 - r.start.EventsBefore - r.events
	return now.Add(time.Duration(max(0, left)) * gap).Before(end)
}

// gap returns the mean time between two events here.
func (r *Run) gap(now time.Time) time.Duration {
	return now.Sub(r.firstEvent) / time.Duration(max(1, r.events-1))
}

// isLate reports whether the answer is expected to end after its deadline at the pace that the engine has shown.
func (r *Run) isLate(now time.Time) bool {
	if r.events < minPaceEvents || r.start.Deadline.IsZero() || r.start.ExpectedTokens == 0 || r.start.TokensPerEvent == 0 {
		return false
	}
	done := r.start.EventsBefore + r.events
	left := max(r.start.ExpectedTokens/r.start.TokensPerEvent-done, int(overrunShare*float64(done)))
	if r.start.MaxTokens > 0 {
		left = min(left, r.start.MaxTokens/r.start.TokensPerEvent+1-done)
	}
	return now.Add(time.Duration(max(0, left)) * r.gap(now)).After(r.start.Deadline)
}

// dueLate reports whether the move of a late run may begin: there is time to gain.
func (r *Run) dueLate(now time.Time) bool {
	if r.over || now.Before(r.notBefore) || r.waits > maxLateWaits {
		return false
	}
	return now.Add(zoneFactor*r.transferTime() + switchTime + r.gap(now)).Before(r.start.Deadline)
}

// Accepts reports whether the run may move to an engine where that time is expected between two events. Off an
// engine that leaves, any will do; a late run needs one that is clearly faster.
func (r *Run) Accepts(gap time.Duration) bool {
	m := r.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving[r.start.Engine] != nil {
		return true
	}
	return gap > 0 && float64(gap) <= fasterShare*float64(r.gap(m.clock.Now()))
}

// tokens returns how many tokens the run has in memory.
func (r *Run) tokens() int {
	return r.start.PromptTokens + (r.start.EventsBefore+r.events)*r.start.TokensPerEvent
}

// transferTime returns how long the memory of the run takes over a link that carries nothing else.
func (r *Run) transferTime() time.Duration {
	traits := r.start.Traits
	if traits == nil || traits.LinkBitsPerSecond <= 0 {
		return 0
	}
	bits := float64(r.tokens()) * float64(traits.KVBytesPerToken) * 8
	return time.Duration(bits / float64(traits.LinkBitsPerSecond) * float64(time.Second))
}

func (r *Run) toleratedPause() time.Duration {
	gap := r.start.TargetGap
	if gap == 0 {
		gap = defaultGap
	}
	return time.Duration(pauseShare * float64(gap))
}

// Copied returns the step after a copy, which took that long, of a run that goes on.
func (r *Run) Copied(result carawayspread.CopyResult, took time.Duration) Step {
	r.moves.mu.Lock()
	defer r.moves.mu.Unlock()
	now := r.moves.clock.Now()
	switch result.Outcome {
	case carawayspread.CopyComplete:
	case carawayspread.CopyNoRoom:
		if r.copies > 0 { // the room is taken already: the other engine is gone
			return StepWait
		}
		if r.destinations++; r.destinations > maxDestinations {
			return StepWait
		}
		return StepOther
	case carawayspread.CopyBusy, carawayspread.CopyNotCalled, carawayspread.CopyUnknown:
		return StepWait // the run goes on; a copy that may exist lapses
	default:
		return StepStay
	}
	waited := took
	if r.copies == 0 {
		waited -= r.transferTime()
	}
	r.copies++
	late := !now.Add(took + switchTime).Before(r.ends)
	if waited <= r.toleratedPause() || late || r.copies >= maxCopiesOfRun {
		return StepStop
	}
	return StepCopy
}

// Stopped returns the step after a call that stops the run.
//
// Only an answer that names the memory of the stopped run proves that it has stopped, and only then it goes on
// by that memory. After any other answer the run's own stream shows what has become of it.
func (r *Run) Stopped(result carawayspread.CopyResult) Step {
	r.moves.mu.Lock()
	defer r.moves.mu.Unlock()
	r.stops++
	switch result.Outcome {
	case carawayspread.CopyComplete:
		return StepContinue
	case carawayspread.CopyNoRoom:
		if result.Handle != "" {
			return StepReturn
		}
		return StepStay
	case carawayspread.CopyBusy, carawayspread.CopyUnknown, carawayspread.CopyNotCalled:
		if r.stops < maxStops {
			return StepStop
		}
	}
	return StepStay
}
