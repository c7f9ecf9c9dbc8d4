package placement

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/decision/sizeshares"
)

// owing returns shares of which each class is owed more than one admission.
func owing() *sizeshares.Shares {
	shares := sizeshares.New()
	for range 100 {
		shares.Admitted(0)
	}
	shares.Unserved(0, 2)
	return shares
}

// Guards against SHORT by admissions that count though nobody got an answer: what such a request has
// taken is owed to its size again, once, and a request that is placed again has taken nothing more.
func TestAdmissionWithoutAnswerIsOwedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		served bool
		owed   float64
	}{
		"answered":     {true, 0},
		"not answered": {false, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay("estimate", true, 1, 2, 2)
			p := r.placers[0].(*Placer)
			req := r.placing(short)
			at, err := p.Place(req)
			qt.Assert(t, err, qt.IsNil)
			shares := p.shares[req.Route.Name]
			qt.Check(t, shares.Owed(at.SizeClass), qt.Equals, 0.0)
			req.Repeated, req.Admission = true, at.Admission
			again, err := p.Place(req)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, again.Admission, qt.Equals, at.Admission)
			for range 2 {
				at.Admission.End(test.served)
			}
			owed := shares.Owed(at.SizeClass)
			qt.Check(t, math.Abs(owed-test.owed) < 1e-9, qt.IsTrue, qt.Commentf("%v", owed))
		})
	}
}

// Guards against an owed request that is admitted although its caller will have left, or is refused
// while its caller still waits.
func TestOwedRequestIsAdmittedUntilItsCallerLeaves(t *testing.T) {
	for name, test := range map[string]struct {
		patience time.Duration
		owed     bool
		admitted bool
	}{
		"owed, the caller waits":       {3 * time.Second, true, true},
		"owed, the caller will leave":  {200 * time.Millisecond, true, false},
		"owed, nothing but a deadline": {0, true, true},
		"not owed":                     {3 * time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay("estimate", true, 1, 2, 2)
			p := r.placers[0].(*Placer)
			for _, e := range p.pools["s"].engines {
				e.addPrefill(r.clock.Now(), 2*time.Second)
			}
			large := long
			large.priority, large.patience = 2, test.patience
			req := r.placing(large)
			if test.owed {
				p.shares[req.Route.Name] = owing()
			}
			at, err := p.Place(req)
			qt.Check(t, err == nil, qt.Equals, test.admitted, qt.Commentf("expected after %v", at.TimeToFirstEvent))
			qt.Check(t, at.Urgent, qt.Equals, test.admitted)
			if test.admitted {
				qt.Check(t, at.Admission, qt.IsNotNil)
				req.Admitted = true
				at, _ = p.Place(req)
				qt.Check(t, at.Admission, qt.IsNil, qt.Commentf("admitted elsewhere"))
			} else if refusal, ok := carawayspread.AsError(err); qt.Check(t, ok, qt.IsTrue) {
				qt.Check(t, refusal.NotRun(), qt.IsTrue)
			}
		})
	}
}
