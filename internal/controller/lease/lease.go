package lease

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"carawayspread"
)

const (
	defaultTerm = 9 * time.Second
	driftPart   = 50 // clock rates may differ by 2%
	sortHolder  = "holder"
	sortEpoch   = "epoch"
	// othersPart is the part of the term by which others leave a lease to its last holder
	// after a table came back from an older copy.
	othersPart = 2
	// generationStep is more than the tenures that can begin in the time that a table
	// loses when it comes back from an older copy: a quarter of an hour of one a second.
	generationStep = 1024
)

// errRestored says that the table came back from an older copy meanwhile, so that what
// was written may be gone.
var errRestored = errors.New("the table came back from an older copy")

// ErrHeld says that another process holds the lease, or may hold it.
var ErrHeld = errors.New("lease held by another process")

// Lease is one process's side of a lease. Try is called by one goroutine;
// Valid, Epoch and Check are safe for concurrent use.
type Lease struct {
	table     carawayspread.Table
	clock     carawayspread.Clock
	partition string
	holder    string // unique to this process, never reused
	term      time.Duration
	spread    func() float64 // in [0, 1)

	held atomic.Pointer[tenure] // nil while not held
	seen sighting               // what a successor last saw; used by Try alone

	// hasMet says that the table has answered, generation is its own as Try last looked, and
	// restored when that grew; zero where this process has met one alone that may be the
	// first.
	hasMet     bool
	generation uint64
	restored   time.Time
	settling   time.Duration // for how long after that the lease is left alone
	wasHolder  bool          // this process held it when the table came back
}

// tenure is one holding of the lease; immutable.
type tenure struct {
	epoch uint64 // the revision of the epoch item while it lasts
	// generation is that of the table in which the tenure was written.
	generation uint64
	rev        uint64    // the newest known revision of the holder item
	since      time.Time // before the last write that succeeded was sent
}

// sighting is a revision of the holder item and when it was first read.
type sighting struct {
	rev uint64 // zero when nothing was seen
	at  time.Time
}

// Option sets an optional part of a Lease.
type Option func(*Lease)

// WithTerm sets how long the lease lasts after a renewal.
func WithTerm(term time.Duration) Option { return func(l *Lease) { l.term = term } }

// WithJitter sets the source of the random part of waiting times.
func WithJitter(spread func() float64) Option { return func(l *Lease) { l.spread = spread } }

// New returns the lease kept under the partition. Nothing is held yet.
func New(table carawayspread.Table, clock carawayspread.Clock, partition string, opts ...Option) *Lease {
	l := &Lease{
		table:     table,
		clock:     clock,
		partition: partition,
		holder:    uuid.NewString(),
		term:      defaultTerm,
		spread:    defaultSpread,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Valid reports whether the lease is held now and for the margin to come.
func (l *Lease) Valid(margin time.Duration) bool {
	t := l.held.Load()
	return t != nil && t.generation == l.tableGeneration() && elapsed(t.since, l.clock.Now())+margin < l.term
}

// Epoch returns the fencing number of the tenure that began last; zero while
// the lease is not held.
//
// A table that comes back from an older copy gives the epochs of the lost seconds out
// again. Its generation raises the number by more than there can be of those.
func (l *Lease) Epoch() uint64 {
	if t := l.held.Load(); t != nil {
		return t.epoch + t.generation*generationStep
	}
	return 0
}

// tableGeneration returns how often the table came back from an older copy; zero where
// it does not.
func (l *Lease) tableGeneration() uint64 {
	if table, ok := l.table.(carawayspread.Restorable); ok {
		return table.Generation()
	}
	return 0
}

// Check returns the condition that the lease has not passed on, for use in a
// transaction; ok is false while the lease is not held.
func (l *Lease) Check() (check carawayspread.Write, ok bool) {
	t := l.held.Load()
	if t == nil {
		return carawayspread.Write{}, false
	}
	item := carawayspread.Item{Key: l.key(sortEpoch)}
	return carawayspread.Write{Item: item, IfRev: t.epoch, CheckOnly: true}, true
}

// elapsed returns how much time has passed for the holder.
//
// Failure: the instance is suspended and its monotonic clock with it. Symptom:
// the holder wakes and counts on from where it stopped while a successor works.
// The wall clock shows the gap; a wall clock that is set forward only ends the
// lease early.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

func (l *Lease) key(sort string) carawayspread.Key {
	return carawayspread.Key{Partition: l.partition, Sort: sort}
}
