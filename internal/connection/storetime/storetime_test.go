package storetime

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

type uptime struct{ now time.Duration }

func (u *uptime) Uptime() time.Duration { return u.now }

func TestNothingIsKnownBeforeAReading(t *testing.T) {
	c := New(&uptime{now: time.Hour})
	c.Observe(time.Minute, 0) // a store that shows no clock
	_, known := c.Age(time.Second)
	qt.Check(t, known, qt.IsFalse)
}

// Guards against an age that is shorter than the truth: readings arrive late, clocks
// differ in rate by up to 2%, and old readings follow newer ones.
func TestAgeIsNeverTooShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.981, 1.019).Draw(t, "rate")
		u := &uptime{now: time.Hour}
		store := time.Duration(rapid.IntRange(1, 1e6).Draw(t, "store")) * time.Millisecond
		pass := func(label string) {
			d := time.Duration(rapid.IntRange(0, 20000).Draw(t, label)) * time.Millisecond
			u.now += d
			store += time.Duration(rate * float64(d))
		}
		c := New(u)
		var stamps []time.Duration
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			asked := u.now
			pass("way there")
			stamp := store
			pass("way back")
			c.Observe(asked, stamp)
			stamps = append(stamps, stamp)
			pass("pause")
			for _, stamp := range stamps {
				age, known := c.Age(stamp)
				if !known || age < store-stamp {
					t.Fatalf("age %v of a stamp that is %v old", age, store-stamp)
				}
			}
		}
	})
}

// Guards against keys that are refused early: the bound follows the quickest reading
// and widens by the drift alone.
func TestBoundFollowsTheQuickestReading(t *testing.T) {
	u := &uptime{now: time.Hour}
	c := New(u)
	asked := u.now
	u.now += 5 * time.Millisecond
	c.Observe(asked, time.Minute)
	asked = u.now
	u.now += 3 * time.Second // a call that waited
	c.Observe(asked, time.Minute+2999*time.Millisecond)
	age, _ := c.Age(time.Minute)
	qt.Check(t, age < 3100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", age))
}
