// Package usagerecords stores the usage report of each window in the platform's table before it
// is sent for the first time.
package usagerecords

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"carawayspread"
)

// retainedRecords is the number of records in the table. They are a ring: the record of a window
// replaces the one retainedRecords windows earlier.
const retainedRecords = 16

// Record is the usage report of a window. It never changes once it is stored.
type Record struct {
	Window   int64             `json:"window"`
	Counts   map[string]uint64 `json:"counts"`
	Holder   string            `json:"holder"`
	Complete bool              `json:"complete"` // all known processes had closed the window
}

// Records reads and writes the records of one partition.
type Records struct {
	table     carawayspread.Table
	partition string
}

// New returns the records of the partition.
func New(table carawayspread.Table, partition string) *Records { return &Records{table, partition} }

// Get returns the record of a window, or nil if none is stored. The revision is that of the item
// that Put would replace.
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
		return nil, item.Rev, nil // the item holds the record of an earlier window
	}
	return record, item.Rev, nil
}

// Put stores a record, if the item to replace has that revision and the check holds. After an
// error the record may or may not have been stored.
func (r *Records) Put(ctx context.Context, record *Record, rev uint64, check carawayspread.Write) error {
	body, err := json.Marshal(record)
	if err != nil {
		return err
	}
	item := carawayspread.Item{Key: r.key(record.Window), Token: uuid.NewString(), Body: body}
	return r.table.Apply(ctx, carawayspread.Write{Item: item, IfRev: rev}, check)
}

func (r *Records) key(window int64) carawayspread.Key {
	return carawayspread.Key{Partition: r.partition, Sort: fmt.Sprintf("report-%02d", window%retainedRecords)}
}
