package loads_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/connection/control"
	"carawayspread/internal/process/loads"
	"carawayspread/internal/process/reporter"
)

// The entry knows the endpoints of a sidecar whose full reports were lost.
// The first full reports, and those that tell of another endpoint, do not
// arrive. What follows them is dropped, not taken for other endpoints; the next
// full report comes within six, and from it on every report counts again.
func TestLostFullReportHeals(t *testing.T) {
	from, entry := reporter.New("sidecar-1", time.Unix(1, 0)), loads.New()
	next := func(endpoints ...string) *control.LoadReport {
		reported := []*control.EndpointLoad{}
		for i, name := range endpoints {
			reported = append(reported, &control.EndpointLoad{Endpoint: name, Running: uint32(i), Slots: 16})
		}
		return from.Next(reported, 1, false)
	}
	lose := func(endpoints ...string) {
		for range 2 {
			qt.Assert(t, next(endpoints...).GetSinceFull(), qt.Equals, uint32(0))
		}
	}
	heal := func(endpoints ...string) {
		dropped := 0
		for r := next(endpoints...); !entry.Complete(r); r = next(endpoints...) {
			dropped++
		}
		qt.Check(t, dropped, qt.Equals, 5)
		r := next(endpoints...)
		qt.Check(t, r.GetEndpoints(), qt.HasLen, 0)
		qt.Check(t, entry.Complete(r), qt.IsTrue)
		qt.Check(t, r.GetEndpoints(), qt.HasLen, len(endpoints))
	}
	lose("a", "b")
	heal("a", "b")
	lose("c", "b") // as many endpoints, but others
	heal("c", "b")
}

func TestUnusableReports(t *testing.T) {
	endpoints := []*control.EndpointState{{EndpointHash: 1}, {EndpointHash: 2}}
	two := []uint32{1, 2}
	tests := map[string]*control.LoadReport{
		"follows another full one": {Instance: "a", Sequence: 9, SinceFull: 1, Running: two},
		"overtaken by a full one":  {Instance: "a", Sequence: 6, SinceFull: 2, Running: two},
		"of an unknown instance":   {Instance: "b", Sequence: 8, SinceFull: 1, Running: two},
		"too few loads":            {Instance: "a", Sequence: 8, SinceFull: 1, Running: two[:1]},
		"too few flags":            {Instance: "a", Sequence: 8, SinceFull: 1, Running: two, Flags: make([]control.EndpointFlag, 1)},
		"full one without loads":   {Instance: "a", Sequence: 8, Endpoints: endpoints},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			entry := loads.New()
			qt.Assert(t, entry.Complete(&control.LoadReport{Instance: "a", Sequence: 7, Endpoints: endpoints, Running: two}), qt.IsTrue)
			qt.Check(t, entry.Complete(r), qt.IsFalse)
		})
	}
}
