package clocksync

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

const epoch = 400000 * time.Hour

// Guards against usage that is counted in the wrong window because the wall clocks of a
// minority, including that of this process, jump by seconds.
func TestMinorityDoesNotMoveTheTime(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(0, 0).Add(epoch + time.Hour))
	c := New(clock, func() (time.Duration, bool) { return time.Hour, true })
	for peer, off := range []time.Duration{0, 1, 2, 3 * time.Second, -5 * time.Second} {
		c.ObservePeer(uint64(peer), epoch+off)
	}
	before, known := c.Now()
	qt.Assert(t, known, qt.IsTrue)
	qt.Check(t, before >= epoch+time.Hour && before <= epoch+time.Hour+2, qt.IsTrue, qt.Commentf("%v", before-epoch))
	clock.Advance(2 * time.Second) // moves the wall clock only, not the store's clock
	after, _ := c.Now()
	qt.Check(t, after-before <= 2, qt.IsTrue, qt.Commentf("%v", after-before))
}

func TestWithoutPeersOwnClockCounts(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(0, 0).Add(epoch + time.Hour))
	c := New(clock, func() (time.Duration, bool) { return time.Hour, true })
	c.ObservePeer(1, epoch+time.Minute)
	clock.Advance(offsetTTL + 1)
	now, _ := c.Now()
	qt.Check(t, now, qt.Equals, epoch+time.Hour+offsetTTL+1)
	c = New(clock, func() (time.Duration, bool) { return 0, false })
	_, known := c.Now()
	qt.Check(t, known, qt.IsFalse)
}
