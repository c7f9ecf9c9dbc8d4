package runmoves

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

const notice = 3 * time.Second

var traits = &carawayspread.EngineTraits{KVBytesPerToken: 35136, LinkBitsPerSecond: 1100e9, TokensPerEvent: 13, MovesRuns: true}

func start(prompt int, only bool) Start {
	return Start{Engine: "a", Traits: traits, PromptTokens: prompt, MaxTokens: 1100, TargetGap: 300 * time.Millisecond, OnlyAttempt: only, TokensPerEvent: 13}
}

func done(outcome carawayspread.CopyOutcome, handle string) carawayspread.CopyResult {
	return carawayspread.CopyResult{Outcome: outcome, Handle: handle}
}

// The request that nobody may repeat is lost with the engine, while the link carries those that could go on
// elsewhere; or one process occupies the link with all its runs at once.
func TestRunsThatNobodyRepeatsMoveFirstAndOneAtATime(t *testing.T) {
	m := New(clockwork.NewFakeClock(), notice)
	again, small, large := m.Began(start(50000, false)), m.Began(start(1000, true)), m.Began(start(20000, true))
	m.Began(Start{Engine: "stays"})
	qt.Check(t, m.Take(), qt.HasLen, 0)
	m.Leaves("a", time.Time{})
	for _, want := range []*Run{large, small, again} {
		taken := m.Take()
		qt.Assert(t, taken, qt.HasLen, 1)
		qt.Check(t, taken[0] == want, qt.IsTrue)
		qt.Check(t, m.Take(), qt.HasLen, 0)
		m.Release(want, StepStay)
	}
	qt.Check(t, m.Take(), qt.HasLen, 0)
}

// A run is stopped although it would have ended in time, or although the notice does not suffice for its copy:
// its caller waits, or loses an answer that was nearly complete.
func TestRunThatNeedsNoMoveOrComesTooLateStays(t *testing.T) {
	for name, test := range map[string]struct {
		events int           // one each 100 ms
		after  time.Duration // since the engine said that it leaves
		link   int64         // bits per second
		moves  bool
	}{
		"may outlast the engine":     {20, 0, 1100e9, true},
		"ends before the engine":     {60, 0, 1100e9, false},
		"late, but time suffices":    {20, 2500 * time.Millisecond, 1100e9, true},
		"too late":                   {20, 2800 * time.Millisecond, 1100e9, false},
		"the link is slow":           {20, 0, 2e9, false},
		"a slow link, but fast once": {20, 0, 6e9, true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			m := New(clock, notice)
			s, slow := start(12000, true), *traits
			slow.LinkBitsPerSecond = test.link
			s.Traits = &slow
			run := m.Began(s)
			for range test.events {
				clock.Advance(100 * time.Millisecond)
				run.Event()
			}
			m.Leaves("a", clock.Now())
			clock.Advance(test.after)
			qt.Check(t, len(m.Take()) == 1, qt.Equals, test.moves)
		})
	}
}

// What an answer to a copy or to a stop leads to. A run goes on elsewhere only if an answer has named the memory
// with which it has stopped; anything else would have it run twice.
func TestStepByAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		copied []carawayspread.CopyOutcome
		took   time.Duration
		stops  []carawayspread.CopyResult
		want   Step
	}{
		"copied":                                   {copied: []carawayspread.CopyOutcome{carawayspread.CopyComplete}, want: StepStop},
		"copied after a queue at the link":         {copied: []carawayspread.CopyOutcome{carawayspread.CopyComplete}, took: 200 * time.Millisecond, want: StepCopy},
		"no room, another engine":                  {copied: []carawayspread.CopyOutcome{carawayspread.CopyNoRoom}, want: StepOther},
		"no room at three":                         {copied: []carawayspread.CopyOutcome{carawayspread.CopyNoRoom, carawayspread.CopyNoRoom, carawayspread.CopyNoRoom}, want: StepWait},
		"the other engine is lost after a copy":    {copied: []carawayspread.CopyOutcome{carawayspread.CopyComplete, carawayspread.CopyNoRoom}, want: StepWait},
		"a call is in progress":                    {copied: []carawayspread.CopyOutcome{carawayspread.CopyBusy}, want: StepWait},
		"the answer is lost":                       {copied: []carawayspread.CopyOutcome{carawayspread.CopyUnknown}, want: StepWait},
		"no such run":                              {copied: []carawayspread.CopyOutcome{carawayspread.CopyNoRun}, want: StepStay},
		"stopped":                                  {stops: []carawayspread.CopyResult{done(carawayspread.CopyComplete, "h")}, want: StepContinue},
		"stopped, the other engine lost":           {stops: []carawayspread.CopyResult{done(carawayspread.CopyNoRoom, "h")}, want: StepReturn},
		"no room, and nothing says it has stopped": {stops: []carawayspread.CopyResult{done(carawayspread.CopyNoRoom, "")}, want: StepStay},
		"the answer to the stop is lost":           {stops: []carawayspread.CopyResult{{}}, want: StepStop},
		"it is lost, then it is stopped":           {stops: []carawayspread.CopyResult{{}, done(carawayspread.CopyComplete, "h")}, want: StepContinue},
		"it is lost, then no such run":             {stops: []carawayspread.CopyResult{{}, done(carawayspread.CopyNoRun, "")}, want: StepStay},
		"all answers to the stop are lost":         {stops: []carawayspread.CopyResult{{}, {}, {}}, want: StepStay},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(clockwork.NewFakeClock(), notice)
			run := m.Began(start(12000, true))
			m.Leaves("a", time.Time{})
			qt.Assert(t, m.Take(), qt.HasLen, 1)
			var got Step
			for _, outcome := range test.copied {
				got = run.Copied(done(outcome, ""), test.took)
			}
			for _, result := range test.stops {
				got = run.Stopped(result)
			}
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
}

