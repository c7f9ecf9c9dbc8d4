package entry

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"carawayspread"
	"carawayspread/internal/request/call"
)

// counters holds the metrics of one entry.
type counters struct {
	set *metrics.Set
}

func newCounters() *counters { return &counters{set: metrics.NewSet()} }

func (c *counters) refused(code carawayspread.Code) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`carawayspread_refusals_total{code=%q}`, code)).Inc()
}

func (c *counters) finished(class, end string, seconds float64) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`carawayspread_requests_total{class=%q,end=%q}`, class, end)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf(`carawayspread_request_seconds{class=%q}`, class)).Update(seconds)
}

func (c *counters) attemptFailed(code carawayspread.Code) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`carawayspread_failed_attempts_total{code=%q}`, code)).Inc()
}

// Metrics returns the entry's metrics.
func (e *Entry) Metrics() *metrics.Set { return e.counters.set }

func (e *Entry) event(c *call.Call) log.Interface {
	return e.log.WithFields(log.Fields{
		"requestId": c.ID(),
		"class":     c.Job().Class.Name(),
		"workspace": c.Job().Workspace,
		"service":   c.Service().Name(),
	})
}

func (e *Entry) logAttempt(c *call.Call, n int, failure *carawayspread.Error) {
	e.counters.attemptFailed(failure.Code())
	e.event(c).WithFields(log.Fields{
		"attempt": n,
		"code":    failure.Code(),
		"notRun":  failure.NotRun(),
	}).WithError(failure).Info("attempt failed")
}

func (e *Entry) finished(c *call.Call, answer *relay, end string) {
	took := e.clock.Now().Sub(c.Job().Arrived)
	e.counters.finished(c.Job().Class.Name(), end, took.Seconds())
	e.event(c).WithFields(log.Fields{
		"end":    end,
		"events": answer.events,
		"ms":     took.Milliseconds(),
	}).Info("request finished")
}

func (e *Entry) logRefusal(r *http.Request, c *call.Call, failure *carawayspread.Error) {
	if c != nil {
		return // logged by finished
	}
	e.log.WithFields(log.Fields{
		"path":   r.URL.Path,
		"code":   failure.Code(),
		"notRun": failure.NotRun(),
	}).Info("request refused")
}
