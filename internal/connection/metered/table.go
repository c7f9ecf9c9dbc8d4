package metered

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayspread"
)

// outcomes holds the label values of the outcomes, indexed by the constants below.
var outcomes = [...]string{"ok", "noItem", "condition", "unavailable", "unknown"}

const (
	outcomeOK = iota
	outcomeNoItem
	outcomeCondition
	outcomeUnavailable
	outcomeUnknown
)

// operation holds the metrics of one operation.
type operation struct {
	requests [len(outcomes)]*metrics.Counter
	items    *metrics.Counter
	seconds  *metrics.Histogram
}

// Table measures the requests of the table that it wraps.
type Table struct {
	inner             carawayspread.Table
	clock             carawayspread.Clock
	get, query, apply *operation
}

// New returns inner with metrics in the set. The layer is the position of the decorator and keeps
// the requests of callers apart from those to the platform.
func New(inner carawayspread.Table, clock carawayspread.Clock, set *metrics.Set, layer string) *Table {
	return &Table{
		inner: inner,
		clock: clock,
		get:   newOperation(set, layer, "get"),
		query: newOperation(set, layer, "query"),
		apply: newOperation(set, layer, "apply"),
	}
}

func newOperation(set *metrics.Set, layer, name string) *operation {
	labels := fmt.Sprintf(`layer=%q,operation=%q`, layer, name)
	o := &operation{
		items:   set.GetOrCreateCounter(`carawayspread_table_items_total{` + labels + `}`),
		seconds: set.GetOrCreateHistogram(`carawayspread_table_request_seconds{` + labels + `}`),
	}
	for i, outcome := range outcomes {
		o.requests[i] = set.GetOrCreateCounter(fmt.Sprintf(`carawayspread_table_requests_total{%s,outcome=%q}`, labels, outcome))
	}
	return o
}

func (o *operation) observe(duration time.Duration, items int, err error) {
	o.seconds.Update(duration.Seconds())
	o.requests[outcomeOf(err)].Inc()
	if err == nil {
		o.items.Add(items)
	}
}

func outcomeOf(err error) int {
	switch {
	case err == nil:
		return outcomeOK
	case errors.Is(err, carawayspread.ErrNoItem):
		return outcomeNoItem
	case errors.Is(err, carawayspread.ErrCondition):
		return outcomeCondition
	case errors.Is(err, carawayspread.ErrUnavailable):
		return outcomeUnavailable
	}
	return outcomeUnknown
}

// Get reads one item consistently, or returns carawayspread.ErrNoItem.
func (t *Table) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	start := t.clock.Now()
	item, err := t.inner.Get(ctx, key)
	t.get.observe(t.clock.Now().Sub(start), 1, err)
	return item, err
}

// Query reads consistently the items of a partition after a sort key.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) ([]carawayspread.Item, error) {
	start := t.clock.Now()
	items, err := t.inner.Query(ctx, partition, after, limit)
	t.query.observe(t.clock.Now().Sub(start), len(items), err)
	return items, err
}

// Apply performs all writes or none.
func (t *Table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	start := t.clock.Now()
	err := t.inner.Apply(ctx, writes...)
	t.apply.observe(t.clock.Now().Sub(start), len(writes), err)
	return err
}
