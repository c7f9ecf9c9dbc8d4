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

// shifted is the system's clock plus the time that the process slept.
type shifted struct {
	mu    sync.Mutex
	slept time.Duration
}

func (c *shifted) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.slept)
}

func (c *shifted) After(d time.Duration) <-chan time.Time { return time.After(d) }

func (c *shifted) sleep(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slept += d
}

var errDown = errors.New("table service down")

// memoryLog is a configuration log that can be down, or hold an answer back.
type memoryLog struct {
	mu       sync.Mutex
	versions []*carawayspread.Config
	records  []record.Record
	down     bool
	reads    int
	holding  chan struct{} // an answer waits until it is closed
	held     chan struct{} // closed once an answer waits
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
	holding := l.holding
	l.holding = nil
	l.mu.Unlock()
	if holding != nil {
		close(l.held)
		<-holding
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

// peer serves a Syncer's changes over Twirp and returns its address.
func peer(t testing.TB, s *Syncer) string {
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

// The process is paused while a change is accepted and comes into force. The
// first request after it wakes must be served under the new version: the held
// one passed its evidence's age during the pause. In the second case a read of
// the log was answered before the pause and arrives after it; it proves nothing
// about the time between.
func TestCurrentAfterPause(t *testing.T) {
	for name, inFlight := range map[string]bool{"idle": false, "read in flight": true} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			source, clock := newMemoryLog(1), &shifted{}
			s := newSyncer(source, clock)
			s.hedge, s.roundTimeout = time.Minute, time.Minute
			qt.Assert(t, s.Current(ctx).Version(), qt.Equals, carawayspread.Version(1))
			if inFlight {
				source.holding, source.held = make(chan struct{}), make(chan struct{})
				release := source.holding
				go s.refresh(ctx)
				<-source.held
				defer time.AfterFunc(20*time.Millisecond, func() { close(release) }).Stop()
			}
			source.append()
			clock.sleep(time.Minute)
			qt.Check(t, s.Current(ctx).Version(), qt.Equals, carawayspread.Version(2))
		})
	}
}

// The table is down for hours. Requests go on under the last accepted version,
// and only the first one after a pause waits for a proof that cannot be had;
// were each to wait, the outage of the table would become one of the service.
func TestCurrentDuringOutage(t *testing.T) {
	ctx := context.Background()
	source, clock := newMemoryLog(3), &shifted{}
	s := newSyncer(source, clock)
	s.refresh(ctx)
	source.set(true)
	clock.sleep(time.Hour)
	for range 100 {
		qt.Assert(t, s.Current(ctx).Version(), qt.Equals, carawayspread.Version(3))
	}
	qt.Check(t, source.reads, qt.Equals, 2)
	age, ok := s.Staleness()
	qt.Check(t, ok && age >= time.Hour, qt.IsTrue)
}

// A daemon starts while the table is down. It gets the configuration from a
// peer, by snapshot, later by changes, and inherits the age of the peer's
// evidence; a peer that knows nothing itself makes it ready for nothing.
func TestStartDuringOutage(t *testing.T) {
	ctx := context.Background()
	source, clock := newMemoryLog(300), &shifted{}
	veteran, blank := newSyncer(source, clock), newSyncer(source, clock)
	veteran.refresh(ctx)
	clock.sleep(5 * time.Second)

	down := newMemoryLog(0)
	down.set(true)
	peers := []string{peer(t, blank)}
	starter := newSyncer(down, clock, WithPeers(func() []string { return peers }))
	starter.refresh(ctx)
	qt.Assert(t, starter.Ready(), qt.IsFalse)

	peers = append(peers, peer(t, veteran))
	for range 10 { // more peers than are asked in one round
		peers = append([]string{peers[0]}, peers...)
	}
	for range 200 {
		starter.refresh(ctx)
		if starter.Ready() {
			break
		}
	}
	qt.Assert(t, starter.Ready(), qt.IsTrue)
	qt.Check(t, starter.Held().Version(), qt.Equals, carawayspread.Version(300))
	age, _ := starter.Staleness()
	qt.Check(t, age >= 5*time.Second, qt.IsTrue)

	source.append()
	veteran.refresh(ctx)
	peers = peers[len(peers)-1:]
	starter.refresh(ctx)
	qt.Check(t, starter.Held().Version(), qt.Equals, carawayspread.Version(301))
}

// interrupted is a log whose reads break off at version 3.
type interrupted struct{ *memoryLog }

func (l interrupted) CatchUp(context.Context, *carawayspread.Config) (*carawayspread.Config, []record.Record, error) {
	return l.versions[3], l.records[:3], errDown
}

// Reads of the log break off on the way. What they brought is kept, and proves
// nothing: the daemon does not yet serve.
func TestRefreshKeepsProgress(t *testing.T) {
	s := newSyncer(interrupted{newMemoryLog(5)}, &shifted{})
	s.refresh(context.Background())
	qt.Check(t, s.Held().Version(), qt.Equals, carawayspread.Version(3))
	qt.Check(t, s.Ready(), qt.IsFalse)
}

// Answers of the log and of peers arrive late, crossed, twice, cut short and
// with gaps. The held version never falls, is always one that was accepted, and
// the evidence never claims more than was true.
func TestNeverReverts(t *testing.T) {
	const versions = 12
	source := newMemoryLog(versions)
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		// Version v was the newest from start+v to start+v+1 minutes.
		newestAt := func(at time.Time) carawayspread.Version {
			return carawayspread.Version(at.Sub(start) / time.Minute)
		}
		s := newSyncer(source, &shifted{})
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			before := s.Held().Version()
			from := rapid.IntRange(0, versions).Draw(t, "from")
			to := rapid.IntRange(from, versions).Draw(t, "to")
			proved := stamp{at: start.Add(time.Duration(to)*time.Minute + time.Second)}
			if rapid.Bool().Draw(t, "log") {
				s.accept(source.versions[to], source.records[from:to], proved)
			} else {
				_ = s.take(s.Held(), mutilated(t, source, from, to), proved)
			}
			held := s.state.Load()
			must(t, held.cfg.Version() >= before, "the version fell")
			got, _ := snapshot.Encode(held.cfg)
			want, _ := snapshot.Encode(source.versions[held.cfg.Version()])
			must(t, string(got) == string(want), "the configuration was never accepted")
			if !held.proved.zero() {
				must(t, held.cfg.Version() >= newestAt(held.proved.at), "the evidence claims too much")
			}
		}
	})
}

func must(t *rapid.T, ok bool, fault string) {
	if !ok {
		t.Fatal(fault)
	}
}

// mutilated is a peer's answer with changes left out at random.
func mutilated(t *rapid.T, source *memoryLog, from, to int) *control.ChangesResponse {
	answer := &control.ChangesResponse{Version: uint64(to)}
	for _, r := range source.records[from:to] {
		if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
			continue
		}
		body, err := r.Encode()
		must(t, err == nil, "a record cannot be encoded")
		answer.Changes = append(answer.Changes, &control.Change{Version: uint64(r.Version), Body: body})
	}
	return answer
}

// A daemon that polls seldom hears of a newer version in a load report and has
// it without waiting for the next poll.
func TestHeardWakesRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := newMemoryLog(1)
	adopted := make(chan carawayspread.Version, 2)
	s := newSyncer(source, &shifted{}, WithAdopted(func(cfg *carawayspread.Config) { adopted <- cfg.Version() }))
	s.poll, s.spread = time.Hour, 0
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
