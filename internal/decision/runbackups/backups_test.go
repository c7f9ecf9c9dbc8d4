package runbackups

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

var traits = &carawayspread.EngineTraits{KVBytesPerToken: 35136, LinkBitsPerSecond: 1100e9, TokensPerEvent: 13, BacksUpRuns: true}

func review() Request {
	return Request{OnlyAttempt: true, Traits: traits, PromptTokens: 12000, OutputTokens: 377, Engines: 43}
}

// Copies are kept that help nobody, and take links and memory from answers that need them.
func TestCopiesOnlyWhatCannotBeMadeAgain(t *testing.T) {
	for name, test := range map[string]struct {
		change func(r *Request)
		known  bool
		want   bool
	}{
		"the only attempt, long":        {func(*Request) {}, true, true},
		"another attempt is allowed":    {func(r *Request) { r.OnlyAttempt = false }, true, false},
		"short":                         {func(r *Request) { r.OutputTokens = 8*13 - 1 }, true, false},
		"engines keep no copies":        {func(r *Request) { r.Traits = &carawayspread.EngineTraits{LinkBitsPerSecond: 1e9} }, true, false},
		"no engine":                     {func(r *Request) { r.Traits = nil }, true, false},
		"more links than processes":     {func(r *Request) { r.Engines = 1300 }, true, true},
		"the size of the fleet unknown": {func(*Request) {}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(clockwork.NewFakeClock(), 0.1, func() (int, bool) { return 23, test.known })
			r := review()
			test.change(&r)
			qt.Check(t, b.Take(r), qt.Equals, test.want)
		})
	}
}

// An engine is never checked while an answer pauses, and its caller leaves; or at every pause, for a connection each.
func TestSilentEngineIsChecked(t *testing.T) {
	s := NewSilence(0)
	qt.Check(t, s.Interval(), qt.Equals, 400*time.Millisecond)
	var checked []int
	for n, events := range []int64{0, 0, 0, 1, 2, 2, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 4, 4, 4} {
		if s.Check(events) {
			checked = append(checked, n)
		}
	}
	qt.Check(t, checked, qt.DeepEquals, []int{8, 10, 14, 18})
}

// A burst of reviews, four times the usual, and all of its copies: prompts that are handed over wait behind them.
// Copies of 23 processes take no more than their share of the links of 43 engines, and the usual load is copied.
func TestCopiesKeepToTheirShareOfTheLinks(t *testing.T) {
	const processes, share, seconds = 23, 0.05, 20
	for name, test := range map[string]struct {
		perSecond int // of all processes
		all       bool
	}{
		"usual": {60, true},
		"burst": {2400, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			var fleet []*Backups
			for range processes {
				fleet = append(fleet, New(clock, share, func() (int, bool) { return processes, true }))
			}
			taken, sent := 0, test.perSecond*seconds
			for n := range sent {
				clock.Advance(time.Second / time.Duration(test.perSecond))
				if fleet[n%processes].Take(review()) {
					taken++
				}
			}
			qt.Check(t, taken == sent, qt.Equals, test.all, qt.Commentf("%d of %d", taken, sent))
			used := time.Duration(taken) * transferTime(review())
			allowed := time.Duration(share * 43 * float64((seconds+1)*time.Second))
			qt.Check(t, used <= allowed, qt.IsTrue, qt.Commentf("%v of %v", used, allowed))
			qt.Check(t, test.all || used > allowed*8/10, qt.IsTrue, qt.Commentf("%v of %v", used, allowed))
		})
	}
}
