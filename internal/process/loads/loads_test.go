package loads_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/connection/control"
	"carawayspread/internal/process/loads"
	"carawayspread/internal/process/reporter"
)

// The first full reports of a sidecar, and later those with a changed endpoint, are
// lost. The partial reports that follow must be dropped, as their loads would be
// assigned to the wrong endpoints. The next full report follows within six reports,
// and from then on every report is usable again.
func TestLostFullReportIsReplaced(t *testing.T) {
	sender, completer := reporter.New("sidecar-1", time.Unix(1, 0)), loads.New()
	next := func(endpoints ...string) *control.LoadReport {
		reported := []*control.EndpointLoad{}
		for i, name := range endpoints {
			reported = append(reported, &control.EndpointLoad{Endpoint: name, Running: uint32(i), Slots: 16})
		}
		return sender.Next(reported, 1, false)
	}
	loseFull := func(endpoints ...string) {
		for range 2 {
			qt.Assert(t, next(endpoints...).GetSinceFull(), qt.Equals, uint32(0))
		}
	}
	expectRecovery := func(endpoints ...string) {
		dropped := 0
		for r := next(endpoints...); !completer.Complete(r); r = next(endpoints...) {
			dropped++
		}
		qt.Check(t, dropped, qt.Equals, 5)
		r := next(endpoints...)
		qt.Check(t, r.GetEndpoints(), qt.HasLen, 0)
		qt.Check(t, completer.Complete(r), qt.IsTrue)
		qt.Check(t, r.GetEndpoints(), qt.HasLen, len(endpoints))
	}
	loseFull("a", "b")
	expectRecovery("a", "b")
	loseFull("c", "b") // same number of endpoints, one replaced
	expectRecovery("c", "b")
}

func TestUnusableReports(t *testing.T) {
	endpoints := []*control.EndpointState{{EndpointHash: 1}, {EndpointHash: 2}}
	two := []uint32{1, 2}
	tests := map[string]*control.LoadReport{
		"follows another full report": {Instance: "a", Sequence: 9, SinceFull: 1, Running: two},
		"overtaken by a full report":  {Instance: "a", Sequence: 6, SinceFull: 2, Running: two},
		"of an unknown instance":      {Instance: "b", Sequence: 8, SinceFull: 1, Running: two},
		"too few loads":               {Instance: "a", Sequence: 8, SinceFull: 1, Running: two[:1]},
		"too few flags":               {Instance: "a", Sequence: 8, SinceFull: 1, Running: two, Flags: make([]control.EndpointFlag, 1)},
		"full report without loads":   {Instance: "a", Sequence: 8, Endpoints: endpoints},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			completer := loads.New()
			qt.Assert(t, completer.Complete(&control.LoadReport{Instance: "a", Sequence: 7, Endpoints: endpoints, Running: two}), qt.IsTrue)
			qt.Check(t, completer.Complete(r), qt.IsFalse)
		})
	}
}
