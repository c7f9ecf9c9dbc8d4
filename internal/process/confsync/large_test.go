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

// Guards against a daemon that starts during an outage of the table and never becomes ready, since
// a large snapshot takes longer than a round over a link of low bandwidth.
func TestLargeSnapshotArrivesDuringOutage(t *testing.T) {
	const (
		workspaces = 120_000
		linkRate   = 10e6 // bits a second
		limit      = 10 * time.Second
	)
	ctx, clock := context.Background(), &shiftedClock{}
	all := map[string]carawayspread.Workspace{}
	for n := range workspaces {
		name := fmt.Sprintf("workspace-%08d", n)
		all[name] = carawayspread.NewWorkspace(name)
	}
	provider := newSyncer(newMemoryLog(0), clock)
	provider.accept(carawayspread.NewConfig(300, nil, all, nil), nil, stamp{at: clock.Now()})
	link, err := relay.New(servePeer(t, provider), carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(link.Close)
	link.LimitBandwidth(linkRate)

	down := newMemoryLog(0)
	down.set(true)
	joiner := newSyncer(down, clock, WithPeers(func() []string { return []string{link.Address()} }))
	for start := time.Now(); !joiner.Ready(); {
		joiner.refresh(ctx)
		qt.Assert(t, time.Since(start) < limit, qt.IsTrue, qt.Commentf("not ready after %v, %d bytes", time.Since(start), link.ResponseBytes()))
	}
	qt.Check(t, joiner.Held().Version(), qt.Equals, carawayspread.Version(300))
}

// Guards against a round that skips a peer, since the round before, which got its confirmation from
// that peer, has not yet removed it from the pending queries.
func TestNextRoundQueriesThePeerAgain(t *testing.T) {
	ctx, clock := context.Background(), &shiftedClock{}
	source, down := newMemoryLog(0), newMemoryLog(0)
	down.set(true)
	provider := newSyncer(source, clock)
	address := servePeer(t, provider)
	joiner := newSyncer(down, clock, WithPeers(func() []string { return []string{address} }))
	for n := range 1000 {
		source.append()
		provider.refresh(ctx)
		joiner.refresh(ctx)
		qt.Assert(t, joiner.Held().Version(), qt.Equals, carawayspread.Version(n+1))
	}
}
