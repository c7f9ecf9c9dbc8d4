package suspectparts

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// The parts of prompts whose connections were reset are suspects, although their endpoints have proved to run
// on, before or after the check.
func TestEndpointThatRunsOnBlamesNoPart(t *testing.T) {
	for name, test := range map[string]struct{ proved, doubtful, suspect bool }{
		"proved":            {true, true, false},
		"proved, then gone": {true, false, true},
		"not proved":        {false, true, true},
	} {
		for _, before := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				clock := clockwork.NewFakeClock()
				p := New(clock, rand.New(rand.NewPCG(1, 2)))
				for n := range uint32(8) {
					id, at := carawayspread.EndpointID(rune('a'+n)), clock.Now()
					clock.Advance(10 * time.Millisecond)
					if before && test.proved {
						p.Withdraw(id)
					}
					clock.Advance(40 * time.Millisecond)
					p.Crashed(id, at, test.doubtful, []Request{{Parts: []uint64{1}, Witness: n}})
					if !before && test.proved && test.doubtful {
						p.Withdraw(id)
					}
					clock.Advance(time.Second)
				}
				qt.Check(t, p.Decide([]uint64{1}).Verdict == VerdictRefuse, qt.Equals, test.suspect)
			})
		}
	}
}

// A part is not saved, and known to no process once all have been replaced, as it was not refused yet when its
// crash was observed: a peer's crashes arrive later, or another part that came with it is cleared later.
func TestPartThatIsRefusedLaterIsSaved(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(clock, rand.New(rand.NewPCG(1, 2)))
	p.Crashed("a", clock.Now(), false, []Request{{Parts: []uint64{1, 2}, Witness: 1}})
	qt.Check(t, p.TakeSettled(), qt.HasLen, 0)
	clock.Advance(time.Second)
	for i, id := range []carawayspread.EndpointID{"b", "c"} {
		for part := range uint64(2) {
			p.Learn([]carawayspread.PartCrash{{Part: part + 1, Endpoint: id, Witness: uint32(i + 2), Age: time.Duration(i) * 400 * time.Millisecond}})
		}
	}
	qt.Check(t, p.TakeSettled(), qt.HasLen, 0, qt.Commentf("two parts that always came together"))
	p.Answered([]uint64{2})
	qt.Check(t, p.TakeSettled(), qt.DeepEquals, map[uint64]time.Duration{1: Refusal})
	qt.Check(t, p.TakeSettled(), qt.HasLen, 0)
}
