package attempts

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// The network delivers an attempt again, as late as a window after the first
// time. The second delivery must be refused, or the request runs twice.
func TestSecondDeliveryIsRefused(t *testing.T) {
	tests := map[string]time.Duration{"at once": 0, "within the window": time.Second, "a window later": window}
	for name, after := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			a := New(clock)
			clock.Advance(window / 2)
			qt.Assert(t, a.Accept("1"), qt.IsTrue)
			clock.Advance(after)
			qt.Check(t, a.Accept("2"), qt.IsTrue)
			qt.Check(t, a.Accept("1"), qt.IsFalse)
		})
	}
}

// More attempts arrive than can be remembered. New ones are refused rather than
// old ones forgotten, and taken again when a window has passed.
func TestFullMemoryRefuses(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := New(clock)
	for i := range limit {
		qt.Assert(t, a.Accept(strconv.Itoa(i)), qt.IsTrue)
	}
	qt.Check(t, a.Accept("new"), qt.IsFalse)
	qt.Check(t, a.Accept("0"), qt.IsFalse)
	clock.Advance(window)
	qt.Check(t, a.Accept("new"), qt.IsTrue)
	qt.Check(t, a.Accept("0"), qt.IsFalse)
}
