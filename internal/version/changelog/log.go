package changelog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/version/auditrecord"
	"carawayspread/internal/version/record"
	"carawayspread/internal/version/snapshot"
)

const (
	partitionConfig = "config"
	partitionAudit  = "audit/" // followed by the date in UTC
	snapshotName    = "config/snapshot"
	pageSize        = 100 // records per query
)

// Defaults of a Log.
const (
	// defaultSnapshotEvery gives 34 snapshots a day with 6,800 changes a day; a starting daemon
	// reads at most two pages of changes after the snapshot.
	defaultSnapshotEvery   = 200
	defaultTimeout         = time.Second
	defaultMaxWrites       = 3
	defaultWriteRetryDelay = 200 * time.Millisecond
)

// Log is the configuration log. It is safe for concurrent use.
type Log struct {
	table           carawayspread.Table
	objects         carawayspread.ObjectStore
	clock           carawayspread.Clock
	logger          log.Interface
	snapshotEvery   carawayspread.Version
	timeout         time.Duration // bounds one request to the platform
	maxWrites       int           // times that an attempt is written while answers are lost; at least 1
	writeRetryDelay time.Duration // between two of these writes
	newToken        func() string // returns a unique token for an attempt
}

// Option sets an optional part of a Log.
type Option func(*Log)

// WithSnapshotEvery sets the number of versions from one snapshot to the next.
func WithSnapshotEvery(n int) Option {
	return func(l *Log) { l.snapshotEvery = carawayspread.Version(n) }
}

// WithTimeout bounds one request to the platform.
func WithTimeout(d time.Duration) Option { return func(l *Log) { l.timeout = d } }

// WithTokens sets the function that returns the token of the next attempt.
func WithTokens(next func() string) Option { return func(l *Log) { l.newToken = next } }

// WithLogger sets the logger.
func WithLogger(logger log.Interface) Option { return func(l *Log) { l.logger = logger } }

// New returns the configuration log that is stored in the table and the object store.
func New(table carawayspread.Table, objects carawayspread.ObjectStore, clock carawayspread.Clock, opts ...Option) *Log {
	l := &Log{
		table: table, objects: objects, clock: clock, logger: log.Log,
		snapshotEvery: defaultSnapshotEvery, timeout: defaultTimeout,
		maxWrites: defaultMaxWrites, writeRetryDelay: defaultWriteRetryDelay, newToken: uuid.NewString,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// CatchUp reads the changes accepted after the version of from and returns the newest configuration
// with the records that lead to it. The records have no gap, but start after a snapshot where one
// was loaded. Reads are consistent: the version returned was the newest at some moment after the
// call began.
//
// If a read fails, it returns the configuration reached so far, which may not be the newest. A
// daemon that starts far behind keeps the progress of each call; otherwise a long log would have to
// be read within one timeout.
func (l *Log) CatchUp(ctx context.Context, from *carawayspread.Config) (*carawayspread.Config, []record.Record, error) {
	cfg := from
	var records []record.Record
	for {
		next, err := l.readPage(ctx, cfg.Version())
		if err != nil {
			return cfg, records, trace.Wrap(err)
		}
		for _, r := range next {
			if cfg, err = r.Apply(cfg); err != nil {
				return from, nil, trace.Wrap(err)
			}
		}
		records = append(records, next...)
		if len(next) < pageSize {
			return cfg, records, nil
		}
		if newer := l.loadNewerSnapshot(ctx, cfg); newer != cfg {
			cfg, records = newer, nil
		}
	}
}

// loadNewerSnapshot returns the snapshot if it is newer than cfg, and cfg otherwise. A snapshot
// only saves time: the log alone leads to the same configuration. Loading may take a quarter of the
// time left until the deadline, so that a slow object store leaves time for the table.
func (l *Log) loadNewerSnapshot(ctx context.Context, cfg *carawayspread.Config) *carawayspread.Config {
	timeout := l.timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/4)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := l.objects.Get(ctx, snapshotName)
	if errors.Is(err, carawayspread.ErrNoObject) {
		return cfg
	}
	var stored *carawayspread.Config
	if err == nil {
		stored, err = snapshot.Decode(body)
	}
	if err != nil {
		l.logger.WithError(err).Warn("config.snapshotUnread")
		return cfg
	}
	if stored.Version() <= cfg.Version() {
		return cfg
	}
	return stored
}

// History returns one page of accepted changes in order, the first of version after+1.
func (l *Log) History(ctx context.Context, after carawayspread.Version) ([]record.Record, error) {
	return l.readPage(ctx, after)
}

func (l *Log) readPage(ctx context.Context, after carawayspread.Version) ([]record.Record, error) {
	items, err := l.query(ctx, partitionConfig, sortKey(after))
	if err != nil {
		return nil, err
	}
	records := make([]record.Record, 0, len(items))
	for _, item := range items {
		r, err := record.Decode(item.Body)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// Audit returns one page of the audit records of a day in the order of time, after the record with
// that key; an empty key starts at the beginning of the day. The returned key is that of the next
// call; it is empty at the end of the day.
func (l *Log) Audit(ctx context.Context, day time.Time, after string) (records []auditrecord.AuditRecord, next string, err error) {
	items, err := l.query(ctx, auditPartition(day), after)
	if err != nil {
		return nil, "", err
	}
	for _, item := range items {
		r, err := auditrecord.Decode(item.Body)
		if err != nil {
			return nil, "", err
		}
		records = append(records, r)
	}
	if len(items) == pageSize {
		next = items[len(items)-1].Key.Sort
	}
	return records, next, nil
}

func (l *Log) query(ctx context.Context, partition, after string) ([]carawayspread.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	items, err := l.table.Query(ctx, partition, after, pageSize)
	return items, trace.Wrap(err)
}

// sortKey returns a key of fixed width, so that keys sort in the order of the versions.
func sortKey(version carawayspread.Version) string { return fmt.Sprintf("%020d", version) }

func auditPartition(day time.Time) string {
	return partitionAudit + day.UTC().Format(time.DateOnly)
}
