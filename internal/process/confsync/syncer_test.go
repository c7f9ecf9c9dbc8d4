package confsync

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/version/change"
	"carawayspread/internal/version/record"
	"carawayspread/internal/version/snapshot"
)

// shiftedClock is the system's clock plus the time for which the process was paused.
type shiftedClock struct {
	mu     sync.Mutex
	offset time.Duration
}

func (c *shiftedClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.offset)
}

func (c *shiftedClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

func (c *shiftedClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

var errDown = errors.New("table service down")

// memoryLog is a configuration log that can be down, or delay a response.
type memoryLog struct {
	mu       sync.Mutex
	versions []*carawayspread.Config
	records  []record.Record
	down     bool
	reads    int
	hold     chan struct{} // the next response waits until it is closed
	waiting  chan struct{} // closed once the response waits
}

func newMemoryLog(versions int) *memoryLog {
	l := &memoryLog{versions: []*carawayspread.Config{carawayspread.NewConfig(0, nil, nil, nil)}}
	for range versions {
		l.append()
	}
	return l
}

func (l *memoryLog) append() {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1]
	c := change.New(change.SetWorkspace(carawayspread.NewWorkspace(fmt.Sprintf("w%d", newest.Version()))))
	l.versions = append(l.versions, c.Replay(newest))
	l.records = append(l.records, record.Record{Version: newest.Version() + 1, Change: c})
}

func (l *memoryLog) set(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *memoryLog) CatchUp(_ context.Context, from *carawayspread.Config) (*carawayspread.Config, []record.Record, error) {
	l.mu.Lock()
	l.reads++
	newest, down := l.versions[len(l.versions)-1], l.down
	records := l.records[min(int(from.Version()), len(l.records)):]
	hold := l.hold
	l.hold = nil
	l.mu.Unlock()
	if hold != nil {
		close(l.waiting)
		<-hold
	}
	if down {
		return from, nil, errDown
	}
	return newest, records, nil
}

var quiet = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}

func newSyncer(source Source, clock carawayspread.Clock, opts ...Option) *Syncer {
	opts = append(opts, WithLogger(quiet), WithTimes(0, 0, time.Minute))
	return New(source, clock, opts...)
}

// servePeer serves a Syncer's changes over Twirp and returns the address.
func servePeer(t testing.TB, s *Syncer) string {
	server := httptest.NewServer(control.NewControlServer(peerServer{syncer: s}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

type peerServer struct {
	control.Control
	syncer *Syncer
}

func (p peerServer) Changes(ctx context.Context, r *control.ChangesRequest) (*control.ChangesResponse, error) {
	return p.syncer.Changes(ctx, r)
}

// Guards against a request that is served under an old version after the process was paused while a
// change was accepted and came into force. The first request after the pause must be served under
// the new version, since the confirmation of the held one became too old. In the second case a read
// of the log was answered before the pause and arrives after it; it confirms nothing about the time
// between.
func TestCurrentAfterPause(t *testing.T) {
	for name, inFlight := range map[string]bool{"idle": false, "read in flight": true} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			source, clock := newMemoryLog(1), &shiftedClock{}
			s := newSyncer(source, clock)
			s.hedge, s.roundTimeout = time.Minute, time.Minute
			qt.Assert(t, s.Current(ctx).Version(), qt.Equals, carawayspread.Version(1))
			if inFlight {
				source.hold, source.waiting = make(chan struct{}), make(chan struct{})
				release := source.hold
				go s.refresh(ctx)
				<-source.waiting
				defer time.AfterFunc(20*time.Millisecond, func() { close(release) }).Stop()
			}
			source.append()
			clock.advance(time.Minute)
			qt.Check(t, s.Current(ctx).Version(), qt.Equals, carawayspread.Version(2))
		})
	}
}

// Guards against an outage of the table that becomes an outage of the service, since each request
// waits for a confirmation that cannot be obtained. With the table down for hours, requests are
// served under the last accepted version, and only the first one after a pause waits.
func TestCurrentDuringOutage(t *testing.T) {
	ctx := context.Background()
	source, clock := newMemoryLog(3), &shiftedClock{}
	s := newSyncer(source, clock)
	s.refresh(ctx)
	source.set(true)
	clock.advance(time.Hour)
	for range 100 {
		qt.Assert(t, s.Current(ctx).Version(), qt.Equals, carawayspread.Version(3))
	}
	qt.Check(t, source.reads, qt.Equals, 2)
	age, ok := s.Staleness()
	qt.Check(t, ok && age >= time.Hour, qt.IsTrue)
}

