package storetime

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

type uptime struct{ now time.Duration }

func (u *uptime) Uptime() time.Duration { return u.now }

func TestAgeIsUnknownBeforeAnObservation(t *testing.T) {
	c := New(&uptime{now: time.Hour})
	c.Observe(time.Minute, 0) // a store that sends no clock value
	_, known := c.Age(time.Second)
	qt.Check(t, known, qt.IsFalse)
}

// Guards against an age that is shorter than the real one. Observations arrive late, the rates of
// the clocks differ by up to 2%, and old observations follow newer ones.
func TestAgeIsNeverTooShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.981, 1.019).Draw(t, "rate")
		u := &uptime{now: time.Hour}
		store := time.Duration(rapid.IntRange(1, 1e6).Draw(t, "store")) * time.Millisecond
		advance := func(label string) {
			d := time.Duration(rapid.IntRange(0, 20000).Draw(t, label)) * time.Millisecond
			u.now += d
			store += time.Duration(rate * float64(d))
		}
		c := New(u)
		var storeTimes []time.Duration
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			requestedAt := u.now
			advance("request delay")
			storeTime := store
			advance("response delay")
			c.Observe(requestedAt, storeTime)
			storeTimes = append(storeTimes, storeTime)
			advance("pause")
			for _, storeTime := range storeTimes {
				age, known := c.Age(storeTime)
				if !known || age < store-storeTime {
					t.Fatalf("age %v of a store time that is %v old", age, store-storeTime)
				}
			}
		}
	})
}

// Guards against API keys that are refused too early: the bound must follow the observation with
// the shortest call and grow by the drift alone.
func TestBoundFollowsTheFastestObservation(t *testing.T) {
	u := &uptime{now: time.Hour}
	c := New(u)
	requestedAt := u.now
	u.now += 5 * time.Millisecond
	c.Observe(requestedAt, time.Minute)
	requestedAt = u.now
	u.now += 3 * time.Second // a slow call
	c.Observe(requestedAt, time.Minute+2999*time.Millisecond)
	age, _ := c.Age(time.Minute)
	qt.Check(t, age < 3100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", age))
}
