package hashrouter

import (
	"slices"
	"sync/atomic"
	"time"

	"carawayspread"
)

// endpoint is what this entry knows of one worker. It is kept across changes of the endpoint list.
type endpoint struct {
	id       carawayspread.EndpointID
	inFlight atomic.Int64
	last     atomic.Pointer[receivedReport] // nil before the first report
	// crashed is when a crash was last reported, in Unix nanoseconds; zero when none was.
	crashed atomic.Int64
}

// receivedReport is a report with the state of this entry when it arrived. It is immutable.
type receivedReport struct {
	report   carawayspread.EndpointReport
	inFlight int64 // attempts of this entry that were in flight when the report arrived
}

// update stores the report unless a newer one is known, since datagrams can arrive out of order. It
// reports whether the role or the resident models changed.
func (e *endpoint) update(report carawayspread.EndpointReport) bool {
	if report.Crashed {
		e.crashed.Store(report.MeasuredAt.UnixNano())
	}
	next := &receivedReport{report: report, inFlight: e.inFlight.Load()}
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

// load returns the utilisation of the slots; 1 means that all are taken. The reported load is
// corrected by the attempts that this entry has started and ended since. A report loses its weight
// as it ages, so that missing reports do not direct all work to the endpoints that were idle last.
func (e *endpoint) load(now time.Time) float64 {
	inFlight := e.inFlight.Load()
	last := e.last.Load()
	if last == nil {
		return float64(inFlight) / unknownSlots
	}
	report := &last.report
	slots := float64(max(1, report.Slots))
	reported := float64(report.Running+report.Waiting) + float64(inFlight-last.inFlight)
	weight := 1 - min(1, float64(now.Sub(report.MeasuredAt))/float64(reportTTL))
	return max(0, weight*reported+(1-weight)*float64(inFlight)) / slots
}

// full reports whether a very recent report shows a long queue. Refusals carry the load, so that an
// entry does not try the endpoint again at once.
func (e *endpoint) full(now time.Time) bool {
	last := e.last.Load()
	return last != nil && now.Sub(last.report.MeasuredAt) < fullTTL && e.load(now) >= fullLoad
}

// unavailable reports whether the endpoint is draining or has crashed according to its last report.
// A reported crash is believed for crashTTL only: the sidecar may be gone and its endpoint may run
// again under another one.
func (e *endpoint) unavailable(now time.Time) bool {
	last := e.last.Load()
	if last == nil {
		return false
	}
	if last.report.Draining {
		return true
	}
	return last.report.Crashed && now.Sub(last.report.MeasuredAt) < crashTTL
}

// role returns the reported role; an endpoint that reported none takes all work.
func (e *endpoint) role() carawayspread.Role {
	last := e.last.Load()
	if last == nil || last.report.Role == "" {
		return carawayspread.RoleBoth
	}
	return last.report.Role
}

// holds reports whether the model is resident, or may be because its residency is unknown.
func (e *endpoint) holds(model string) bool {
	last := e.last.Load()
	if model == "" || last == nil || last.report.Models == nil {
		return true
	}
	return slices.Contains(last.report.Models, model)
}
