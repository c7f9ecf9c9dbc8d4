// Package usagerecords keeps what is reported of each window of usage in the platform's
// table, from before it is reported for the first time.
package usagerecords

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"carawayspread"
)

// kept is how many records the table keeps, one for each window in turn.
const kept = 16

// Record is what is reported of a window. It never changes once it is stored.
type Record struct {
	Window   int64             `json:"window"`
	Counts   map[string]uint64 `json:"counts"`
	Holder   string            `json:"holder"`
	Complete bool              `json:"complete"` // all processes that were known had closed the window
}

// Records are the records of one partition.
type Records struct {
	table     carawayspread.Table
	partition string
}

// New returns the records under that partition.
func New(table carawayspread.Table, partition string) *Records { return &Records{table, partition} }

// Get returns the record of a window; nil where none is stored. The revision is that of
// the item which Put replaces.
func (r *Records) Get(ctx context.Context, window int64) (record *Record, rev uint64, err error) {
	item, err := r.table.Get(ctx, r.key(window))
	if errors.Is(err, carawayspread.ErrNoItem) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	record = &Record{}
	if err := json.Unmarshal(item.Body, record); err != nil {
		return nil, 0, err
	}
	if record.Window != window {
		return nil, item.Rev, nil // of an earlier window
	}
	return record, item.Rev, nil
}

// Put stores a record in the place of the item with that revision, under the condition. An
// error leaves open whether it was stored.
func (r *Records) Put(ctx context.Context, record *Record, rev uint64, check carawayspread.Write) error {
	body, err := json.Marshal(record)
	if err != nil {
		return err
	}
	item := carawayspread.Item{Key: r.key(record.Window), Token: uuid.NewString(), Body: body}
	return r.table.Apply(ctx, carawayspread.Write{Item: item, IfRev: rev}, check)
}

func (r *Records) key(window int64) carawayspread.Key {
	return carawayspread.Key{Partition: r.partition, Sort: fmt.Sprintf("report-%02d", window%kept)}
}
