package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// Callers with little time are answered by a plain service that is full, as long as it
// answers in that time. One endpoint of three is left; requests wait there for about
// their own time again, and what is expected of it must not grow with the wait.
func TestPlainServiceThatIsFull(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(carawayspread.Environment{Clock: clock, Zone: "z", Rand: rand.New(rand.NewPCG(1, 2))})
	const slots, own = 6, 60 * time.Millisecond
	p.SetEndpoints("s", []carawayspread.Endpoint{
		carawayspread.NewEndpoint("w", "s", "z", "10.0.0.1:1", false, carawayspread.WithSlots(slots)),
	})
	req := carawayspread.PlacementRequest{Route: &carawayspread.Route{Name: "r", TargetLatency: 300 * time.Millisecond}, Service: carawayspread.RoutedService{Name: "s"}}
	type running struct {
		stay carawayspread.AttemptTracker
		sent time.Time
		ends time.Time
		said time.Duration
	}
	var all []running
	var refused, asked int
	var worst float64 // from two seconds after the pause on, when it has faded
	free := make([]time.Time, slots)
	for range 2000 { // one in ten milliseconds, which is what six slots do
		clock.Advance(10 * time.Millisecond)
		now := clock.Now()
		var left []running
		for _, r := range all {
			if r.ends.After(now) {
				left = append(left, r)
				continue
			}
			r.stay.End(carawayspread.OutcomeServed)
			if found := r.ends.Sub(r.sent); asked > 400 {
				worst = max(worst, float64(r.said)/float64(found))
			}
		}
		all = left
		asked++
		req.Arrived, req.Deadline, req.Fingerprint = now, now.Add(600*time.Millisecond), rand.Uint64()
		at, err := p.Place(req)
		if err != nil {
			refused++
			continue
		}
		first := 0
		for slot := range free {
			if free[slot].Before(free[first]) {
				first = slot
			}
		}
		free[first] = later(now, free[first]).Add(own)
		all = append(all, running{p.Sent(req, at), now, free[first], at.TimeToFirstEvent})
		if asked == 200 { // a pause of the endpoint, so that a queue stands from here on
			for slot := range free {
				free[slot] = free[slot].Add(150 * time.Millisecond)
			}
		}
	}
	t.Log(fmt.Sprintf("%d of %d refused, expected at the worst %.2f times what was found", refused, asked, worst))
	qt.Check(t, refused, qt.Equals, 0)
	qt.Check(t, worst <= 1.5, qt.IsTrue, qt.Commentf("%.2f", worst))
}
