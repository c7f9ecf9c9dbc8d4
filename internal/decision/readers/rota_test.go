package readers

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

var terms = Terms{Leaving: 4 * time.Second, InForce: 4 * time.Second}

// One process of a zone reads: the largest of those that are heard and that the store
// answers; of two alike the one that drew the smaller number.
func TestWhoReads(t *testing.T) {
	for name, c := range map[string]struct {
		peer  carawayspread.PeerStatus
		id    uint64
		after time.Duration // since the peer was heard
		reads bool
	}{
		"alone":                    {reads: true, after: time.Hour},
		"smaller beside it":        {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 4, CanReadStore: true}, reads: true},
		"larger beside it":         {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 6, CanReadStore: true}},
		"larger, not answered":     {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 6}, reads: true},
		"larger, in another zone":  {peer: carawayspread.PeerStatus{Zone: "y", Capacity: 6, CanReadStore: true}, reads: true},
		"larger, silent":           {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 6, CanReadStore: true}, after: 2 * time.Second, reads: true},
		"alike, drew less":         {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 5, CanReadStore: true}, id: 6},
		"alike, drew more":         {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 5, CanReadStore: true}, id: 8, reads: true},
		"its own message, doubled": {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 9, CanReadStore: true}, id: 7, reads: true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r := New(7, "z", 5, terms, clock)
			r.Heard(c.id, c.peer)
			clock.Advance(c.after)
			qt.Check(t, r.Reads(), qt.Equals, c.reads)
		})
	}
}

// When a process calls the store by itself: a reader before the list is a quarter of
// the promised time old, another when nothing has confirmed it for half of it, and
// one that was not answered after a pause.
func TestWhenToCall(t *testing.T) {
	larger := carawayspread.PeerStatus{Zone: "z", Capacity: 6, CanReadStore: true}
	for name, c := range map[string]struct {
		beside      bool
		err         error
		least, most time.Duration
	}{
		"reader":               {least: 900 * time.Millisecond, most: 1100 * time.Millisecond},
		"not the reader":       {beside: true, least: 1500 * time.Millisecond, most: 2 * time.Second},
		"reader, not answered": {err: errors.New("no answer"), least: 200 * time.Millisecond, most: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r := New(7, "z", 5, terms, clock)
			qt.Check(t, r.Due(carawayspread.ResourceEndpoints), qt.Equals, time.Duration(0))
			if c.beside {
				r.Heard(1, larger)
			}
			r.Called(carawayspread.ResourceEndpoints, clock.Now(), clock.Now(), c.err)
			due := r.Due(carawayspread.ResourceEndpoints)
			qt.Check(t, due >= c.least && due <= c.most, qt.IsTrue, qt.Commentf("%v", due))
			qt.Check(t, r.Stale(carawayspread.ResourceEndpoints), qt.Equals, c.err != nil)
		})
	}
}
