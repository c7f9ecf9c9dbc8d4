package readahead_test

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/request/readahead"
)

// endpoint sends an event of that many bytes each 10 ms, and records when the last one was taken.
type endpoint struct {
	events, bytes int
	sent          bytes.Buffer
	takenAt       time.Duration // since start, of the last event
	start         time.Time
}

func (e *endpoint) Read(p []byte) (int, error) {
	if e.events == 0 {
		return 0, io.EOF
	}
	time.Sleep(10 * time.Millisecond)
	e.events--
	e.takenAt = time.Since(e.start)
	event := bytes.Repeat([]byte{byte('a' + e.events%26)}, e.bytes)
	e.sent.Write(event)
	return copy(p, event), nil
}

// Guards against an answer that its endpoint cuts off. The caller stands still for three seconds after the first
// event; without reading ahead, the endpoint waits as long with the second one.
func TestStandingCallerDoesNotHoldUpTheEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		limit         int64
		events, bytes int
		from, to      time.Duration // in which the endpoint has sent all events
	}{
		"room for all":             {1 << 20, 20, 100, 0, 500 * time.Millisecond},
		"no room in the process":   {0, 20, 100, 3 * time.Second, 4 * time.Second},
		"more than one answer may": {1 << 30, 100, 4 << 10, 3 * time.Second, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &endpoint{events: c.events, bytes: c.bytes, start: time.Now()}
				budget := readahead.NewBudget(c.limit)
				r := readahead.New(e, budget)
				var got bytes.Buffer
				buffer := make([]byte, 4<<10)
				for n, err := r.Read(buffer); err == nil; n, err = r.Read(buffer) {
					r.BeginWrite()
					if got.Len() == 0 {
						time.Sleep(3 * time.Second)
					}
					got.Write(buffer[:n])
					r.EndWrite()
				}
				qt.Check(t, bytes.Equal(got.Bytes(), e.sent.Bytes()), qt.IsTrue)
				qt.Check(t, e.takenAt >= c.from && e.takenAt <= c.to, qt.IsTrue, qt.Commentf("after %s", e.takenAt))
				qt.Check(t, r.Close(), qt.IsNil)
				qt.Check(t, budget.Used(), qt.Equals, int64(0))
			})
		})
	}
}

// Guards against memory without a bound: many callers stand still at once, each before a long answer. What all of
// them hold stays within the budget, and what a caller leaves is returned.
func TestReadAheadIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 1 << 20
		budget := readahead.NewBudget(limit)
		var readers []*readahead.Reader
		for range 500 {
			r := readahead.New(&endpoint{events: 1000, bytes: 4 << 10, start: time.Now()}, budget)
			r.BeginWrite()
			readers = append(readers, r)
		}
		time.Sleep(10 * time.Second)
		qt.Check(t, budget.Used() > limit/2 && budget.Used() <= limit, qt.IsTrue, qt.Commentf("%d bytes", budget.Used()))
		for _, r := range readers {
			r.EndWrite()
			qt.Check(t, r.Close(), qt.IsNil)
		}
		qt.Check(t, budget.Used(), qt.Equals, int64(0))
	})
}
