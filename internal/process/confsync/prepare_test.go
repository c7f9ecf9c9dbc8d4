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

// impatient is a clock on which every wait is over at once.
type impatient struct{ shifted }

func (c *impatient) After(time.Duration) <-chan time.Time {
	over := make(chan time.Time, 1)
	over <- c.Now()
	return over
}

func holding(clock carawayspread.Clock, version carawayspread.Version) *Syncer {
	s := newSyncer(newMemoryLog(0), clock)
	s.accept(carawayspread.NewConfig(version, nil, map[string]carawayspread.Workspace{"demo": carawayspread.NewWorkspace("demo")}, nil), nil,
		stamp{at: clock.Now()})
	return s
}

// Guards against each peer's question having the same snapshot made anew, and against a
// peer that is told nothing while it is made.
func TestSnapshotIsPreparedOnce(t *testing.T) {
	ctx, ask := context.Background(), &control.ChangesRequest{Packs: true}
	s := holding(&impatient{}, 300)
	ready := func() *control.ChangesResponse {
		for {
			answer, err := s.Changes(ctx, ask)
			qt.Assert(t, err, qt.IsNil)
			if !answer.GetPreparing() {
				return answer
			}
			qt.Check(t, answer.GetVersion(), qt.Equals, uint64(0))
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
	starter := newSyncer(newMemoryLog(0), &shifted{})
	qt.Assert(t, starter.take(starter.Held(), second, stamp{at: time.Now()}), qt.IsNil)
	qt.Check(t, starter.Held().Version(), qt.Equals, carawayspread.Version(301))
	qt.Check(t, starter.Held().Workspaces(), qt.HasLen, 2)
}

// Guards against a daemon that begins a snapshot anew in each round, over a link on which
// the packed one takes longer than a round.
func TestSnapshotOutlastsTheRound(t *testing.T) {
	const (
		workspaces = 20_000
		narrow     = 2e5 // bits a second
		within     = 10 * time.Second
	)
	clock, all := &shifted{}, map[string]carawayspread.Workspace{}
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
	begun := time.Now()
	for rounds := 0; !starter.Ready(); rounds++ {
		starter.refresh(context.Background())
		qt.Assert(t, time.Since(begun) < within, qt.IsTrue, qt.Commentf("%d rounds, %d bytes", rounds, link.Answered()))
	}
	qt.Check(t, time.Since(begun) > defaultRoundTimeout, qt.IsTrue)
}

// Guards against a whole configuration that a peer has otherwise than its giver.
func TestWholeIsTheSameAtAPeer(t *testing.T) {
	target := carawayspread.NewTarget(300*time.Millisecond, 0, 0, 0.95)
	cfg := carawayspread.NewConfig(7,
		map[string]carawayspread.Class{"rulings": carawayspread.NewClass("rulings", target, true)},
		map[string]carawayspread.Workspace{"a": carawayspread.NewWorkspace("a"), "b": carawayspread.NewWorkspace("b")},
		map[string]carawayspread.Service{"llm": carawayspread.NewService("llm", carawayspread.KindModel, []string{"m"}, true)})
	packed, err := packWhole(cfg)
	qt.Assert(t, err, qt.IsNil)
	got, err := unpackWhole(packed)
	qt.Assert(t, err, qt.IsNil)
	want, err := snapshot.Encode(cfg)
	qt.Assert(t, err, qt.IsNil)
	same, err := snapshot.Encode(got)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(same), qt.Equals, string(want))
}

// Guards against an older daemon that is answered in a form which it does not know.
func TestOlderPeerGetsTheSnapshotItKnows(t *testing.T) {
	s := holding(&shifted{}, 300)
	answer, err := s.Changes(context.Background(), &control.ChangesRequest{})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(answer.GetSnapshot()) > 0, qt.IsTrue)
	qt.Check(t, answer.GetPackedSnapshot(), qt.HasLen, 0)
}

// Guards against a forged or endless snapshot that is taken, or fills the memory.
func TestSnapshotThatCannotBeReadIsDropped(t *testing.T) {
	endless, err := transfer.Pack(make([]byte, answerLimit+1))
	qt.Assert(t, err, qt.IsNil)
	torn, err := packWhole(holding(&shifted{}, 7).Held())
	qt.Assert(t, err, qt.IsNil)
	other, err := transfer.Pack([]byte(`{"version":7}`))
	qt.Assert(t, err, qt.IsNil)
	none, err := transfer.Pack(nil)
	qt.Assert(t, err, qt.IsNil)
	for name, c := range map[string]struct {
		packed []byte
		want   string
	}{
		"endless":    {endless, "larger than the limit"},
		"torn":       {torn[:len(torn)/2], "unexpected EOF"},
		"not packed": {[]byte(`{"version":7}`), "gzip"},
		"not of us":  {other, "proto.*"},
		"empty":      {none, "lacks its version"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSyncer(newMemoryLog(0), &shifted{})
			err := s.take(s.Held(), &control.ChangesResponse{Version: 7, PackedSnapshot: c.packed}, stamp{at: time.Now()})
			qt.Check(t, err, qt.ErrorMatches, ".*"+c.want+".*")
			qt.Check(t, s.Held().Version(), qt.Equals, carawayspread.Version(0))
			qt.Check(t, s.Ready(), qt.IsFalse)
		})
	}
}
