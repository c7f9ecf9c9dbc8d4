package dispatcher

import "carawayspread"

// Reported passes a load report to the router. The reports of an endpoint must
// come in order.
func (l *Dispatcher) Reported(report carawayspread.EndpointReport) {
	slot, ok := l.fleet.Load().slots[report.Endpoint]
	if !ok {
		l.modules.Router.Reported(report)
		return
	}
	slot.mu.Lock()
	defer slot.mu.Unlock()
	// Failure: a load from an answer was told while this report waited here.
	// Symptom: the router takes the report for the older one and drops it with
	// its mark that the endpoint drains. It is dated after that load.
	if !report.MeasuredAt.After(slot.last.MeasuredAt) {
		report.MeasuredAt = slot.last.MeasuredAt.Add(1)
	}
	slot.last = report
	l.modules.Router.Reported(report)
}

// UpdateLoad tells the load that came with an answer. It renews the last report,
// which says what an answer does not: role, models, rates and drain.
//
// A crash is cleared by a report alone, since the answer may have begun before.
// Without any report nothing is told: a report that names no models would draw
// the work of every model to the endpoint.
func (p *Slot) UpdateLoad(running, waiting, slots int) {
	p.slot.mu.Lock()
	defer p.slot.mu.Unlock()
	now := p.lane.clock.Now()
	if p.slot.last.Endpoint == "" || p.slot.last.Crashed || !now.After(p.slot.last.MeasuredAt) {
		return
	}
	next := p.slot.last
	next.MeasuredAt, next.Running, next.Waiting, next.Slots = now, running, waiting, slots
	p.slot.last = next
	p.lane.modules.Router.Reported(next)
}

// lastReport returns the last report; its time is zero before the first.
func (s *endpointState) lastReport() carawayspread.EndpointReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// lastSlots returns the slots that the last report tells; unknown before it.
func (s *endpointState) lastSlots(unknown int) int {
	last := s.lastReport()
	switch {
	case last.MeasuredAt.IsZero():
		return unknown
	case last.Crashed || last.Draining:
		return 0
	default:
		return last.Slots
	}
}
