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
func TestUnreachableEndpointIsSuspended(t *testing.T) {
	tests := map[string]struct {
		first   []step
		atLeast time.Duration // out of use
	}{
		"another has its address": {[]step{answer(421)}, 3900 * time.Millisecond},
		"two take no connection":  {[]step{unreachable(), unreachable()}, 400 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, test.first...)
			_, _, err := b.post(t, "/never/x", "body")
			qt.Assert(t, err, qt.IsNil)
			gone := map[carawayspread.EndpointID]bool{}
			for _, s := range b.transport.all()[:len(test.first)] {
				gone[s.to] = true
			}
			start := b.clock.Now()
			used := func() bool {
				before := len(b.transport.all())
				for i := range 12 {
					_, _, err := b.post(t, "/never/x", fmt.Sprint("body ", i))
					qt.Assert(t, err, qt.IsNil)
				}
				for _, s := range b.transport.all()[before:] {
					if gone[s.to] {
						return true
					}
				}
				return false
			}
			for b.clock.Now().Sub(start) < test.atLeast {
				qt.Assert(t, used(), qt.IsFalse)
				b.clock.Advance(100 * time.Millisecond)
			}
			b.clock.Advance(10 * time.Second)
			qt.Check(t, used(), qt.IsTrue)
		})
	}
}
