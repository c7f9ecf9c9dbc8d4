package sidecar

import (
	"context"
	"net/http"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/decision/quarantine"
)

const (
	// crashReportTimeout limits the recording of a crash for the fleet.
	crashReportTimeout = 5 * time.Second
	// abandonedCheckDelay is the time from the end of an abandoned request to the check of its
	// endpoint, which may crash a little later.
	abandonedCheckDelay = 50 * time.Millisecond
	// endChecks is how often an endpoint is asked whether it runs, as a question may be lost.
	endChecks = 3
)

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
	s.recordCrash(worker, boot)
	return true
}

// checkEnd returns how an answer ended without a mark, after a moment: sidecarhttp.EndUnmarked only if the endpoint is
// found to run. It records a crash of the endpoint.
func (s *Sidecar) checkEnd(worker *worker, boot string) string {
	var err error
	for range endChecks {
		<-s.clock.After(abandonedCheckDelay)
		if worker.isGone(context.Background(), s.once, boot) {
			s.recordCrash(worker, boot)
			return sidecarhttp.EndCrashed
		}
		if err = worker.accepts(context.Background()); err == nil {
			return sidecarhttp.EndUnmarked
		}
	}
	s.set.GetOrCreateCounter(`carawayspread_unproved_ends_total`).Inc()
	s.log.WithField("endpoint", worker.spec.ID).WithField("error", err).Info("answer cut: the endpoint does not say whether it runs")
	return sidecarhttp.EndCut
}

// endRecord ends the record of a request that ran. One whose caller left, or whose time was up, stays
// on record until the endpoint has been checked: its connection is closed, so that nothing else shows
// whether it crashed the endpoint.
func (s *Sidecar) endRecord(r *http.Request, worker *worker, boot string, fingerprint uint64, end string) {
	if end != sidecarhttp.EndCut || r.Context().Err() == nil {
		worker.recordEnd(fingerprint)
		return
	}
	go func() {
		defer worker.recordEnd(fingerprint)
		<-s.clock.After(abandonedCheckDelay)
		if worker.isGone(context.Background(), s.once, boot) {
			s.recordCrash(worker, boot)
		}
	}()
}

// recordCrash records the requests that were running on the endpoint with that boot ID as suspects,
// here and for the fleet, unless that was done before.
func (s *Sidecar) recordCrash(worker *worker, boot string) {
	running, trial := worker.takeSuspects(boot)
	if len(running) == 0 {
		return
	}
	s.suspects.Crashed(quarantine.Crash{Endpoint: worker.spec.ID, At: s.clock.Now()}, running, trial)
	s.log.WithField("endpoint", worker.spec.ID).WithField("suspects", len(running)).Warn("endpoint crashed")
	go s.reportCrash(worker.spec.ID, running)
}

func (s *Sidecar) reportCrash(id carawayspread.EndpointID, running []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	if err := s.crashes.Crashed(ctx, id, running...); err != nil {
		s.log.WithField("endpoint", id).WithError(err).Warn("cannot record the crash")
	}
}
