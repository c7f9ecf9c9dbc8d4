package placement

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/decision/sizeshares"
)

// owing returns the admissions of a route after so many admissions of its smallest requests.
func owing(admitted int) *admissions {
	a := &admissions{shares: sizeshares.New(), overrun: 1}
	for range admitted {
		a.shares.Admitted(0)
	}
	return a
}

// Guards against SHORT by admissions that count though nobody got an answer: what such a request has
// taken is owed to its size again, once, and a request that is placed again has taken nothing more.
func TestAdmissionWithoutAnswerIsOwedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		served bool
		taken  float64
	}{
		"answered":     {true, 1},
		"not answered": {false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay("estimate", true, 1, 2, 2)
			p := r.placers[0].(*Placer)
			req := r.placing(short)
			p.admissions[req.Route.Name] = owing(30)
			at, err := p.Place(req)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, at.Owed > 1, qt.IsTrue)
			req.Repeated, req.Admission = true, at.Admission
			again, err := p.Place(req)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, again.Admission, qt.Equals, at.Admission)
			for range 2 {
				at.Admission.End(test.served, 0)
			}
			taken := at.Owed - p.admissions[req.Route.Name].shares.Owed(at.SizeClass)
			qt.Check(t, math.Abs(taken-test.taken) < 0.5, qt.IsTrue, qt.Commentf("%v", taken))
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
				p.admissions[req.Route.Name] = owing(100)
			}
			p.admissionsOf(req.Route.Name).overrun = 4 // at its own priority the answer would come too late
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

// Guards against requests of an owed size that go before others, or are refused, though they would be
// answered at their own priority; and against ones that are admitted so late although answers of their
// route come too late for that.
func TestOwedRequestWaitsWhileItsCallerStays(t *testing.T) {
	for name, test := range map[string]struct {
		overrun  time.Duration // of answers that were expected after a tenth of a second
		admitted bool
	}{
		"answers come as expected":       {100 * time.Millisecond, true},
		"answers come far later":         {600 * time.Millisecond, false},
		"nothing is known of the answer": {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay("estimate", true, 1, 2, 2)
			p := r.placers[0].(*Placer)
			large := long
			large.priority, large.patience = 2, 3*time.Second
			req := r.placing(large)
			admissions := owing(6)
			p.admissions[req.Route.Name] = admissions
			for range 200 {
				(&admission{placer: p, of: admissions, expected: 100 * time.Millisecond}).End(true, test.overrun)
			}
			for _, e := range p.pools["s"].engines {
				e.addPrefill(r.clock.Now(), 900*time.Millisecond)
			}
			at, err := p.Place(req)
			qt.Check(t, err == nil, qt.Equals, test.admitted, qt.Commentf("expected after %v of %v", at.TimeToFirstEvent, at.Allowed))
			qt.Check(t, at.Urgent, qt.IsFalse)
		})
	}
}
