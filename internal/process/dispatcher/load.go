package dispatcher

import "carawayspread"

// Reported passes a load report to the router. The reports of an endpoint must be
// passed in order.
func (d *Dispatcher) Reported(report carawayspread.EndpointReport) {
	s, ok := d.fleet.Load().states[report.Endpoint]
	if !ok {
		d.modules.Router.Reported(report)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// If the load of an answer was applied while this report waited for the lock, the
	// router would drop the report as the older one, and with it the mark that the
	// endpoint drains. The report therefore gets a time after that load.
	if !report.MeasuredAt.After(s.last.MeasuredAt) {
		report.MeasuredAt = s.last.MeasuredAt.Add(1)
	}
	s.last = report
	d.modules.Router.Reported(report)
}

// UpdateLoad applies the load that arrived with an answer. It updates the last report,
// which holds what an answer lacks: role, models, rates and drain.
//
// Only a report clears a crash, since the answer may have begun before it. Without
// an earlier report nothing is passed on: a report without models would attract the
// requests of every model to the endpoint.
func (s *Slot) UpdateLoad(running, waiting, slots int) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	now := s.dispatcher.clock.Now()
	if s.state.last.Endpoint == "" || s.state.last.Crashed || !now.After(s.state.last.MeasuredAt) {
		return
	}
	next := s.state.last
	next.MeasuredAt, next.Running, next.Waiting, next.Slots = now, running, waiting, slots
	s.state.last = next
	s.dispatcher.modules.Router.Reported(next)
}

// lastReport returns the last report; its MeasuredAt is zero before the first.
func (s *endpointState) lastReport() carawayspread.EndpointReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// lastSlots returns the slots of the last report, or fallback before the first.
func (s *endpointState) lastSlots(fallback int) int {
	last := s.lastReport()
	switch {
	case last.MeasuredAt.IsZero():
		return fallback
	case last.Crashed || last.Draining:
		return 0
	default:
		return last.Slots
	}
}
