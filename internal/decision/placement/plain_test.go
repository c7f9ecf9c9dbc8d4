package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// Guards against refusals of requests with short deadlines by a plain service that is full but
// answers in time. One endpoint of three remains, where requests wait for about their own service
// time; the expected latency must not grow with that wait.
func TestFullPlainServiceServesTightDeadlines(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(carawayspread.Environment{Clock: clock, Zone: "z", Rand: rand.New(rand.NewPCG(1, 2))})
	const slots, serviceTime = 6, 60 * time.Millisecond
	p.SetEndpoints("s", []carawayspread.Endpoint{
		carawayspread.NewEndpoint("w", "s", "z", "10.0.0.1:1", false, carawayspread.WithSlots(slots)),
	})
	req := carawayspread.PlacementRequest{Route: &carawayspread.Route{Name: "r", TargetLatency: 300 * time.Millisecond}, Service: carawayspread.RoutedService{Name: "s"}}
	type running struct {
		tracker  carawayspread.AttemptTracker
		sent     time.Time
		ends     time.Time
		expected time.Duration
	}
	var all []running
	var refused, total int
	var worstRatio float64 // from two seconds after the endpoint's pause, when its effect has decayed
	free := make([]time.Time, slots)
	for range 2000 { // one request each 10 ms, the capacity of six slots
		clock.Advance(10 * time.Millisecond)
		now := clock.Now()
		var unfinished []running
		for _, r := range all {
			if r.ends.After(now) {
				unfinished = append(unfinished, r)
				continue
			}
			r.tracker.End(carawayspread.OutcomeServed)
			if measured := r.ends.Sub(r.sent); total > 400 {
				worstRatio = max(worstRatio, float64(r.expected)/float64(measured))
			}
		}
		all = unfinished
		total++
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
		free[first] = later(now, free[first]).Add(serviceTime)
		all = append(all, running{p.Sent(req, at), now, free[first], at.TimeToFirstEvent})
		if total == 200 { // the endpoint pauses, so that there is a queue from here on
			for slot := range free {
				free[slot] = free[slot].Add(150 * time.Millisecond)
			}
		}
	}
	t.Log(fmt.Sprintf("%d of %d refused, expected latency at most %.2f times the measured one", refused, total, worstRatio))
	qt.Check(t, refused, qt.Equals, 0)
	qt.Check(t, worstRatio <= 1.5, qt.IsTrue, qt.Commentf("%.2f", worstRatio))
}

// One entry of the list states so many slots that four times the number is none: each request for the
// service ends in a panic, and its caller's connection is cut without an answer.
func TestSlotsOfAnOddEntryEndNoRequest(t *testing.T) {
	for name, slots := range map[string]int{
		"none": 0, "negative": math.MinInt64, "four times it is nothing": 1 << 62, "four times it is negative": 1 << 61,
		"the largest number": math.MaxInt64,
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := New(carawayspread.Environment{Clock: clock, Zone: "z", Rand: rand.New(rand.NewPCG(1, 2))})
			p.SetEndpoints("s", []carawayspread.Endpoint{
				carawayspread.NewEndpoint("odd", "s", "z", "10.0.0.1:1", false, carawayspread.WithSlots(slots)),
				carawayspread.NewEndpoint("sound", "s", "z", "10.0.0.2:1", false, carawayspread.WithSlots(4)),
			})
			req := carawayspread.PlacementRequest{
				Route: &carawayspread.Route{Name: "r", TargetLatency: time.Second}, Service: carawayspread.RoutedService{Name: "s"},
				Arrived: clock.Now(), Deadline: clock.Now().Add(time.Second),
			}
			for range 3 {
				at, err := p.Place(req)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, at.TimeToFirstEvent > 0, qt.IsTrue)
				p.Sent(req, at)
			}
		})
	}
}
