package hashrouter

import (
	"slices"
	"sync/atomic"
	"time"

	"carawayspread"
)

// endpoint is what this entry knows of one worker. It lives on through changes
// of the endpoint list.
type endpoint struct {
	id   carawayspread.EndpointID
	own  atomic.Int64
	last atomic.Pointer[heard] // nil before the first report
	// crashed is when a report last told of a crash, in Unix nanoseconds; zero
	// when none did.
	crashed atomic.Int64
}

// heard is a report with what was known when it came. It is immutable.
type heard struct {
	report carawayspread.EndpointReport
	own    int64 // attempts of this entry that ran when the report came
}

// hear keeps the newer of two reports, since datagrams overtake one another.
// It reports whether the role or the resident models changed.
func (e *endpoint) hear(report carawayspread.EndpointReport) bool {
	if report.Crashed {
		e.crashed.Store(report.MeasuredAt.UnixNano())
	}
	next := &heard{report: report, own: e.own.Load()}
	for {
		last := e.last.Load()
		if last != nil && !report.MeasuredAt.After(last.report.MeasuredAt) {
			return false
		}
		if e.last.CompareAndSwap(last, next) {
			if last == nil {
				return report.Models != nil || report.Role != ""
			}
			return report.Role != last.report.Role || !slices.Equal(last.report.Models, report.Models)
		}
	}
}

// load returns the use of the slots, where one means that all are taken. What
// the report says is corrected by what this entry started and ended since. A
// report that grows old loses its weight, so that silence does not send work
// to the endpoints that were idle last.
func (e *endpoint) load(now time.Time) float64 {
	own := e.own.Load()
	last := e.last.Load()
	if last == nil {
		return float64(own) / unknownSlots
	}
	report := &last.report
	slots := float64(max(1, report.Slots))
	told := float64(report.Running+report.Waiting) + float64(own-last.own)
	weight := 1 - min(1, float64(now.Sub(report.MeasuredAt))/float64(reportLife))
	return max(0, weight*told+(1-weight)*float64(own)) / slots
}

// full reports whether the endpoint said a moment ago that its queue is long.
// Refusals carry the load, so that an entry does not ask again at once.
func (e *endpoint) full(now time.Time) bool {
	last := e.last.Load()
	return last != nil && now.Sub(last.report.MeasuredAt) < fullLife && e.load(now) >= fullLoad
}

// down reports whether the endpoint said that it takes no work. A report of a
// crash is believed for a while only: the sidecar may be gone and its endpoint
// back under another one.
func (e *endpoint) down(now time.Time) bool {
	last := e.last.Load()
	if last == nil {
		return false
	}
	if last.report.Draining {
		return true
	}
	return last.report.Crashed && now.Sub(last.report.MeasuredAt) < crashLife
}

// role returns the reported role; an endpoint that reported none takes all.
func (e *endpoint) role() carawayspread.Role {
	last := e.last.Load()
	if last == nil || last.report.Role == "" {
		return carawayspread.RoleBoth
	}
	return last.report.Role
}

// holds reports whether the model is resident, as far as known.
func (e *endpoint) holds(model string) bool {
	last := e.last.Load()
	if model == "" || last == nil || last.report.Models == nil {
		return true
	}
	return slices.Contains(last.report.Models, model)
}
