package attempts

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// The network delivers an attempt again, up to one window after the first delivery.
// The second delivery must be refused, as the request would run twice.
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

// More attempts arrive than fit into a window. New ones are refused, instead of old
// ones being dropped, and are accepted again after the window has ended.
func TestFullWindowRefusesNewAttempts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := New(clock)
	for i := range maxPerWindow {
		qt.Assert(t, a.Accept(strconv.Itoa(i)), qt.IsTrue)
	}
	qt.Check(t, a.Accept("new"), qt.IsFalse)
	qt.Check(t, a.Accept("0"), qt.IsFalse)
	clock.Advance(window)
	qt.Check(t, a.Accept("new"), qt.IsTrue)
	qt.Check(t, a.Accept("0"), qt.IsFalse)
}
