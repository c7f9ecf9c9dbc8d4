// Package buildrecords keeps in the platform's table which builds of each service are listed and since when, so
// that processes that start after all others were lost know whether a stream may have begun at another build.
package buildrecords

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"carawayspread"
	"carawayspread/internal/decision/origin"
	"carawayspread/internal/process/decisionlog"
)

const (
	partition   = "builds"
	callTimeout = 2 * time.Second
	// interval is the time between two looks for changes, and retry that between two attempts while the table
	// fails.
	interval = 250 * time.Millisecond
	retry    = time.Second
	// recheck is the time after which a reader of the store looks whether another process, with an older list,
	// has written.
	recheck = 10 * time.Second
	// delay and delayPerProcess are how long a process that is no reader leaves a change to the readers, so that
	// it finds it written and a large fleet does not call at once.
	delay           = time.Second
	delayPerProcess = 20 * time.Millisecond
	// page and maxRecords bound what is read; a transaction takes as many items as a page.
	page       = 100
	maxRecords = 1000
	// drift is by how much a clock may be too fast, as a divisor.
	drift = 50
)

// errNoStoreTime means that the clock of the table is not known yet.
var errNoStoreTime = errors.New("the clock of the table is not known")

// Builds decides what the records mean and what they must say.
type Builds interface {
	// Changes counts the changes of what records hold; zero before the first list of endpoints.
	Changes() uint64
	// Review takes over what the records say, and returns those that must be written.
	Review(kept map[string]origin.Record, r origin.Reading) map[string]origin.Record
}

// StoreTime bounds the clock of the table.
type StoreTime interface {
	// Now returns the largest value that the clock may show; false if it is not known.
	Now() (time.Duration, bool)
}

// Fleet is what is known of the other processes.
type Fleet interface {
	// IsReader reports whether this process reads the store for others.
	IsReader() bool
	// Size returns the number of processes.
	Size() int
}

// Records keeps the records for one process.
type Records struct {
	table      carawayspread.Table
	builds     Builds
	storeTime  StoreTime
	fleet      Fleet
	clock      carawayspread.Clock
	log        *decisionlog.Log
	firstStart bool
	writes     *metrics.Counter
	failures   *metrics.Counter

	seen uint64    // changes that a review is planned for
	due  time.Time // of the next review
}

// New returns the records of a process. firstStart says that the whole system starts for the first time; it
// counts only as long as there is no record.
func New(table carawayspread.Table, builds Builds, storeTime StoreTime, fleet Fleet, clock carawayspread.Clock, log *decisionlog.Log, set *metrics.Set, firstStart bool) *Records {
	return &Records{
		table: table, builds: builds, storeTime: storeTime, fleet: fleet, clock: clock, log: log, firstStart: firstStart,
		writes: set.GetOrCreateCounter("gateway_build_records_written_total"), failures: set.GetOrCreateCounter("gateway_build_records_failed_total"),
	}
}

// Run reads the records once endpoints are known, and writes what changes, until ctx ends.
func (r *Records) Run(ctx context.Context) error {
	for {
		if r.isDue() {
			r.plan(r.review(ctx))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.clock.After(interval):
		}
	}
}

func (r *Records) isDue() bool {
	now, changes, reader := r.clock.Now(), r.builds.Changes(), r.fleet.IsReader()
	if changes == 0 {
		return false
	}
	if changes != r.seen {
		r.seen, r.due = changes, now
		if !reader {
			r.due = now.Add(delay + r.spread())
		}
	}
	if latest := now.Add(recheck); reader && r.due.After(latest) {
		r.due = latest
	}
	return !now.Before(r.due)
}

func (r *Records) spread() time.Duration {
	return time.Duration(rand.Float64() * float64(r.fleet.Size()) * float64(delayPerProcess))
}

// plan sets the time of the next review after one that ended with err.
func (r *Records) plan(err error) {
	switch now := r.clock.Now(); {
	case err != nil:
		r.failures.Inc()
		r.due = now.Add(retry + r.spread())
		r.log.Write(decisionlog.Start("buildRecords").Text("error", err.Error()))
	case r.fleet.IsReader():
		r.due = now.Add(recheck)
	default:
		r.due = now.Add(24 * time.Hour)
	}
}

// review reads the records and writes those that differ from what is listed.
func (r *Records) review(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := r.clock.Now()
	items, kept, err := r.read(ctx)
	if err != nil {
		return err
	}
	latest, known := r.storeTime.Now()
	if !known {
		return errNoStoreTime
	}
	took := r.clock.Now().Sub(began)
	reading := origin.Reading{Latest: latest, Earliest: latest - took - took/drift, First: r.firstStart && len(items) == 0}
	if restorable, ok := r.table.(carawayspread.Restorable); ok {
		reading.Generation = restorable.Generation()
	}
	return r.write(ctx, items, r.builds.Review(kept, reading))
}

func (r *Records) read(ctx context.Context) (items map[string]carawayspread.Item, kept map[string]origin.Record, err error) {
	items, kept = map[string]carawayspread.Item{}, map[string]origin.Record{}
	for after := ""; len(items) < maxRecords; {
		got, err := r.table.Query(ctx, partition, after, page)
		if err != nil {
			return nil, nil, err
		}
		for _, item := range got {
			after = item.Key.Sort
			items[after] = item
			var record origin.Record
			if json.Unmarshal(item.Body, &record) == nil { // a malformed one is written again
				kept[after] = record
			}
		}
		if len(got) < page {
			break
		}
	}
	return items, kept, nil
}

func (r *Records) write(ctx context.Context, items map[string]carawayspread.Item, records map[string]origin.Record) error {
	var writes []carawayspread.Write
	for service, record := range records {
		body, err := json.Marshal(record)
		if err != nil {
			return err
		}
		writes = append(writes, carawayspread.Write{IfRev: items[service].Rev, Item: carawayspread.Item{
			Key: carawayspread.Key{Partition: partition, Sort: service}, Token: uuid.NewString(), Body: body,
		}})
		r.log.Write(decisionlog.Start("buildRecords").Text("service", service).Int("builds", int64(len(record.Builds))).Int("sinceMs", record.SinceMs))
	}
	for len(writes) > 0 {
		n := min(page, len(writes))
		if err := r.table.Apply(ctx, writes[:n]...); err != nil {
			return err
		}
		r.writes.Add(n)
		writes = writes[n:]
	}
	return nil
}
