package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Callers of short urgent prompts are refused, or get them prefilled beside running answers, while patient
// prompts of several seconds' work are queued at engines that would serve the urgent ones next. And as those come
// earlier than expected, the queues are taken for shorter than they are, so that patient prompts wait for seconds.
// The engines prefill by priority, near their capacity: the time of each class must be known.
func TestWaitsAreExpectedByUrgency(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newReplay("estimate", true, 12, 6, 3)
			r.byPriority = true
			r.rand = rand.New(rand.NewPCG(1, 2+seed))
			urgent, patient := short, long
			urgent.perSecond, urgent.priority, patient.priority = 160, 0, 2
			patient.perSecond, patient.target, patient.sigma = 64, 800*time.Millisecond, 1
			r.run(15*time.Second, urgent, patient)
			late := func(priority int, target time.Duration) (n int) {
				for _, took := range r.outcomes[priority] {
					if took > target {
						n++
					}
				}
				return n
			}
			t.Logf("urgent %d late of %d, patient %d late of %d, %d refused; %.3f in time", late(0, urgent.target), len(r.outcomes[0]),
				late(2, patient.target), len(r.outcomes[2]), r.refused, r.share())
			urgentAsked := 0
			for _, asked := range r.requests {
				if asked.priority == 0 {
					urgentAsked++
				}
			}
			qt.Check(t, float64(len(r.outcomes[0])-late(0, urgent.target)) > 0.98*float64(urgentAsked), qt.IsTrue, qt.Commentf("of %d", urgentAsked))
			qt.Check(t, r.share() > 0.92, qt.IsTrue)
		})
	}
}
