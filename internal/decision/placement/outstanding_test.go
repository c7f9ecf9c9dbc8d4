package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Callers see first events after seconds at some engines, while others idle. Many processes that have
// just started know too few answers to tell slow engines from fast ones; two in three engines take
// 1.4 times what they expect. They must go by what is unanswered there.
func TestPromptsAvoidEnginesThatFallBehind(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newReplay("estimate", true, 24, 9, 6)
			r.rand = rand.New(rand.NewPCG(1, 2+seed))
			for n := range 9 {
				r.engines[carawayspread.EndpointID(fmt.Sprint("w", n))].slowdown = []float64{3, 3, 1.2}[n%3]
			}
			load := long
			load.perSecond, load.target = 45, 800*time.Millisecond
			r.run(5*time.Second, load)
			t.Logf("%.3f in time, %d refused, worst %v", r.share(), r.refused, r.worstWait)
			qt.Check(t, r.share() > 0.85, qt.IsTrue)
		})
	}
}
