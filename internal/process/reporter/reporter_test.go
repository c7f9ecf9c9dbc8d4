package reporter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/connection/control"
	"carawayspread/internal/process/reporter"
)

// Guards against changes that reach entries late: a change must be in the next two reports, as one
// may be lost. Small variations of a rate wait for the periodic full report.
func TestChangeIsReportedAtOnce(t *testing.T) {
	tests := map[string]struct {
		change func(*control.EndpointLoad, *reporter.Reporter)
		full   bool
	}{
		"role":         {full: true, change: func(l *control.EndpointLoad, _ *reporter.Reporter) { l.Role = "decode" }},
		"models":       {full: true, change: func(l *control.EndpointLoad, _ *reporter.Reporter) { l.Models = []string{"b"} }},
		"rate doubled": {full: true, change: func(l *control.EndpointLoad, _ *reporter.Reporter) { l.DecodeRate *= 2 }},
		"rate varies":  {full: false, change: func(l *control.EndpointLoad, _ *reporter.Reporter) { l.DecodeRate *= 1.1 }},
		"new entry":    {full: true, change: func(_ *control.EndpointLoad, r *reporter.Reporter) { r.ForceFull() }},
		"load":         {full: false, change: func(l *control.EndpointLoad, _ *reporter.Reporter) { l.Running++ }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := reporter.New("sidecar-1", time.Unix(1, 0))
			load := &control.EndpointLoad{Endpoint: "a", Slots: 16, Role: "both", DecodeRate: 100, Models: []string{"a"}}
			next := func() *control.LoadReport { return r.Next([]*control.EndpointLoad{load}, 1, false) }
			for range 3 {
				next()
			}
			test.change(load, r)
			for range 2 {
				qt.Check(t, next().GetSinceFull() == 0, qt.Equals, test.full)
			}
		})
	}
}
