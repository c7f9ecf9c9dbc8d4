package lease

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"carawayspread"
)

const (
	defaultTerm  = 9 * time.Second
	driftDivisor = 50 // clock rates may differ by 2%
	sortHolder   = "holder"
	sortEpoch    = "epoch"
	// restoreGraceDivisor sets the fraction of the term by which other processes wait longer than
	// the last holder before they acquire the lease after a restore of the table.
	restoreGraceDivisor = 2
	// generationStep exceeds the number of tenures that can begin in the period that a restore of
	// the table loses: 15 minutes with one tenure per second.
	generationStep = 1024
)

// errRestored is returned when the table was restored from a backup during an acquisition, so that
// the write may be lost.
var errRestored = errors.New("the table was restored from a backup")

// ErrHeld is returned when another process holds the lease or may hold it.
var ErrHeld = errors.New("lease held by another process")

// Lease is the handle of one process on a lease. Try and Release must be called by one goroutine at
// a time; Valid, Epoch and Check are safe for concurrent use.
type Lease struct {
	table     carawayspread.Table
	clock     carawayspread.Clock
	partition string
	holder    string // unique id of this process, never reused
	term      time.Duration
	jitter    func() float64 // in [0, 1)

	witnesses Witnesses     // nil if the lease ends with its term
	longTerm  time.Duration // how long a record that names witnesses keeps those away that do not ask them

	held     atomic.Pointer[tenure] // nil while not held
	lastSeen observation            // of another holder; used by Try only

	// tableSeen records whether the table has responded. generation is the table generation that
	// Try last observed. restoredAt is when a restore was last detected; zero while this process
	// has seen only a generation that may be the first one.
	tableSeen   bool
	generation  uint64
	restoredAt  time.Time
	restoreWait time.Duration // after restoredAt; the lease is not acquired during it
	wasHolder   bool          // this process held the lease at the restore
}

// tenure is one period in which this process holds the lease; immutable.
type tenure struct {
	epoch uint64 // revision of the epoch item
	// generation is the table generation in which the tenure was written.
	generation uint64
	rev        uint64    // newest known revision of the holder item
	since      time.Time // before the last successful write was sent
	witnesses  []string  // that the record names
	// unsettled means that a write which names other witnesses may take effect yet.
	unsettled bool
}

// observation is a revision of the holder item and the time when it was first read.
type observation struct {
	rev uint64 // zero if none was read
	at  time.Time
}

// Option configures a Lease.
type Option func(*Lease)

// WithTerm sets how long the lease is valid after a renewal.
func WithTerm(term time.Duration) Option { return func(l *Lease) { l.term = term } }

// WithJitter sets the source of the random part of renewal delays, in [0, 1).
func WithJitter(jitter func() float64) Option { return func(l *Lease) { l.jitter = jitter } }

// New returns a handle on the lease that is stored under the partition. It is not held yet.
func New(table carawayspread.Table, clock carawayspread.Clock, partition string, opts ...Option) *Lease {
	l := &Lease{
		table: table, clock: clock, partition: partition,
		holder: uuid.NewString(), term: defaultTerm, jitter: defaultJitter,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Valid reports whether the lease is held now and will be for the margin.
func (l *Lease) Valid(margin time.Duration) bool {
	t := l.held.Load()
	return t != nil && t.generation == l.tableGeneration() && (elapsed(t.since, l.clock.Now())+margin < l.term || l.isExtended(t, margin))
}

// Epoch returns the fencing token of the current tenure; zero while the lease is not held.
//
// A table that was restored from a backup assigns the epochs of the lost period again. Its
// generation is therefore added, multiplied by more than the number of epochs that can be lost.
func (l *Lease) Epoch() uint64 {
	if t := l.held.Load(); t != nil {
		return t.epoch + t.generation*generationStep
	}
	return 0
}

// tableGeneration returns the restore generation of the table; zero if the table is not
// Restorable.
func (l *Lease) tableGeneration() uint64 {
	if table, ok := l.table.(carawayspread.Restorable); ok {
		return table.Generation()
	}
	return 0
}

// Check returns a transaction condition that fails once another tenure has begun. ok is false
// while the lease is not held.
func (l *Lease) Check() (check carawayspread.Write, ok bool) {
	t := l.held.Load()
	if t == nil {
		return carawayspread.Write{}, false
	}
	item := carawayspread.Item{Key: l.key(sortEpoch)}
	return carawayspread.Write{Item: item, IfRev: t.epoch, CheckOnly: true}, true
}

// elapsed returns the time that has passed for the holder: the larger of the monotonic and the
// wall clock difference.
//
// When the instance is suspended, its monotonic clock stops. With that clock alone the holder would
// resume its term after the suspension, while a successor is already active. The wall clock
// shows the gap; if it is set forward, the lease only ends early.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

func (l *Lease) key(sort string) carawayspread.Key {
	return carawayspread.Key{Partition: l.partition, Sort: sort}
}
