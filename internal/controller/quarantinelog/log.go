// Package quarantinelog keeps in the platform's table what crashes endpoints: requests, by their
// fingerprints, or parts of prompts, by their keys.
//
// Processes hold crashes in memory and gossip them. When all are lost at once, those that start next
// know of none, and whatever crashes endpoints would cost more of them.
package quarantinelog

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	// claimRetry is the time between two claims of a trial while the table fails.
	claimRetry = 10 * time.Second
	// maxEntries bounds the item, at about 50 bytes each; those that end first are dropped.
	maxEntries = 512
)

// partition holds the items.
const partition = "quarantine"

// Quarantine is what is saved and restored.
type Quarantine interface {
	// TakeSettled returns what is refused for crashes which this process observed and that can no longer
	// be withdrawn, with the time left; each of them once.
	TakeSettled() map[uint64]time.Duration
	// TakeCleared returns what was refused and has been answered here since; each of them once.
	TakeCleared() []uint64
	// Restore refuses a request, or a part, for the time left.
	Restore(fingerprint uint64, left time.Duration)
}

// StoreTime bounds the clock of the store.
type StoreTime interface {
	// Now returns the largest value that the clock may show; false if it is not known.
	Now() (time.Duration, bool)
}

// entry is one request or part in the item.
type entry struct {
	Fingerprint uint64 `json:"fingerprint"`
	UntilMs     int64  `json:"untilMs"` // end of the quarantine, by the clock of the store
	Trials      int    `json:"trials,omitempty"`
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
	key        carawayspread.Key
	longest    time.Duration // a quarantine lasts no longer
	unsaved    map[uint64]time.Time
	cleared    map[uint64]struct{} // not removed from the item yet
	// afterTrial returns how long a quarantine lasts from its trial of that number on; nil if there are no
	// trials.
	afterTrial func(n int) time.Duration
}

// Option sets an optional part of a Log.
type Option func(*Log)

// WithTrials makes a quarantine that has ended allow one trial in the whole fleet. It then lasts on for what
// afterTrial returns for the number of the trial. What had trials is kept in the item.
func WithTrials(afterTrial func(n int) time.Duration) Option {
	return func(l *Log) { l.afterTrial = afterTrial }
}

// New returns a log, in the item of that name, of quarantines that last no longer than longest.
func New(name string, table carawayspread.Table, q Quarantine, storeTime StoreTime, clock carawayspread.Clock, log *decisionlog.Log, longest time.Duration, opts ...Option) *Log {
	l := &Log{
		table: table, quarantine: q, storeTime: storeTime, clock: clock, log: log, longest: longest,
		key: carawayspread.Key{Partition: partition, Sort: name}, unsaved: map[uint64]time.Time{}, cleared: map[uint64]struct{}{},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
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
		l.log.Write(decisionlog.Start("quarantineLog").Text("of", of).Text("item", l.key.Sort).Text("error", err.Error()))
	}
}

// restore passes the requests of the item on to the quarantine.
func (l *Log) restore(ctx context.Context) error {
	_, entries, err := l.read(ctx)
	if errors.Is(err, errUnreadable) {
		l.logError("restore", err)
		return nil
	}
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
		l.log.Write(decisionlog.Start("quarantineLog").Int("restored", int64(n)).Text("item", l.key.Sort))
	}
	return nil
}

// errUnreadable means that another writer left the item. It is written over.
var errUnreadable = errors.New("the item cannot be read")

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
	for _, fingerprint := range l.quarantine.TakeCleared() {
		delete(l.unsaved, fingerprint)
		l.cleared[fingerprint] = struct{}{}
	}
}

// save adds what is unsaved to the item, and removes what was cleared. Of two writers of one revision, one tries again with the
// entries of the other, as does one whose answer was lost.
func (l *Log) save(ctx context.Context) error {
	if len(l.unsaved)+len(l.cleared) == 0 {
		return nil
	}
	rev, entries, err := l.read(ctx)
	if err != nil && !errors.Is(err, errUnreadable) {
		return err
	}
	now, known := l.storeTime.Now()
	if !known {
		return errNoStoreTime
	}
	entries = slices.DeleteFunc(entries, func(e entry) bool {
		_, cleared := l.cleared[e.Fingerprint]
		return cleared || e.left(now) <= 0 && e.Trials == 0
	})
	for fingerprint, until := range l.unsaved {
		entries = put(entries, fingerprint, now+until.Sub(l.clock.Now()))
	}
	if err := l.write(ctx, rev, entries); err != nil {
		return err
	}
	l.log.Write(decisionlog.Start("quarantineLog").Int("saved", int64(len(l.unsaved))).Int("cleared", int64(len(l.cleared))).Text("item", l.key.Sort))
	clear(l.unsaved)
	clear(l.cleared)
	return nil
}

// put sets the end of a quarantine, unless it ends later already, and returns the entries.
func put(entries []entry, fingerprint uint64, until time.Duration) []entry {
	i := slices.IndexFunc(entries, func(e entry) bool { return e.Fingerprint == fingerprint })
	if i < 0 {
		i, entries = len(entries), append(entries, entry{Fingerprint: fingerprint})
	}
	entries[i].UntilMs = max(entries[i].UntilMs, until.Milliseconds())
	return entries
}

// Claim reports whether this process may run the trial of a quarantine that has ended. Whoever else asks is
// refused from then on. While the table cannot be reached, there is no trial.
func (l *Log) Claim(ctx context.Context, fingerprint uint64) bool {
	left, granted, err := l.claim(ctx, fingerprint)
	if err != nil {
		l.logError("claim", err)
		left = claimRetry
	}
	l.quarantine.Restore(fingerprint, left)
	return granted
}

// claim returns how long the quarantine lasts on, and whether this process runs its trial.
func (l *Log) claim(ctx context.Context, fingerprint uint64) (left time.Duration, granted bool, err error) {
	rev, entries, err := l.read(ctx)
	unreadable := errors.Is(err, errUnreadable)
	if err != nil && !unreadable {
		return 0, false, err
	}
	now, known := l.storeTime.Now()
	if !known {
		return 0, false, errNoStoreTime
	}
	entries = put(entries, fingerprint, 0)
	e := &entries[slices.IndexFunc(entries, func(e entry) bool { return e.Fingerprint == fingerprint })]
	if left := e.left(now); left > 0 {
		return left, false, nil
	}
	e.Trials++
	left = l.afterTrial(e.Trials)
	e.UntilMs = (now + left).Milliseconds()
	err = l.write(ctx, rev, entries)
	return left, err == nil && !unreadable, err // the trial may have been run
}

// write replaces the item of that revision. Of too many entries it drops those that end first.
func (l *Log) write(ctx context.Context, rev uint64, entries []entry) error {
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(b.UntilMs, a.UntilMs) })
	body, err := json.Marshal(entries[:min(len(entries), maxEntries)])
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item := carawayspread.Item{Key: l.key, Token: uuid.NewString(), Body: body}
	return l.table.Apply(ctx, carawayspread.Write{Item: item, IfRev: rev})
}

// read returns the item's revision and entries; revision zero if there is no item.
func (l *Log) read(ctx context.Context) (uint64, []entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := l.table.Get(ctx, l.key)
	if errors.Is(err, carawayspread.ErrNoItem) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	var entries []entry
	if err := json.Unmarshal(item.Body, &entries); err != nil {
		return item.Rev, nil, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	return item.Rev, entries, nil
}
