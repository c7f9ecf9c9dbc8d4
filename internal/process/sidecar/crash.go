package sidecar

import (
	"context"
	"net/http"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/decision/quarantine"
)

// crashReportTimeout limits the recording of a crash for the fleet.
const crashReportTimeout = 5 * time.Second

// checkQuarantine refuses a request that may crash the endpoint: one in quarantine, or
// a suspected one that was not sent as a trial.
func (s *Sidecar) checkQuarantine(r *http.Request, id carawayspread.EndpointID) *carawayspread.Error {
	fingerprint := fingerprintOf(r)
	if fingerprint == 0 {
		return nil
	}
	trial := isTrial(r)
	verdict, refusal := s.suspects.Decide(quarantine.Attempt{Fingerprint: fingerprint, Claimed: trial, Endpoint: id})
	switch {
	case verdict == quarantine.VerdictRefuse:
		return refusal
	case verdict == quarantine.VerdictTrial:
		return carawayspread.NewError(carawayspread.CodeSuspect, "the request was running when the endpoint crashed", carawayspread.NotRun())
	case trial:
		s.suspects.Suspected(fingerprint, "")
	}
	return nil
}

func isTrial(r *http.Request) bool { return r.Header.Get(sidecarhttp.HeaderTrial) != "" }

// crashed reports whether the endpoint no longer runs with that boot ID. If so, it
// records the requests that were running there as suspects, here and for the fleet.
func (s *Sidecar) crashed(worker *worker, boot string) bool {
	if worker.probe(context.Background(), s.once, s.clock.Now(), boot) {
		return false
	}
	running, trial := worker.takeSuspects(boot)
	if len(running) == 0 {
		return true
	}
	s.suspects.Crashed(quarantine.Crash{Endpoint: worker.spec.ID, At: s.clock.Now()}, running, trial)
	s.log.WithField("endpoint", worker.spec.ID).WithField("suspects", len(running)).Warn("endpoint crashed")
	go s.reportCrash(worker.spec.ID, running)
	return true
}

func (s *Sidecar) reportCrash(id carawayspread.EndpointID, running []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	if err := s.crashes.Crashed(ctx, id, running...); err != nil {
		s.log.WithField("endpoint", id).WithError(err).Warn("cannot record the crash")
	}
}
