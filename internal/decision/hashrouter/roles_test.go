package hashrouter

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Half of the engines only prefill. A decode phase that is handed over must reach an engine that
// decodes without counting as outside affinity, since such a job needs a trial claim from the table
// first. A long prompt must go to an engine that only prefills.
func TestPickByRole(t *testing.T) {
	roles := map[carawayspread.EndpointID]carawayspread.Role{}
	var ids []carawayspread.EndpointID
	for n := range 8 {
		id := carawayspread.EndpointID(fmt.Sprint("e", n))
		ids = append(ids, id)
		roles[id] = []carawayspread.Role{carawayspread.RolePrefill, carawayspread.RoleBoth}[n%2]
	}
	r, clock := newTestRouter(1, ids...)
	for range 2 {
		clock.Advance(rebuildAfter)
		for _, id := range ids {
			r.Reported(carawayspread.EndpointReport{Endpoint: id, MeasuredAt: clock.Now(), Slots: 8, Role: roles[id]})
		}
	}
	tests := map[string]struct {
		phase   carawayspread.Role
		prefill int
		want    carawayspread.Role
	}{
		"whole":        {prefill: 2 * longPrompt, want: carawayspread.RoleBoth},
		"answer":       {phase: carawayspread.RoleDecode, want: carawayspread.RoleBoth},
		"short prompt": {phase: carawayspread.RolePrefill, prefill: longPrompt / 8, want: carawayspread.RoleBoth},
		"long prompt":  {phase: carawayspread.RolePrefill, prefill: 2 * longPrompt, want: carawayspread.RolePrefill},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for n := range uint64(200) {
				job := &carawayspread.Job{Phase: test.phase, Prefix: 1 + n%16, Fingerprint: n}
				job.Cost.Prefill = test.prefill
				choice := r.Pick(job, freeExcept())
				qt.Assert(t, choice.OutsideAffinity, qt.IsFalse)
				qt.Assert(t, roles[choice.Endpoint], qt.Equals, test.want)
			}
		})
	}
}
