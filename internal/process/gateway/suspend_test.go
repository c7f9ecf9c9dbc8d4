package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Guards against a listed endpoint that is gone: another instance has its address, or it accepts no
// connection. It must be suspended for a while and used again afterwards. Otherwise every request
// is placed there first, since it looks idle, until the retry budget is exhausted.
func TestUnreachableEndpointIsSuspended(t *testing.T) {
	tests := map[string]struct {
		first   []step
		atLeast time.Duration // time for which the endpoint must get nothing
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
