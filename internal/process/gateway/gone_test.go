package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Callers after the first are served at once: an endpoint whose address another
// instance has, or that takes no connection, gets nothing for a while although
// its entry is still listed, and is tried again after it. Without it every request
// goes there first, since it looks idle, until the common retries are used up.
func TestEndpointThatIsGoneIsLeftAlone(t *testing.T) {
	tests := map[string]struct {
		first []step
		least time.Duration // out of use
	}{
		"another has its address": {[]step{answer(421)}, 3900 * time.Millisecond},
		"two take no connection":  {[]step{unreachable(), unreachable()}, 400 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, test.first...)
			_, _, err := b.ask(t, "/never/x", "body")
			qt.Assert(t, err, qt.IsNil)
			gone := map[carawayspread.EndpointID]bool{}
			for _, s := range b.exchange.all()[:len(test.first)] {
				gone[s.to] = true
			}
			begun := b.clock.Now()
			used := func() bool {
				before := len(b.exchange.all())
				for i := range 12 {
					_, _, err := b.ask(t, "/never/x", fmt.Sprint("body ", i))
					qt.Assert(t, err, qt.IsNil)
				}
				for _, s := range b.exchange.all()[before:] {
					if gone[s.to] {
						return true
					}
				}
				return false
			}
			for b.clock.Now().Sub(begun) < test.least {
				qt.Assert(t, used(), qt.IsFalse)
				b.clock.Advance(100 * time.Millisecond)
			}
			b.clock.Advance(10 * time.Second)
			qt.Check(t, used(), qt.IsTrue)
		})
	}
}
