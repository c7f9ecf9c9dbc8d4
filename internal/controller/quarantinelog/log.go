// Package quarantinelog keeps in the platform's table which requests crash endpoints.
//
// Processes hold crashes in memory and gossip them. When all are lost at once, those that start next
// know of none, and each request that crashes endpoints would cost two more.
package quarantinelog

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/process/decisionlog"
)

const (
	// interval is the time between two looks for requests to save, and between two attempts to read
	// or write the item.
	interval    = time.Second
	callTimeout = 2 * time.Second
	// maxEntries bounds the item, at about 50 bytes each; those that end first are dropped.
	maxEntries = 512
)

var key = carawayspread.Key{Partition: "quarantine", Sort: "requests"}

// Quarantine is what is saved and restored.
type Quarantine interface {
	// TakeSettled returns requests that are refused for crashes which this process observed and that
	// can no longer be withdrawn, with the time left; each of them once.
	TakeSettled() map[uint64]time.Duration
	// Restore refuses a request for the time left.
	Restore(fingerprint uint64, left time.Duration)
}

// StoreTime bounds the clock of the store.
type StoreTime interface {
	// Now returns the largest value that the clock may show; false if it is not known.
	Now() (time.Duration, bool)
}

// entry is one request in the item.
type entry struct {
	Fingerprint uint64 `json:"fingerprint"`
	UntilMs     int64  `json:"untilMs"` // end of the quarantine, by the clock of the store
}

func (e entry) left(now time.Duration) time.Duration {
	return time.Duration(e.UntilMs)*time.Millisecond - now
}

// Log saves and restores the quarantine of one process.
type Log struct {
	table      carawayspread.Table
	quarantine Quarantine
	storeTime  StoreTime
	clock      carawayspread.Clock
	log        *decisionlog.Log
	longest    time.Duration // a quarantine lasts no longer
	unsaved    map[uint64]time.Time
}

// New returns a log of quarantines that last no longer than longest.
func New(table carawayspread.Table, q Quarantine, storeTime StoreTime, clock carawayspread.Clock, log *decisionlog.Log, longest time.Duration) *Log {
	return &Log{table: table, quarantine: q, storeTime: storeTime, clock: clock, log: log, longest: longest, unsaved: map[uint64]time.Time{}}
}

// Run restores what is saved, and then saves what is new, until ctx ends. If the table cannot be read,
// it tries again for as long as a saved quarantine may last.
func (l *Log) Run(ctx context.Context) error {
	started := l.clock.Now()
	restored := false
	for {
		if !restored {
			err := l.restore(ctx)
			l.logError("restore", err)
			restored = err == nil || l.clock.Now().Sub(started) > l.longest
		}
		l.collect()
		l.logError("save", l.save(ctx))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.clock.After(interval):
		}
	}
}

func (l *Log) logError(of string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		l.log.Write(decisionlog.Start("quarantineLog").Text("of", of).Text("error", err.Error()))
	}
}

// restore passes the requests of the item on to the quarantine.
func (l *Log) restore(ctx context.Context) error {
	_, entries, err := l.read(ctx)
	if err != nil {
		return err
	}
	now, known := l.storeTime.Now()
	if !known {
		return errNoStoreTime
	}
	n := 0
	for _, e := range entries {
		if left := min(e.left(now), l.longest); left > 0 {
			l.quarantine.Restore(e.Fingerprint, left)
			n++
		}
	}
	if n > 0 {
		l.log.Write(decisionlog.Start("quarantineLog").Int("restored", int64(n)))
	}
	return nil
}

var errNoStoreTime = errors.New("the time of the store is not known")

// collect takes what is new from the quarantine, and drops what has ended meanwhile.
func (l *Log) collect() {
	now := l.clock.Now()
	for fingerprint, left := range l.quarantine.TakeSettled() {
		l.unsaved[fingerprint] = now.Add(left)
	}
	for fingerprint, until := range l.unsaved {
		if !now.Before(until) {
			delete(l.unsaved, fingerprint)
		}
	}
}

// save adds the unsaved requests to the item. Of two writers of one revision, one tries again with the
// entries of the other, as does one whose answer was lost.
func (l *Log) save(ctx context.Context) error {
	if len(l.unsaved) == 0 {
		return nil
	}
	rev, entries, err := l.read(ctx)
	if err != nil {
		return err
	}
	now, known := l.storeTime.Now()
	if !known {
		return errNoStoreTime
	}
	entries = slices.DeleteFunc(entries, func(e entry) bool { return e.left(now) <= 0 })
	for fingerprint, until := range l.unsaved {
		entries = slices.DeleteFunc(entries, func(e entry) bool { return e.Fingerprint == fingerprint })
		entries = append(entries, entry{fingerprint, (now + until.Sub(l.clock.Now())).Milliseconds()})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(b.UntilMs, a.UntilMs) })
	body, err := json.Marshal(entries[:min(len(entries), maxEntries)])
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item := carawayspread.Item{Key: key, Token: uuid.NewString(), Body: body}
	if err := l.table.Apply(ctx, carawayspread.Write{Item: item, IfRev: rev}); err != nil {
		return err
	}
	l.log.Write(decisionlog.Start("quarantineLog").Int("saved", int64(len(l.unsaved))))
	clear(l.unsaved)
	return nil
}

// read returns the item's revision and entries; revision zero if there is no item.
func (l *Log) read(ctx context.Context) (uint64, []entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := l.table.Get(ctx, key)
	if errors.Is(err, carawayspread.ErrNoItem) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	var entries []entry
	return item.Rev, entries, trace.Wrap(json.Unmarshal(item.Body, &entries))
}
