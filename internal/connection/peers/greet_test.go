package peers

import (
	"context"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/decision/joining"
)

// Processes that start at once place the requests of a second as if each were alone, since nobody has heard of the
// others until the next heartbeats. Here no clock moves, so that each process sends one heartbeat, to one seed.
func TestStartedProcessesFindOneAnother(t *testing.T) {
	const processes = 6
	var sockets []*Socket
	var receivers []*receiver
	var seeds []string
	for range processes {
		clock := clockwork.NewFakeClock()
		s, err := Listen("127.0.0.1:0", seeds, clock)
		qt.Assert(t, err, qt.IsNil)
		s.SetJoining(joining.New(clock))
		r, running := &receiver{}, sync.WaitGroup{}
		ctx, cancel := context.WithCancel(t.Context())
		running.Go(func() { _ = s.Run(ctx) })
		running.Go(func() { _ = s.Receive(r) })
		t.Cleanup(func() {
			cancel()
			s.Close()
			running.Wait()
		})
		sockets, receivers = append(sockets, s), append(receivers, r)
		seeds = []string{sockets[0].Address()}
	}
	for _, s := range sockets {
		until(t, func() bool { return s.FleetSize() == processes })
	}
	sockets[1].Broadcast(carawayspread.LoadUpdate{EndpointHash: 5, Running: 3})
	for n, r := range receivers {
		if n != 1 {
			until(t, func() bool { return r.hasUpdate(5, 3) })
		}
	}
}