// A fleet without room is asked again and again by each process, with each of its runs.
func TestRunWaitsLongerEachTimeThereIsNoRoom(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := New(clock, notice)
	m.Began(start(12000, true))
	m.Leaves("a", time.Time{})
	var waited []time.Duration
	for taken := m.Take(); len(taken) == 1; taken = m.Take() {
		waited = append(waited, m.Release(taken[0], StepWait))
		qt.Check(t, m.Take(), qt.HasLen, 0)
		clock.Advance(waited[len(waited)-1])
	}
	qt.Check(t, waited, qt.DeepEquals, []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 800 * time.Millisecond, 800 * time.Millisecond})
}

// A run that has stopped is sent back to its engine, which by then must get nothing more. When it was last known
// to be ready bounds that, not when this process heard that it leaves.
func TestRunReturnsOnlyWhileTheEngineMayGetRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := New(clock, notice)
	m.SetListed(map[carawayspread.EndpointID]bool{"a": false, "b": true}, clock.Now().Add(-time.Second))
	qt.Check(t, m.MayReturn("b"), qt.IsTrue)
	clock.Advance(1500 * time.Millisecond)
	qt.Check(t, m.MayReturn("a"), qt.IsTrue)
	m.SetListed(map[carawayspread.EndpointID]bool{"a": false, "b": true}, clock.Now())
	clock.Advance(500 * time.Millisecond)
	qt.Check(t, m.MayReturn("a"), qt.IsFalse)
	m.SetListed(map[carawayspread.EndpointID]bool{"a": true}, clock.Now())
	qt.Check(t, m.MayReturn("a"), qt.IsTrue)
}

// An engine with 120 long answers of 24 processes says that it leaves; its link carries one copy after another.
// Answers break off as their turn does not come within the notice, or pause for longer than their callers
// tolerate because they are stopped while others' copies wait before them.
func TestAllRunsOfAnEngineMoveWithinItsNotice(t *testing.T) {
	const processes, runs = 24, 120
	clock := clockwork.NewFakeClock()
	began := clock.Now()
	linkFree := clock.Now()
	copyTime := func(tokens int) time.Duration { // between availability zones
		return time.Duration(2 * float64(tokens) * 35136 * 8 / 1100e9 * float64(time.Second))
	}
	var longest time.Duration
	moved := 0
	var fleet []*Moves
	for p := range processes {
		m := New(clock, notice)
		for i := range runs / processes {
			m.Began(start(6000+500*((p+i)%24), true))
		}
		m.Leaves("a", clock.Now())
		fleet = append(fleet, m)
	}
	type call struct {
		step       Step
		sent, done time.Time
	}
	calls := map[*Run]call{}
	send := func(run *Run, step Step) {
		tokens := 13
		if run.copies == 0 {
			tokens = run.tokens()
		}
		if linkFree.Before(clock.Now()) {
			linkFree = clock.Now()
		}
		linkFree = linkFree.Add(copyTime(tokens) + time.Millisecond)
		calls[run] = call{step, clock.Now(), linkFree}
	}
	for ; moved < runs && clock.Now().Before(began.Add(notice)); clock.Advance(time.Millisecond) {
		for _, m := range fleet {
			for _, run := range m.Take() {
				send(run, StepCopy)
			}
		}
		for run, c := range calls {
			took := clock.Now().Sub(c.sent)
			switch {
			case clock.Now().Before(c.done):
			case c.step == StepStop:
				longest = max(longest, took)
				qt.Assert(t, run.Stopped(done(carawayspread.CopyComplete, "h")), qt.Equals, StepContinue)
				run.moves.Release(run, StepContinue)
				run.End()
				delete(calls, run)
				moved++
			default:
				send(run, run.Copied(done(carawayspread.CopyComplete, "h"), took))
			}
		}
	}
	qt.Check(t, moved, qt.Equals, runs)
	qt.Check(t, longest <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", longest))
	t.Log(fmt.Sprint(moved, " runs moved in ", clock.Since(began), ", longest pause ", longest))
}
