package placement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// question is a request of a caller with all its tries.
type question struct {
	process, priority, tokens int
	triedAt                   time.Time
	served                    bool
}

// shareOf returns which part of the questions was served.
func shareOf(questions []question) float64 {
	served := 0
	for _, q := range questions {
		if q.served {
			served++
		}
	}
	return float64(served) / float64(max(1, len(questions)))
}

// leaseMix is a load of three kinds of prompts, of which the longest are the least urgent and the
// others, at a peak, take most of the engines.
func leaseMix(peak float64) []pattern {
	const rate = 3
	return []pattern{
		{perSecond: rate * 18.7, tokens: 17000, shared: 13300, prefixes: 60, target: 600 * time.Millisecond, sigma: .9, priority: 2, patience: 2400 * time.Millisecond},
		{perSecond: rate * 13.9 * peak, tokens: 9200, shared: 6300, prefixes: 60, target: time.Second, sigma: .9, priority: 0},
		{perSecond: rate * 27.5 * peak, tokens: 1460, shared: 350, prefixes: 60, target: time.Second, sigma: .9, priority: 1},
	}
}

// Guards against SHORT: of the largest tenth of a route's requests, or the fifth below it, less than
// half as many are served as of all, at any process.
func TestLargestRequestsAreServedHalfAsOftenAtEachProcess(t *testing.T) {
	for name, peak := range map[string]float64{"usual": 1, "full": 3, "overloaded": 3.5, "mostly refused": 4} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				r := newReplay("estimate", true, 3, 8, 4)
				r.rand, r.byPriority = rand.New(rand.NewPCG(7, seed)), true
				r.run(60*time.Second, leaseMix(peak)...)
				for process := range r.placers {
					checkSizes(t, r.questionsOf(process, 2))
				}
			})
		}
	}
}

// questionsOf returns the questions of one route that began at the process, the largest first.
func (r *replay) questionsOf(process, priority int) []question {
	var questions []question
	for _, q := range r.questions {
		if q.process == process && q.priority == priority {
			questions = append(questions, *q)
		}
	}
	slices.SortStableFunc(questions, func(a, b question) int { return cmp.Compare(b.tokens, a.tokens) })
	return questions
}

// checkSizes checks the shares of the largest tenth and of the fifth below it.
func checkSizes(t *testing.T, questions []question) {
	all, tenth := shareOf(questions), len(questions)/10
	for name, part := range map[string][]question{"largest tenth": questions[:tenth], "fifth below it": questions[tenth : 3*tenth]} {
		qt.Check(t, shareOf(part) >= all/2, qt.IsTrue, qt.Commentf("process %d: %.2f of the %d of the %s served, %.2f of all",
			questions[0].process, shareOf(part), len(part), name, all))
	}
}

// Guards against others that wait for ever behind the largest: requests go before more urgent ones no
// more often than their sizes are owed admissions.
func TestOvertakingIsBoundedByWhatIsOwed(t *testing.T) {
	r := newReplay("estimate", true, 3, 8, 4)
	r.byPriority = true
	r.run(60*time.Second, leaseMix(3.5)...)
	admitted := len(r.outcomes[2])
	t.Logf("%d of %d went before others", r.urgent, admitted)
	qt.Check(t, r.urgent > 0, qt.IsTrue)
	qt.Check(t, float64(r.urgent) <= 0.65*float64(admitted)+3*10, qt.IsTrue)
	waited := r.outcomes[0]
	slices.Sort(waited)
	qt.Check(t, waited[len(waited)*95/100] < time.Second, qt.IsTrue, qt.Commentf("%v", waited[len(waited)*95/100]))
}
