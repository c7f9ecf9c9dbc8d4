package follower

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Guards against requests to a departed endpoint from processes that run as they should: a process that
// is behind with its messages takes confirmations of the old list for new ones and passes them on.
func TestLateMessagesConfirmNothing(t *testing.T) {
	for name, c := range map[string]struct {
		zones, each int
		late        []int // indices of the processes that receive messages late
		by          time.Duration
	}{
		"the reader of two, by one second":     {3, 2, []int{0}, time.Second},
		"the reader of two, by two seconds":    {3, 2, []int{0}, 2 * time.Second},
		"another of two, by two seconds":       {3, 2, []int{1}, 2 * time.Second},
		"the reader of six, by two seconds":    {2, 6, []int{0}, 2 * time.Second},
		"another of six, by three seconds":     {2, 6, []int{3}, 3 * time.Second},
		"two of six, by two seconds":           {2, 6, []int{0, 3}, 2 * time.Second},
		"the readers of three, by two seconds": {3, 3, []int{0, 3, 6}, 2 * time.Second},
		"one of one, by three seconds":         {4, 1, []int{0}, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runClusterWithStoreClock(t, c.zones, c.each, func(cl *cluster) {
				isLate := map[string]bool{}
				for _, i := range c.late {
					cl.nodes[i].set(func() { cl.nodes[i].inboundDelay = c.by })
					isLate[cl.nodes[i].name()] = true
				}
				time.Sleep(settle)
				for range 5 {
					cl.store.change(carawayspread.ResourceEndpoints)
					cl.store.change(carawayspread.ResourceRoutes)
					time.Sleep(drainBound)
					for resource := range carawayspread.ResourceCount {
						for _, name := range cl.outdated(resource) {
							qt.Check(t, isLate[name], qt.IsTrue, qt.Commentf("process %s holds old %v", name, resource))
						}
					}
				}
			})
		})
	}
}

// Guards against a forged reading of the store's clock that confirms old contents for ever.
func TestForgedStoreTimeConfirmsNothing(t *testing.T) {
	runClusterWithStoreClock(t, 2, 4, func(cl *cluster) {
		for range 2 {
			for _, n := range cl.nodes {
				forged := carawayspread.PeerStatus{Zone: n.zone}
				for resource := range carawayspread.ResourceCount {
					forged.Resources[resource] = carawayspread.ResourceStatus{Version: 1, Digest: n.Status(resource).Digest, StoreTime: 1 << 50}
				}
				n.follower.ObservePeer(77, cl.nodes[1].name(), forged)
			}
			cl.store.change(carawayspread.ResourceEndpoints)
			cl.store.change(carawayspread.ResourceRoutes)
			time.Sleep(drainBound)
			for resource := range carawayspread.ResourceCount {
				qt.Check(t, cl.outdated(resource), qt.HasLen, 0)
			}
		}
	})
}