// Guards against a daemon that cannot start while the table is down, or that treats what it gets as
// newer than it is. It gets the configuration from a peer, by snapshot, later by changes, and takes
// over the age of the peer's confirmation. A peer without a confirmed configuration does not make
// it ready.
func TestStartDuringOutage(t *testing.T) {
	ctx := context.Background()
	source, clock := newMemoryLog(300), &shiftedClock{}
	provider, empty := newSyncer(source, clock), newSyncer(source, clock)
	provider.refresh(ctx)
	clock.advance(5 * time.Second)

	down := newMemoryLog(0)
	down.set(true)
	peers := []string{servePeer(t, empty)}
	joiner := newSyncer(down, clock, WithPeers(func() []string { return peers }))
	joiner.refresh(ctx)
	qt.Assert(t, joiner.Ready(), qt.IsFalse)

	peers = append(peers, servePeer(t, provider))
	for range 10 { // more peers than are queried in one round
		peers = append([]string{peers[0]}, peers...)
	}
	for range 200 {
		joiner.refresh(ctx)
		if joiner.Ready() {
			break
		}
	}
	qt.Assert(t, joiner.Ready(), qt.IsTrue)
	qt.Check(t, joiner.Held().Version(), qt.Equals, carawayspread.Version(300))
	age, _ := joiner.Staleness()
	qt.Check(t, age >= 5*time.Second, qt.IsTrue)

	source.append()
	provider.refresh(ctx)
	peers = peers[len(peers)-1:]
	joiner.refresh(ctx)
	qt.Check(t, joiner.Held().Version(), qt.Equals, carawayspread.Version(301))
}

// interruptedLog is a log whose reads fail after version 3.
type interruptedLog struct{ *memoryLog }

func (l interruptedLog) CatchUp(context.Context, *carawayspread.Config) (*carawayspread.Config, []record.Record, error) {
	return l.versions[3], l.records[:3], errDown
}

// Guards against progress that is lost when a read of the log fails midway, and against a daemon
// that takes it for a confirmation: the records read are kept, but the daemon is not ready.
func TestRefreshKeepsProgress(t *testing.T) {
	s := newSyncer(interruptedLog{newMemoryLog(5)}, &shiftedClock{})
	s.refresh(context.Background())
	qt.Check(t, s.Held().Version(), qt.Equals, carawayspread.Version(3))
	qt.Check(t, s.Ready(), qt.IsFalse)
}

// Guards against a held version that decreases or was never accepted, and against a confirmation
// that claims more than was true, when responses of the log and of peers arrive late, reordered,
// duplicated, truncated and with gaps.
func TestNeverReverts(t *testing.T) {
	const versions = 12
	source := newMemoryLog(versions)
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		// Version v was the newest from start+v to start+v+1 minutes.
		newestAt := func(at time.Time) carawayspread.Version {
			return carawayspread.Version(at.Sub(start) / time.Minute)
		}
		s := newSyncer(source, &shiftedClock{})
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			before := s.Held().Version()
			from := rapid.IntRange(0, versions).Draw(t, "from")
			to := rapid.IntRange(from, versions).Draw(t, "to")
			confirmed := stamp{at: start.Add(time.Duration(to)*time.Minute + time.Second)}
			if rapid.Bool().Draw(t, "log") {
				s.accept(source.versions[to], source.records[from:to], confirmed)
			} else {
				_ = s.applyResponse(s.Held(), lossyResponse(t, source, from, to), confirmed)
			}
			held := s.state.Load()
			must(t, held.cfg.Version() >= before, "the version decreased")
			got, _ := snapshot.Encode(held.cfg)
			want, _ := snapshot.Encode(source.versions[held.cfg.Version()])
			must(t, string(got) == string(want), "the configuration was never accepted")
			if !held.confirmed.zero() {
				must(t, held.cfg.Version() >= newestAt(held.confirmed.at), "the confirmation claims too much")
			}
		}
	})
}

func must(t *rapid.T, ok bool, fault string) {
	if !ok {
		t.Fatal(fault)
	}
}

// lossyResponse returns a peer's response with changes left out at random.
func lossyResponse(t *rapid.T, source *memoryLog, from, to int) *control.ChangesResponse {
	response := &control.ChangesResponse{Version: uint64(to)}
	for _, r := range source.records[from:to] {
		if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
			continue
		}
		body, err := r.Encode()
		must(t, err == nil, "a record cannot be encoded")
		response.Changes = append(response.Changes, &control.Change{Version: uint64(r.Version), Body: body})
	}
	return response
}

// Guards against a newer version that is fetched only with the next poll: a daemon that polls
// rarely learns of it from a load report and reads the log at once.
func TestObservedVersionWakesRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := newMemoryLog(1)
	adopted := make(chan carawayspread.Version, 2)
	s := newSyncer(source, &shiftedClock{}, WithAdopted(func(cfg *carawayspread.Config) { adopted <- cfg.Version() }))
	s.poll, s.readJitter = time.Hour, 0
	ended := make(chan error)
	go func() { ended <- s.Run(ctx) }()
	qt.Check(t, <-adopted, qt.Equals, carawayspread.Version(1))
	source.append()
	s.ObserveVersion(2)
	qt.Check(t, <-adopted, qt.Equals, carawayspread.Version(2))
	cancel()
	qt.Check(t, <-ended, qt.Equals, context.Canceled)
}

func BenchmarkCurrent(b *testing.B) {
	ctx := context.Background()
	s := newSyncer(newMemoryLog(1), carawayspread.SystemClock())
	s.refresh(ctx)
	b.ReportAllocs()
	for b.Loop() {
		s.Current(ctx)
	}
}
