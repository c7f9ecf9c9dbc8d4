package ratelimit

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// fleet holds the limits of all processes for one endpoint.
type fleet struct {
	names  []uint64
	limits []*Limit
	rate   float64
}

func newFleet(processes int, rate float64) *fleet {
	f := &fleet{rate: rate}
	for n := range processes {
		f.names = append(f.names, uint64(n)*7919)
		f.limits = append(f.limits, New(start, rate))
	}
	return f
}

func (f *fleet) share(n int) float64 { return Share("endpoint", f.rate, f.names[n], f.names) }

// Guards against an endpoint that gets more requests than it reported, however the processes
// send: in any time span it gets no more than its rate allows in that span plus one second.
func TestRateHoldsForAllProcessesTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 40).Draw(t, "processes"), float64(rapid.IntRange(0, 200).Draw(t, "deciRate"))/10)
		pauses := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 60).Draw(t, "pauses")
		now := start
		var sent []time.Time
		for i, ms := range pauses {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			for n, limit := range f.limits {
				limit.SetRate(now, f.rate) // by any response
				for range 1 + i%3 {
					if limit.Take(now, f.share(n)) {
						sent = append(sent, now)
					}
				}
			}
		}
		for first := range sent {
			for last := first; last < len(sent); last++ {
				span := sent[last].Sub(sent[first]).Seconds()
				if got, most := last-first+1, math.Ceil(f.rate*(span+1))+1; float64(got) > most {
					t.Fatalf("%d requests in %.3f s at %.1f a second", got, span, f.rate)
				}
			}
		}
	})
}

// Guards against processes that start at once, do not know of one another yet, and each send at the whole rate.
func TestRateHoldsWhileTheFleetIsNotKnown(t *testing.T) {
	f := newFleet(20, 4)
	sent := 0
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(50 * time.Millisecond) {
		for n, limit := range f.limits {
			if limit.Take(now, Share("endpoint", f.rate, f.names[n], nil)) {
				sent++
			}
		}
	}
	qt.Check(t, sent, qt.Equals, 0)
}

// The shares are equal and add up to the whole rate.
func TestSharesAddUpToTheRate(t *testing.T) {
	for name, c := range map[string]struct {
		processes, users int
		rate             float64
	}{
		"alone":                     {1, 1, 9},
		"fewer processes than rate": {4, 4, 9.9},
		"more processes than rate":  {28, 2, 2.2},
		"less than one a second":    {300, 1, 0.1},
		"nothing accepted":          {4, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.processes, c.rate)
			users, sum := 0, 0.0
			for n := range f.limits {
				if share := f.share(n); share > 0 {
					users, sum = users+1, sum+share
				}
			}
			qt.Check(t, users, qt.Equals, c.users)
			qt.Check(t, math.Abs(sum-1) < 1e-9, qt.IsTrue, qt.Commentf("%f", sum))
		})
	}
}

// Guards against a share that is lost with its process.
func TestShareOfALostProcessIsTakenOver(t *testing.T) {
	f := newFleet(28, 2.2)
	var user int
	for n := range f.limits {
		if f.share(n) > 0 {
			user = n
		}
	}
	left := append(append([]uint64{}, f.names[:user]...), f.names[user+1:]...)
	sum := 0.0
	for _, name := range left {
		sum += Share("endpoint", f.rate, name, left)
	}
	qt.Check(t, math.Abs(sum-1) < 1e-9, qt.IsTrue, qt.Commentf("%f", sum))
}

// The first request waits for a token, since the requests that the endpoint got before it
// reported its rate count as well. A rate that no response reports any more is probed, by
// single requests.
func TestLimitFromItsStartToItsProbes(t *testing.T) {
	l := New(start, 2)
	qt.Check(t, l.Allows(start, 1), qt.IsFalse)
	qt.Check(t, l.Take(start.Add(400*time.Millisecond), 1), qt.IsFalse)
	qt.Check(t, l.Take(start.Add(500*time.Millisecond), 1), qt.IsTrue)
	qt.Check(t, l.Take(start.Add(500*time.Millisecond), 1), qt.IsFalse)

	l.SetRate(start.Add(time.Second), 0)
	later := start.Add(time.Second + probeInterval)
	l.tokens = 0
	qt.Check(t, l.Take(later.Add(-1), 1), qt.IsFalse)
	qt.Check(t, l.Take(later, 0), qt.IsTrue)
	qt.Check(t, l.Take(later.Add(probeInterval/2), 0), qt.IsFalse)
	qt.Check(t, l.Take(later.Add(probeInterval), 0), qt.IsTrue)
}
