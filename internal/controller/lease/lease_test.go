package lease

import (
	"context"
	"errors"
	"flag"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/standin/table"
)

func TestMain(m *testing.M) {
	// The same schedules on every run, and no files left behind.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const term = 9 * time.Second

// store is the table with a hook that runs once, between the effect of a write
// and its answer.
type store struct {
	carawayspread.Table
	service *table.Table
	during  func()
	unread  error // what reads fail with
}

func (s *store) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	if s.unread != nil {
		return carawayspread.Item{}, s.unread
	}
	return s.Table.Get(ctx, key)
}

func (s *store) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	during := s.during
	s.during = func() {}
	err := s.Table.Apply(ctx, writes...)
	during()
	return err
}

func start(t testing.TB) (*store, *clockwork.FakeClock) {
	service := table.New(carawayspread.SystemClock())
	server := httptest.NewServer(service)
	client := dynamodb.New(server.URL)
	t.Cleanup(func() { client.Close(); server.Close() })
	return &store{Table: client, service: service, during: func() {}}, clockwork.NewFakeClock()
}

func newLease(s *store, clock carawayspread.Clock, partition string) *Lease {
	return New(s, clock, partition, WithTerm(term), WithJitter(func() float64 { return 0 }))
}

// A holder is paused for longer than its term, a second process takes over, and
// the first one wakes. The caller of the first must see at once, without the
// store, that it holds nothing; what it still writes under its old check must
// fail; and its next renewal tells it who lost.
func TestPausedHolderHasLost(t *testing.T) {
	s, clock := start(t)
	ctx := context.Background()
	paused, successor := newLease(s, clock, "p"), newLease(s, clock, "p")
	qt.Assert(t, paused.Try(ctx), qt.IsNil)
	oldCheck, _ := paused.Check()
	qt.Assert(t, successor.Try(ctx), qt.Equals, ErrHeld)
	clock.Advance(term)
	qt.Check(t, paused.Valid(0), qt.IsFalse)
	qt.Check(t, successor.Try(ctx), qt.Equals, ErrHeld, qt.Commentf("the drift is not waited for"))
	clock.Advance(term / driftPart)
	qt.Assert(t, successor.Try(ctx), qt.IsNil)

	qt.Check(t, successor.Epoch(), qt.Equals, uint64(2))
	qt.Check(t, s.Apply(ctx, oldCheck), qt.ErrorIs, carawayspread.ErrCondition)
	qt.Check(t, paused.Try(ctx), qt.Equals, ErrHeld)
	qt.Check(t, paused.Epoch(), qt.Equals, uint64(0))
}

// A renewal takes a whole term to be answered, as from a slow store. A
// successor may have counted from the moment of the write, so the holder must
// count from before it sent, and finds its lease ended when the answer comes.
func TestTermCountsFromBeforeTheRenewal(t *testing.T) {
	s, clock := start(t)
	ctx := context.Background()
	l := newLease(s, clock, "p")
	qt.Assert(t, l.Try(ctx), qt.IsNil)
	s.during = func() { clock.Advance(term) }
	qt.Assert(t, l.Try(ctx), qt.IsNil)
	qt.Check(t, l.Valid(0), qt.IsFalse)
}

// The write takes effect and its answer is lost. Without the read-back the
// record names a holder that believes it holds nothing, and nobody gives
// orders for a whole term.
func TestLostAnswerIsReadBack(t *testing.T) {
	tests := map[string]int{"acquisition": 0, "renewal": 1}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			s, clock := start(t)
			l := newLease(s, clock, "p")
			for range before {
				qt.Assert(t, l.Try(context.Background()), qt.IsNil)
				clock.Advance(term / 2)
			}
			s.service.LoseAnswers(1)
			qt.Assert(t, l.Try(context.Background()), qt.IsNil)
			clock.Advance(term - 1)
			qt.Check(t, l.Valid(0), qt.IsTrue)
		})
	}
}

// The answer to a renewal is lost and cannot be read back. The next renewal
// meets the first one's revision: the lease is still held, but a successor may
// have counted from the first write, so the term must not start again.
func TestLateReadBackDoesNotProlong(t *testing.T) {
	s, clock := start(t)
	ctx := context.Background()
	l := newLease(s, clock, "p")
	qt.Assert(t, l.Try(ctx), qt.IsNil)
	clock.Advance(term / 2)
	s.service.LoseAnswers(1)
	s.unread = errors.New("read failed")
	qt.Assert(t, l.Try(ctx), qt.IsNotNil)
	s.unread = nil
	clock.Advance(term / 4)
	qt.Check(t, l.Try(ctx), qt.ErrorIs, carawayspread.ErrCondition)
	qt.Check(t, l.Valid(0), qt.IsTrue)
	clock.Advance(term / 4)
	qt.Check(t, l.Valid(0), qt.IsFalse)
}

// Random schedules of three processes, each of which may be slow in a write,
// lose its answer or meet a store that is down. At no moment may two of them
// hold a valid lease, and no epoch may have two holders.
func TestNeverTwoValidHolders(t *testing.T) {
	s, clock := start(t)
	rapid.Check(t, func(rt *rapid.T) {
		s.service.Clear()
		partition := rapid.StringMatching("[a-z]{16}").Draw(rt, "partition")
		leases := []*Lease{newLease(s, clock, partition), newLease(s, clock, partition), newLease(s, clock, partition)}
		owner := map[uint64]int{}
		rt.Repeat(map[string]func(*rapid.T){
			"try": func(rt *rapid.T) {
				slow := rapid.SampledFrom([]time.Duration{0, term / 2, 2 * term}).Draw(rt, "slow")
				process := rapid.IntRange(0, 2).Draw(rt, "process")
				meanwhile := leases[(process+1)%3] // a Lease is tried by one goroutine
				s.during = func() {
					if meanwhile.held.Load() == nil {
						_ = meanwhile.acquire(context.Background())
					}
					clock.Advance(slow)
				}
				_ = leases[process].Try(context.Background())
			},
			"release": func(rt *rapid.T) {
				_ = leases[rapid.IntRange(0, 2).Draw(rt, "process")].Release(context.Background())
			},
			"wait": func(rt *rapid.T) {
				clock.Advance(rapid.SampledFrom([]time.Duration{term / 4, term, term + term/driftPart}).Draw(rt, "time"))
			},
			"lose": func(*rapid.T) { s.service.LoseAnswers(1) },
			"down": func(rt *rapid.T) { s.service.SetDown(rapid.Bool().Draw(rt, "down")) },
			"": func(rt *rapid.T) {
				valid := 0
				for i, l := range leases {
					if l.Valid(0) {
						valid++
					}
					if epoch := l.Epoch(); epoch > 0 {
						if first, known := owner[epoch]; known && first != i {
							rt.Fatalf("epoch %d has the holders %d and %d", epoch, first, i)
						}
						owner[epoch] = i
					}
				}
				if valid > 1 {
					rt.Fatalf("%d valid holders", valid)
				}
			},
		})
	})
}
