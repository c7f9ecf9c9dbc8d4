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
	partitionAudit  = "audit/" // followed by the day
	snapshotName    = "config/snapshot"
	page            = 100 // records read at once
)

// Defaults of a Log.
const (
	// defaultSnapshotEvery makes 34 snapshots a day out of 6,800 changes; a
	// daemon that starts reads at most two pages of changes after one.
	defaultSnapshotEvery = 200
	defaultTimeout       = time.Second
	defaultTries         = 3
	defaultPause         = 200 * time.Millisecond
)

// Log is the configuration log. It is safe for concurrent use.
type Log struct {
	table         carawayspread.Table
	objects       carawayspread.ObjectStore
	clock         carawayspread.Clock
	logger        log.Interface
	snapshotEvery carawayspread.Version
	timeout       time.Duration // bounds one request to the platform
	tries         int           // writes of one attempt whose answers are lost; at least 1
	pause         time.Duration // between these
	newAttempt    func() string // unique for each attempt
}

// Option sets an optional part of a Log.
type Option func(*Log)

// WithSnapshotEvery sets how many versions lie between two snapshots.
func WithSnapshotEvery(n int) Option {
	return func(l *Log) { l.snapshotEvery = carawayspread.Version(n) }
}

// WithTimeout bounds one request to the platform.
func WithTimeout(d time.Duration) Option { return func(l *Log) { l.timeout = d } }

// WithTokens sets where the tokens of attempts come from.
func WithTokens(next func() string) Option { return func(l *Log) { l.newAttempt = next } }

// WithLogger sets where events are logged.
func WithLogger(logger log.Interface) Option { return func(l *Log) { l.logger = logger } }

// New returns the configuration log that the platform keeps.
func New(table carawayspread.Table, objects carawayspread.ObjectStore, clock carawayspread.Clock, opts ...Option) *Log {
	l := &Log{
		table: table, objects: objects, clock: clock, logger: log.Log,
		snapshotEvery: defaultSnapshotEvery, timeout: defaultTimeout,
		tries: defaultTries, pause: defaultPause, newAttempt: uuid.NewString,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// CatchUp reads what was accepted after from and returns the newest version
// with the records that lead to it. The records have no gap but may start later
// than from, where a snapshot was nearer. Reads are consistent: the version
// returned was the newest at some moment after the call began.
//
// With an error it returns how far it came, which proves nothing about what is
// newest. A daemon that starts far behind keeps the progress of each try;
// without that, a long log would have to be read within one timeout.
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
		if len(next) < page {
			return cfg, records, nil
		}
		if leap := l.nearer(ctx, cfg); leap != cfg {
			cfg, records = leap, nil
		}
	}
}

// nearer returns the snapshot where it is newer than cfg. A snapshot only saves
// time: the log alone leads to the same configuration. It may take a quarter of
// the time that is left, so that a slow object store does not use up what the
// table needs.
func (l *Log) nearer(ctx context.Context, cfg *carawayspread.Config) *carawayspread.Config {
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
	var held *carawayspread.Config
	if err == nil {
		held, err = snapshot.Decode(body)
	}
	if err != nil {
		l.logger.WithError(err).Warn("config.snapshotUnread")
		return cfg
	}
	if held.Version() <= cfg.Version() {
		return cfg
	}
	return held
}

// History returns accepted changes in order, the first of version after+1.
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

// Audit returns the audit trail of one day in the order of time, after the
// record with that key; an empty key starts the day. The returned key continues
// the reading and is empty at the end.
func (l *Log) Audit(ctx context.Context, day time.Time, after string) (lines []auditrecord.AuditRecord, next string, err error) {
	items, err := l.query(ctx, auditPartition(day), after)
	if err != nil {
		return nil, "", err
	}
	for _, item := range items {
		line, err := auditrecord.Decode(item.Body)
		if err != nil {
			return nil, "", err
		}
		lines = append(lines, line)
	}
	if len(items) == page {
		next = items[len(items)-1].Key.Sort
	}
	return lines, next, nil
}

func (l *Log) query(ctx context.Context, partition, after string) ([]carawayspread.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	items, err := l.table.Query(ctx, partition, after, page)
	return items, trace.Wrap(err)
}

// sortKey orders versions as numbers.
func sortKey(version carawayspread.Version) string { return fmt.Sprintf("%020d", version) }

func auditPartition(day time.Time) string {
	return partitionAudit + day.UTC().Format(time.DateOnly)
}
