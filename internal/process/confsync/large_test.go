package confsync

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/soak/relay"
)

// Guards against a daemon that starts during an outage of the table and is never ready,
// since a large snapshot takes longer than a round over a narrow link.
func TestLargeSnapshotArrivesDuringOutage(t *testing.T) {
	const (
		workspaces = 120_000
		narrow     = 10e6 // bits a second
		within     = 10 * time.Second
	)
	ctx, clock := context.Background(), &shifted{}
	all := map[string]carawayspread.Workspace{}
	for n := range workspaces {
		name := fmt.Sprintf("workspace-%08d", n)
		all[name] = carawayspread.NewWorkspace(name)
	}
	veteran := newSyncer(newMemoryLog(0), clock)
	veteran.accept(carawayspread.NewConfig(300, nil, all, nil), nil, stamp{at: clock.Now()})
	link, err := relay.New(peer(t, veteran), carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(link.Close)
	link.Narrow(narrow)

	down := newMemoryLog(0)
	down.set(true)
	starter := newSyncer(down, clock, WithPeers(func() []string { return []string{link.Address()} }))
	for begun := time.Now(); !starter.Ready(); {
		starter.refresh(ctx)
		qt.Assert(t, time.Since(begun) < within, qt.IsTrue, qt.Commentf("not ready after %v, %d bytes", time.Since(begun), link.Answered()))
	}
	qt.Check(t, starter.Held().Version(), qt.Equals, carawayspread.Version(300))
}

// Guards against a round that asks a peer nothing, since the round before, which had its
// proof from it, has not taken note yet that it is done.
func TestNextRoundAsksThePeerAgain(t *testing.T) {
	ctx, clock := context.Background(), &shifted{}
	source, down := newMemoryLog(0), newMemoryLog(0)
	down.set(true)
	veteran := newSyncer(source, clock)
	address := peer(t, veteran)
	starter := newSyncer(down, clock, WithPeers(func() []string { return []string{address} }))
	for n := range 1000 {
		source.append()
		veteran.refresh(ctx)
		starter.refresh(ctx)
		qt.Assert(t, starter.Held().Version(), qt.Equals, carawayspread.Version(n+1))
	}
}
