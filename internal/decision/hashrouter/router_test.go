package hashrouter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

func newTestRouter(seed uint64, ids ...carawayspread.EndpointID) (*Router, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	r := New(carawayspread.Environment{Clock: clock, Rand: rand.New(rand.NewPCG(seed, 1)), Zone: "a"})
	r.SetEndpoints(newEndpoints(ids...))
	return r, clock
}

func newEndpoints(ids ...carawayspread.EndpointID) (listed []carawayspread.Endpoint) {
	for _, id := range ids {
		listed = append(listed, carawayspread.NewEndpoint(id, "llm", "a", "", false))
	}
	return listed
}

func freeExcept(out ...carawayspread.EndpointID) func(carawayspread.EndpointID) carawayspread.Availability {
	return func(id carawayspread.EndpointID) carawayspread.Availability {
		for _, o := range out {
			if id == o {
				return carawayspread.AvailabilityExcluded
			}
		}
		return carawayspread.AvailabilityFree
	}
}

// One engine has reported the model as resident and then crashes; the other has not reported its
// models, or lacks the model. Callers must reach the other engine: unknown residency does not mean
// that the model is absent, and when no holder is left any endpoint must do.
func TestPickBeyondKnownHolders(t *testing.T) {
	for name, models := range map[string][]string{"not known": nil, "known to lack it": {"other"}} {
		t.Run(name, func(t *testing.T) {
			r, clock := newTestRouter(1, "e1", "e2")
			r.Reported(carawayspread.EndpointReport{Endpoint: "e1", MeasuredAt: clock.Now(), Slots: 8, Models: []string{"m"}})
			r.Reported(carawayspread.EndpointReport{Endpoint: "e2", MeasuredAt: clock.Now(), Slots: 8, Models: models})
			clock.Advance(rebuildAfter)
			r.Reported(carawayspread.EndpointReport{Endpoint: "e1", MeasuredAt: clock.Now(), Slots: 8, Models: []string{"m"}, Crashed: true})
			for n := range uint64(100) {
				choice := r.Pick(&carawayspread.Job{Model: "m", Prefix: n, Fingerprint: n}, freeExcept("e1"))
				qt.Assert(t, choice.Endpoint, qt.Equals, carawayspread.EndpointID("e2"))
			}
		})
	}
}

// Many entries share reports of different ages. Each fingerprint must reach at most two endpoints
// through all of them.
func TestTwoCandidates(t *testing.T) {
	const endpoints, entries = 50, 10
	var ids []carawayspread.EndpointID
	for n := range endpoints {
		ids = append(ids, carawayspread.EndpointID(fmt.Sprint("e", n)))
	}
	var routers []*Router
	for n := range uint64(entries) {
		r, clock := newTestRouter(n, ids...)
		for i, id := range ids {
			r.Reported(carawayspread.EndpointReport{Endpoint: id, MeasuredAt: clock.Now().Add(-time.Duration(n) * time.Second), Running: i % 16, Slots: 16})
		}
		routers = append(routers, r)
	}
	for fingerprint := range uint64(200) {
		reached := map[carawayspread.EndpointID]bool{}
		for range 20 {
			for _, r := range routers {
				choice := r.Pick(&carawayspread.Job{Prefix: fingerprint % 7, Fingerprint: fingerprint}, freeExcept())
				qt.Assert(t, choice.OutsideAffinity, qt.IsFalse)
				reached[choice.Endpoint] = true
			}
		}
		qt.Assert(t, len(reached) <= 2, qt.IsTrue)
	}
}
