package ratelimit

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// fleet is the limits of all processes for one endpoint.
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

func (f *fleet) part(n int) float64 { return Part("endpoint", f.rate, f.names[n], f.names) }

// Whatever processes send and however they meet, the endpoint gets in any time no more
// than its rate allows in it and one second more.
func TestRateHoldsForAllProcessesTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 40).Draw(t, "processes"), float64(rapid.IntRange(0, 200).Draw(t, "deciRate"))/10)
		pauses := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 60).Draw(t, "pauses")
		now := start
		var sent []time.Time
		for i, ms := range pauses {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			for n, limit := range f.limits {
				limit.Named(now, f.rate) // by any of the answers
				for range 1 + i%3 {
					if limit.Take(now, f.part(n)) {
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

// All of the rate is given away, to whole processes and in equal parts.
func TestPartsAreTheWholeRate(t *testing.T) {
	for name, c := range map[string]struct {
		processes, users int
		rate             float64
	}{
		"alone":                     {1, 1, 9},
		"fewer processes than rate": {4, 4, 9.9},
		"more processes than rate":  {28, 2, 2.2},
		"less than one a second":    {300, 1, 0.1},
		"none taken":                {4, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.processes, c.rate)
			users, sum := 0, 0.0
			for n := range f.limits {
				if part := f.part(n); part > 0 {
					users, sum = users+1, sum+part
				}
			}
			qt.Check(t, users, qt.Equals, c.users)
			qt.Check(t, math.Abs(sum-1) < 1e-9, qt.IsTrue, qt.Commentf("%f", sum))
		})
	}
}

// A process that is lost leaves its part to another one.
func TestPartOfALostProcessIsTakenOver(t *testing.T) {
	f := newFleet(28, 2.2)
	var user int
	for n := range f.limits {
		if f.part(n) > 0 {
			user = n
		}
	}
	left := append(append([]uint64{}, f.names[:user]...), f.names[user+1:]...)
	sum := 0.0
	for _, name := range left {
		sum += Part("endpoint", f.rate, name, left)
	}
	qt.Check(t, math.Abs(sum-1) < 1e-9, qt.IsTrue, qt.Commentf("%f", sum))
}

// What an endpoint got before it named its rate counts as well: the first request waits.
// One that nobody hears of any more is tried, and not by a burst.
func TestLimitFromItsStartToItsLapse(t *testing.T) {
	l := New(start, 2)
	qt.Check(t, l.Allows(start, 1), qt.IsFalse)
	qt.Check(t, l.Take(start.Add(400*time.Millisecond), 1), qt.IsFalse)
	qt.Check(t, l.Take(start.Add(500*time.Millisecond), 1), qt.IsTrue)
	qt.Check(t, l.Take(start.Add(500*time.Millisecond), 1), qt.IsFalse)

	l.Named(start.Add(time.Second), 0)
	later := start.Add(time.Second + lapse)
	l.tokens = 0
	qt.Check(t, l.Take(later.Add(-1), 1), qt.IsFalse)
	qt.Check(t, l.Take(later, 0), qt.IsTrue)
	qt.Check(t, l.Take(later.Add(lapse/2), 0), qt.IsFalse)
	qt.Check(t, l.Take(later.Add(lapse), 0), qt.IsTrue)
}
