package table

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/google/btree"

	"carawayspread"
	"carawayspread/internal/standin/fault"
)

const (
	targetPrefix = "DynamoDB_20120810."
	treeDegree   = 32
	maxTransact  = 100
	maxItemBytes = 400 << 10
	maxPage      = 1000
)

// record is one stored item.
type record struct {
	table, partition, sort string
	item                   attributes // not modified once stored
}

func less(a, b record) bool {
	if a.table != b.table {
		return a.table < b.table
	}
	if a.partition != b.partition {
		return a.partition < b.partition
	}
	return a.sort < b.sort
}

// Table is the table service. It is an http.Handler and safe for concurrent use.
type Table struct {
	*fault.Faults
	handler http.Handler

	mu      sync.RWMutex
	records *btree.BTreeG[record]
}

// New returns an empty table service without faults.
func New(clock carawayspread.Clock) *Table {
	t := &Table{Faults: fault.New(clock), records: btree.NewG(treeDegree, less)}
	t.handler = t.Handler(http.HandlerFunc(t.serve), isWrite, throttle)
	return t
}

// ServeHTTP serves the table protocol and the endpoints for faults and counters.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.handler.ServeHTTP(w, r) }

// Len returns the number of stored items.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.records.Len()
}

func operation(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
}

func isWrite(r *http.Request) bool {
	switch operation(r) {
	case "PutItem", "DeleteItem", "TransactWriteItems":
		return true
	}
	return false
}

func throttle(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, http.StatusBadRequest, failed("ProvisionedThroughputExceededException", "throttled"))
}

func (t *Table) serve(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeResponse(w, http.StatusBadRequest, failed("SerializationException", err.Error()))
		return
	}
	body, err := t.perform(operation(r), &req)
	if err != nil {
		writeResponse(w, http.StatusBadRequest, err)
		return
	}
	writeResponse(w, http.StatusOK, body)
}

func (t *Table) perform(operation string, req *request) (any, *failure) {
	switch operation {
	case "GetItem":
		return t.get(req)
	case "Query":
		return t.query(req)
	case "PutItem":
		return struct{}{}, t.writeOne(transactItem{Put: req})
	case "DeleteItem":
		return struct{}{}, t.writeOne(transactItem{Delete: req})
	case "TransactWriteItems":
		return struct{}{}, t.transact(req.TransactItems)
	}
	return nil, failed("UnknownOperationException", operation)
}
