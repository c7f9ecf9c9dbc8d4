package rolepolicy

import (
	"math"
	"time"

	"carawayspread"
)

var (
	_ = carawayspread.RolePolicies.Register("forecast", func(env carawayspread.Environment) carawayspread.RolePolicy {
		return New(env)
	})
	_ = carawayspread.RolePolicies.Register("static", func(carawayspread.Environment) carawayspread.RolePolicy {
		return static{}
	})
	_ = carawayspread.RolePolicies.Register("threshold", func(carawayspread.Environment) carawayspread.RolePolicy {
		return threshold{}
	})
)

// static never changes a role.
type static struct{}

func (static) Plan([]carawayspread.RoleState, carawayspread.Demand) []carawayspread.RoleChange {
	return nil
}

// thresholdBand is the deviation of the prefill engines' share from the prefill share of the load
// from which on threshold changes an engine.
const (
	thresholdBand    = 0.05
	thresholdHorizon = time.Minute // in which queued work is to be served
)

// threshold moves one engine whenever the share of the engines that prefill differs from the
// prefill share of the load that arrived since the last plan. It is the rule of thumb that
// operators script.
type threshold struct{}

func (threshold) Plan(engines []carawayspread.RoleState, demand carawayspread.Demand) []carawayspread.RoleChange {
	f := newFleet(engines)
	if f.prefillRate == 0 || f.decodeRate == 0 || f.changing > 0 {
		return nil
	}
	work := newLoad(demand, f, thresholdHorizon)
	if work.total() == 0 {
		return nil
	}
	total := f.split.total()
	wanted := min(total-1, max(1, int(math.Round(work.prefillShare()*float64(total)))))
	deviation := float64(wanted-f.split.prefill) / float64(total)
	for _, engine := range f.engines {
		switch {
		case deviation >= thresholdBand && engine.Role != carawayspread.RolePrefill:
			return newChange(engine, carawayspread.RolePrefill)
		case deviation <= -thresholdBand && engine.Role != carawayspread.RoleDecode:
			return newChange(engine, carawayspread.RoleDecode)
		}
	}
	return nil
}

func newChange(engine carawayspread.RoleState, to carawayspread.Role) []carawayspread.RoleChange {
	return []carawayspread.RoleChange{{Endpoint: engine.Endpoint, From: engine.Role, To: to}}
}
