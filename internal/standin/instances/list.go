package instances

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"carawayspread"
	"carawayspread/internal/standin/fault"
)

// List is the instance list. It is an http.Handler and safe for concurrent use.
type List struct {
	*fault.Faults
	handler http.Handler
	clock   carawayspread.Clock

	mu       sync.Mutex
	lag      time.Duration
	versions []version // ascending by time; the last contains all changes
}

// version is the contents of the list from a point in time on.
type version struct {
	revision uint64
	since    time.Time
	rows     map[string]carawayspread.Instance // immutable
}

// New returns an empty list whose changes become visible after lag.
func New(clock carawayspread.Clock, lag time.Duration) *List {
	l := &List{Faults: fault.New(clock), clock: clock, lag: lag}
	l.versions = []version{{revision: 1, rows: map[string]carawayspread.Instance{}}}
	l.handler = l.Handler(l.routes(), isWrite, throttle)
	return l
}

// ServeHTTP serves the list and the endpoints for faults and counters.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

// SetLag sets the delay after which changes become visible.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Put adds or replaces the row of an instance.
func (l *List) Put(instance carawayspread.Instance) {
	l.change(func(rows map[string]carawayspread.Instance) { rows[instance.ID] = instance })
}

// Remove removes the row of an instance.
func (l *List) Remove(id string) {
	l.change(func(rows map[string]carawayspread.Instance) { delete(rows, id) })
}

func (l *List) change(edit func(map[string]carawayspread.Instance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.versions[len(l.versions)-1]
	rows := maps.Clone(last.rows)
	edit(rows)
	next := version{revision: last.revision + 1, since: l.clock.Now(), rows: rows}
	l.versions = append(l.versions, next)
}

// visible returns the newest version that is at least as old as the lag, and drops the versions
// before it. If none is old enough, it returns the oldest.
func (l *List) visible() version {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.clock.Now().Add(-l.lag)
	shown := 0
	for i, v := range l.versions {
		if !v.since.After(latest) {
			shown = i
		}
	}
	l.versions = l.versions[shown:]
	return l.versions[0]
}

func (v version) etag() string { return strconv.Quote(strconv.FormatUint(v.revision, 10)) }

func (v version) sorted() []carawayspread.Instance {
	rows := make([]carawayspread.Instance, 0, len(v.rows))
	for _, id := range slices.Sorted(maps.Keys(v.rows)) {
		rows = append(rows, v.rows[id])
	}
	return rows
}
