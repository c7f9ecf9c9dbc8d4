package confsync

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/transfer"
	"carawayspread/internal/soak/relay"
	"carawayspread/internal/version/change"
	"carawayspread/internal/version/record"
	"carawayspread/internal/version/snapshot"
)

// instantClock is a clock on which every wait ends at once.
type instantClock struct{ shiftedClock }

func (c *instantClock) After(time.Duration) <-chan time.Time {
	over := make(chan time.Time, 1)
	over <- c.Now()
	return over
}

func syncerAt(clock carawayspread.Clock, version carawayspread.Version) *Syncer {
	s := newSyncer(newMemoryLog(0), clock)
	s.accept(carawayspread.NewConfig(version, nil, map[string]carawayspread.Workspace{"demo": carawayspread.NewWorkspace("demo")}, nil), nil,
		stamp{at: clock.Now()})
	return s
}

// Guards against a snapshot that is prepared again for each peer's query, and against a peer that
// gets no response while it is prepared.
func TestSnapshotIsPreparedOnce(t *testing.T) {
	ctx, request := context.Background(), &control.ChangesRequest{Packs: true}
	s := syncerAt(&instantClock{}, 300)
	ready := func() *control.ChangesResponse {
		for {
			response, err := s.Changes(ctx, request)
			qt.Assert(t, err, qt.IsNil)
			if !response.GetPreparing() {
				return response
			}
			qt.Check(t, response.GetVersion(), qt.Equals, uint64(0))
			time.Sleep(time.Millisecond)
		}
	}
	first := ready()
	next := record.Record{Version: 301, Change: change.New(change.SetWorkspace(carawayspread.NewWorkspace("later")))}
	cfg, err := next.Apply(s.Held())
	qt.Assert(t, err, qt.IsNil)
	s.accept(cfg, []record.Record{next}, stamp{})
	second := ready()
	qt.Check(t, &second.GetPackedSnapshot()[0] == &first.GetPackedSnapshot()[0], qt.IsTrue)
	qt.Check(t, second.GetVersion(), qt.Equals, uint64(301))
	joiner := newSyncer(newMemoryLog(0), &shiftedClock{})
	qt.Assert(t, joiner.applyResponse(joiner.Held(), second, stamp{at: time.Now()}), qt.IsNil)
	qt.Check(t, joiner.Held().Version(), qt.Equals, carawayspread.Version(301))
	qt.Check(t, joiner.Held().Workspaces(), qt.HasLen, 2)
}

// Guards against a daemon that restarts the transfer of a snapshot in each round, over a link on
// which the packed snapshot takes longer than a round.
func TestSnapshotOutlastsTheRound(t *testing.T) {
	const (
		workspaces = 20_000
		linkRate   = 2e5 // bits a second
		limit      = 10 * time.Second
	)
	clock, all := &shiftedClock{}, map[string]carawayspread.Workspace{}
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
	start := time.Now()
	for rounds := 0; !joiner.Ready(); rounds++ {
		joiner.refresh(context.Background())
		qt.Assert(t, time.Since(start) < limit, qt.IsTrue, qt.Commentf("%d rounds, %d bytes", rounds, link.ResponseBytes()))
	}
	qt.Check(t, time.Since(start) > defaultRoundTimeout, qt.IsTrue)
}

// Guards against a snapshot that decodes to another configuration than the one that was packed.
func TestSnapshotRoundTrip(t *testing.T) {
	target := carawayspread.NewTarget(300*time.Millisecond, 0, 0, 0.95)
	cfg := carawayspread.NewConfig(7,
		map[string]carawayspread.Class{"rulings": carawayspread.NewClass("rulings", target, true)},
		map[string]carawayspread.Workspace{"a": carawayspread.NewWorkspace("a"), "b": carawayspread.NewWorkspace("b")},
		map[string]carawayspread.Service{"llm": carawayspread.NewService("llm", carawayspread.KindModel, []string{"m"}, true)})
	packed, err := packSnapshot(cfg)
	qt.Assert(t, err, qt.IsNil)
	got, err := unpackSnapshot(packed)
	qt.Assert(t, err, qt.IsNil)
	want, err := snapshot.Encode(cfg)
	qt.Assert(t, err, qt.IsNil)
	same, err := snapshot.Encode(got)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(same), qt.Equals, string(want))
}

// Guards against a response in a format that the older daemon which requests it does not know.
func TestOlderPeerGetsUnpackedSnapshot(t *testing.T) {
	s := syncerAt(&shiftedClock{}, 300)
	response, err := s.Changes(context.Background(), &control.ChangesRequest{})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(response.GetSnapshot()) > 0, qt.IsTrue)
	qt.Check(t, response.GetPackedSnapshot(), qt.HasLen, 0)
}

// Guards against a forged or oversized snapshot that is accepted or exhausts the memory.
func TestUnreadableSnapshotIsRejected(t *testing.T) {
	oversized, err := transfer.Pack(make([]byte, responseLimit+1))
	qt.Assert(t, err, qt.IsNil)
	truncated, err := packSnapshot(syncerAt(&shiftedClock{}, 7).Held())
	qt.Assert(t, err, qt.IsNil)
	other, err := transfer.Pack([]byte(`{"version":7}`))
	qt.Assert(t, err, qt.IsNil)
	empty, err := transfer.Pack(nil)
	qt.Assert(t, err, qt.IsNil)
	for name, c := range map[string]struct {
		packed []byte
		want   string
	}{
		"endless":      {oversized, "larger than the limit"},
		"torn":         {truncated[:len(truncated)/2], "unexpected EOF"},
		"not packed":   {[]byte(`{"version":7}`), "gzip"},
		"other format": {other, "proto.*"},
		"empty":        {empty, "lacks its version"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSyncer(newMemoryLog(0), &shiftedClock{})
			err := s.applyResponse(s.Held(), &control.ChangesResponse{Version: 7, PackedSnapshot: c.packed}, stamp{at: time.Now()})
			qt.Check(t, err, qt.ErrorMatches, ".*"+c.want+".*")
			qt.Check(t, s.Held().Version(), qt.Equals, carawayspread.Version(0))
			qt.Check(t, s.Ready(), qt.IsFalse)
		})
	}
}
