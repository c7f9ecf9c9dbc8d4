package lease

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

const longTerm = 30 * time.Second

// fakeWitnesses promise until then, and agree to close whatever they are asked.
type fakeWitnesses struct {
	names []string
	until time.Time
}

func (f *fakeWitnesses) Limit() time.Duration { return 2 * term }

func (f *fakeWitnesses) Choose([]string) []string { return f.names }

func (f *fakeWitnesses) Pending() bool                                                   { return false }
func (f *fakeWitnesses) Hold(carawayspread.LeaseVersion, []string, time.Time, time.Time) {}
func (f *fakeWitnesses) Drop()                                                           {}
func (f *fakeWitnesses) Until() time.Time                                                { return f.until }

func (f *fakeWitnesses) Close(context.Context, carawayspread.LeaseVersion, []string) bool {
	return true
}
func (f *fakeWitnesses) Reset() {}

// restorable is a store that counts restores.
type restorable struct {
	*store
	generation uint64
}

func (r *restorable) Generation() uint64 { return r.generation }

// Two processes hold the lease. The holder named other witnesses in a renewal that got no answer and took
// effect. A candidate asks those, while the former ones go on promising the holder.
func TestPromisesOfFormerWitnessesCountForNothing(t *testing.T) {
	for name, test := range map[string]struct {
		next []string
		want bool
	}{
		"the same":   {[]string{"a", "b", "c"}, true},
		"another":    {[]string{"a", "b", "d"}, false},
		"none named": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, clock := newStore(t)
			w := &fakeWitnesses{names: []string{"a", "b", "c"}, until: clock.Now().Add(time.Hour)}
			l := New(s, clock, "p", WithTerm(term), WithWitnesses(w, longTerm))
			qt.Assert(t, l.Try(context.Background()), qt.IsNil)
			clock.Advance(term / 2)
			s.service.SetDown(true)
			w.names = test.next
			qt.Assert(t, l.Try(context.Background()), qt.IsNotNil)
			clock.Advance(term)
			qt.Check(t, l.Valid(0), qt.Equals, test.want)
			clock.Advance(term)
			qt.Check(t, l.Valid(0), qt.IsFalse, qt.Commentf("after the limit"))
		})
	}
}

// Two processes hold the lease after the table was restored from a copy without the holder's record: the
// holder, which the table does not answer, goes on by promises. One that sees the restore, even if it was
// the holder once and its term was over, acquires the lease only when none can go on.
func TestOthersWaitForTheLongTermAfterARestore(t *testing.T) {
	for name, former := range map[string]bool{"another": false, "a former holder": true} {
		t.Run(name, func(t *testing.T) {
			s, clock := newStore(t)
			table := &restorable{store: s, generation: 1}
			w := &fakeWitnesses{names: []string{"a", "b", "c"}}
			l := New(table, clock, "p", WithTerm(term), WithWitnesses(w, longTerm))
			if former {
				qt.Assert(t, l.Try(context.Background()), qt.IsNil)
				clock.Advance(2 * term)
			} else {
				_, _, _ = l.read(context.Background())
				l.observeGeneration()
			}
			s.service.Clear()
			table.generation = 2
			_ = l.Try(context.Background())
			for waited := time.Duration(0); waited < longTerm; waited += time.Second {
				qt.Assert(t, l.Try(context.Background()), qt.Equals, ErrHeld, qt.Commentf("after %v", waited))
				clock.Advance(time.Second)
			}
			clock.Advance(longTerm / driftDivisor)
			qt.Check(t, l.Try(context.Background()), qt.IsNil)
		})
	}
}
