package ejection

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// Guards against callers that lose more than one connect to an instance that is gone while
// its endpoint is still listed: the first attempt ejects the endpoint, and a failed probe
// ejects it again for longer. When a region is partitioned, a fifth of all endpoints is
// ejected and the rest still gets requests.
func TestUnreachableEndpointIsEjectedAtOnce(t *testing.T) {
	const endpoints, region = 1300, 325
	clock := clockwork.NewFakeClock()
	e := New(carawayspread.Environment{Clock: clock})
	ids := make([]carawayspread.EndpointID, endpoints)
	for i := range ids {
		ids[i] = carawayspread.EndpointID(fmt.Sprint("worker-", i))
	}
	e.SetEndpoints(ids)
	fail := func(id carawayspread.EndpointID) { e.Observe(id, 0, carawayspread.OutcomeUnreachable) }

	fail(ids[0])
	qt.Check(t, e.Allowed(ids[0]), qt.IsFalse)
	clock.Advance(minEjectionTime + time.Second)
	qt.Check(t, e.Allowed(ids[0]), qt.IsTrue, qt.Commentf("a probe"))
	e.Sent(ids[0])
	fail(ids[0])
	clock.Advance(minEjectionTime + time.Second)
	qt.Check(t, e.Allowed(ids[0]), qt.IsFalse, qt.Commentf("ejected for twice as long"))

	for _, id := range ids[:region] {
		fail(id)
	}
	ejected := 0
	for _, id := range ids {
		if !e.Allowed(id) {
			ejected++
		}
	}
	qt.Check(t, ejected, qt.Equals, endpoints/5)
}
