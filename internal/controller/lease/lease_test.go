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
	// Runs the same schedules every time and writes no failure files.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const term = 9 * time.Second

// store wraps the table with a hook that runs once, after a write took effect and before it
// returns.
type store struct {
	carawayspread.Table
	service     *table.Table
	beforeReply func()
	readErr     error // error of all reads
}

func (s *store) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	if s.readErr != nil {
		return carawayspread.Item{}, s.readErr
	}
	return s.Table.Get(ctx, key)
}

func (s *store) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	beforeReply := s.beforeReply
	s.beforeReply = func() {}
	err := s.Table.Apply(ctx, writes...)
	beforeReply()
	return err
}

func newStore(t testing.TB) (*store, *clockwork.FakeClock) {
	service := table.New(carawayspread.SystemClock())
	server := httptest.NewServer(service)
	client := dynamodb.New(server.URL)
	t.Cleanup(func() { client.Close(); server.Close() })
	return &store{Table: client, service: service, beforeReply: func() {}}, clockwork.NewFakeClock()
}

func newLease(s *store, clock carawayspread.Clock, partition string) *Lease {
	return New(s, clock, partition, WithTerm(term), WithJitter(func() float64 { return 0 }))
}

// A holder is paused for longer than its term, a second process acquires the lease, and the first
// one resumes. Valid must report false at once without a call to the table, a transaction with the
// old check must fail, and the next renewal must return ErrHeld.
func TestPausedHolderHasLost(t *testing.T) {
	s, clock := newStore(t)
	ctx := context.Background()
	paused, successor := newLease(s, clock, "p"), newLease(s, clock, "p")
	qt.Assert(t, paused.Try(ctx), qt.IsNil)
	oldCheck, _ := paused.Check()
	qt.Assert(t, successor.Try(ctx), qt.Equals, ErrHeld)
	clock.Advance(term)
	qt.Check(t, paused.Valid(0), qt.IsFalse)
	qt.Check(t, successor.Try(ctx), qt.Equals, ErrHeld, qt.Commentf("acquired without waiting for the clock drift"))
	clock.Advance(term / driftDivisor)
	qt.Assert(t, successor.Try(ctx), qt.IsNil)

	qt.Check(t, successor.Epoch(), qt.Equals, uint64(2))
	qt.Check(t, s.Apply(ctx, oldCheck), qt.ErrorIs, carawayspread.ErrCondition)
	qt.Check(t, paused.Try(ctx), qt.Equals, ErrHeld)
	qt.Check(t, paused.Epoch(), qt.Equals, uint64(0))
}

// The response to a renewal takes a whole term, as from a slow table. A successor may have measured
// the term from the time of the write, so the holder must measure it from before it sent the
// renewal, and the lease has expired when the response arrives.
func TestTermCountsFromBeforeTheRenewal(t *testing.T) {
	s, clock := newStore(t)
	ctx := context.Background()
	l := newLease(s, clock, "p")
	qt.Assert(t, l.Try(ctx), qt.IsNil)
	s.beforeReply = func() { clock.Advance(term) }
	qt.Assert(t, l.Try(ctx), qt.IsNil)
	qt.Check(t, l.Valid(0), qt.IsFalse)
}

// A write takes effect and its response is lost. Without the read-back the record names a holder
// that does not consider itself one, and nobody can act for a whole term.
func TestLostAnswerIsReadBack(t *testing.T) {
	tests := map[string]int{"acquisition": 0, "renewal": 1}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			s, clock := newStore(t)
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

// The response to a renewal is lost and the read-back fails. The next renewal finds the revision of
// the first one: the lease is still held, but a successor may have measured the term from the first
// write, so the term must not be extended.
func TestLateReadBackDoesNotExtendTerm(t *testing.T) {
	s, clock := newStore(t)
	ctx := context.Background()
	l := newLease(s, clock, "p")
	qt.Assert(t, l.Try(ctx), qt.IsNil)
	clock.Advance(term / 2)
	s.service.LoseAnswers(1)
	s.readErr = errors.New("read failed")
	qt.Assert(t, l.Try(ctx), qt.IsNotNil)
	s.readErr = nil
	clock.Advance(term / 4)
	qt.Check(t, l.Try(ctx), qt.ErrorIs, carawayspread.ErrCondition)
	qt.Check(t, l.Valid(0), qt.IsTrue)
	clock.Advance(term / 4)
	qt.Check(t, l.Valid(0), qt.IsFalse)
}

// Runs random schedules of three processes, in which writes are slow, responses are lost and the
// table is down. Two processes must never hold a valid lease at the same time, and no epoch may
// have two holders.
func TestNeverTwoValidHolders(t *testing.T) {
	s, clock := newStore(t)
	rapid.Check(t, func(rt *rapid.T) {
		s.service.Clear()
		partition := rapid.StringMatching("[a-z]{16}").Draw(rt, "partition")
		leases := []*Lease{newLease(s, clock, partition), newLease(s, clock, partition), newLease(s, clock, partition)}
		owner := map[uint64]int{}
		rt.Repeat(map[string]func(*rapid.T){
			"try": func(rt *rapid.T) {
				slow := rapid.SampledFrom([]time.Duration{0, term / 2, 2 * term}).Draw(rt, "slow")
				process := rapid.IntRange(0, 2).Draw(rt, "process")
				contender := leases[(process+1)%3] // not the process that is in Try
				s.beforeReply = func() {
					if contender.held.Load() == nil {
						_ = contender.acquire(context.Background())
					}
					clock.Advance(slow)
				}
				_ = leases[process].Try(context.Background())
			},
			"release": func(rt *rapid.T) {
				_ = leases[rapid.IntRange(0, 2).Draw(rt, "process")].Release(context.Background())
			},
			"wait": func(rt *rapid.T) {
				clock.Advance(rapid.SampledFrom([]time.Duration{term / 4, term, term + term/driftDivisor}).Draw(rt, "time"))
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
