package zonereader

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

var bounds = Bounds{Drain: 4 * time.Second, ConfigApply: 4 * time.Second}

// The reader of a zone is the process with the largest capacity among those that are live and
// that the store answers; with equal capacities the one with the smaller identifier.
func TestReaderOfAZone(t *testing.T) {
	for name, c := range map[string]struct {
		peer  carawayspread.PeerStatus
		id    uint64
		after time.Duration // since the peer's heartbeat
		reads bool
	}{
		"alone":                   {reads: true, after: time.Hour},
		"smaller peer":            {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 4, CanReadStore: true}, reads: true},
		"larger peer":             {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 6, CanReadStore: true}},
		"larger, not answered":    {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 6}, reads: true},
		"larger, in another zone": {peer: carawayspread.PeerStatus{Zone: "y", Capacity: 6, CanReadStore: true}, reads: true},
		"larger, timed out":       {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 6, CanReadStore: true}, after: 2 * time.Second, reads: true},
		"equal, smaller id":       {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 5, CanReadStore: true}, id: 6},
		"equal, larger id":        {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 5, CanReadStore: true}, id: 8, reads: true},
		"own message, duplicated": {peer: carawayspread.PeerStatus{Zone: "z", Capacity: 9, CanReadStore: true}, id: 7, reads: true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			e := New(7, "z", 5, bounds, clock)
			e.ObservePeer(c.id, c.peer)
			clock.Advance(c.after)
			qt.Check(t, e.IsReader(), qt.Equals, c.reads)
		})
	}
}

// A reader calls the store when its list is a quarter of the guaranteed time old, another
// process before its list has gone unconfirmed for half of that time, and a process whose
// call was not answered after the retry interval.
func TestTimeOfTheNextCall(t *testing.T) {
	larger := carawayspread.PeerStatus{Zone: "z", Capacity: 6, CanReadStore: true}
	for name, c := range map[string]struct {
		otherReader bool
		err         error
		least, most time.Duration
	}{
		"reader":               {least: 900 * time.Millisecond, most: 1100 * time.Millisecond},
		"not the reader":       {otherReader: true, least: 1500 * time.Millisecond, most: 2 * time.Second},
		"reader, not answered": {err: errors.New("no answer"), least: 200 * time.Millisecond, most: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			e := New(7, "z", 5, bounds, clock)
			qt.Check(t, e.NextCallIn(carawayspread.ResourceEndpoints), qt.Equals, time.Duration(0))
			if c.otherReader {
				e.ObservePeer(1, larger)
			}
			e.RecordCall(carawayspread.ResourceEndpoints, clock.Now(), clock.Now(), c.err)
			due := e.NextCallIn(carawayspread.ResourceEndpoints)
			qt.Check(t, due >= c.least && due <= c.most, qt.IsTrue, qt.Commentf("%v", due))
			qt.Check(t, e.Stale(carawayspread.ResourceEndpoints), qt.Equals, c.err != nil)
		})
	}
}
