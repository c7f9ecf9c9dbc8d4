package admin

import (
	"net/http"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/adminapi"
	"carawayspread/internal/process/fleet"
	"carawayspread/internal/version/auditrecord"
	"carawayspread/internal/version/change"
)

// retryDelay is the Retry-After of answers while the table service cannot be read.
const retryDelay = 5 * time.Second

func (a *Admin) showConfig(r *http.Request) (any, error) {
	cfg := a.holder.Current(r.Context())
	age, _ := a.holder.Staleness()
	return adminapi.Configuration{
		Version: cfg.Version(), EvidenceAgeMs: age.Milliseconds(), Config: change.FromConfig(cfg),
	}, nil
}

func (a *Admin) history(r *http.Request) (any, error) {
	var after carawayspread.Version
	if r.URL.Query().Has(adminapi.ParamAfter) {
		var err error
		if after, err = versionOf(r, adminapi.ParamAfter); err != nil {
			return nil, err
		}
	}
	records, err := a.configLog.History(r.Context(), after)
	if err != nil {
		return nil, storeUnreadable(err)
	}
	answer := adminapi.History{Records: records}
	if len(records) > 0 {
		answer.Next = records[len(records)-1].Version
	}
	return answer, nil
}

func (a *Admin) audit(r *http.Request) (any, error) {
	day := a.clock.Now().UTC()
	if text := r.URL.Query().Get(adminapi.ParamDay); text != "" {
		var err error
		if day, err = time.Parse(time.DateOnly, text); err != nil {
			return nil, malformed("parameter day must be a date such as 2026-12-02")
		}
	}
	records, next, err := a.configLog.Audit(r.Context(), day, r.URL.Query().Get(adminapi.ParamAfter))
	if err != nil {
		return nil, storeUnreadable(err)
	}
	return adminapi.Audit{Day: day.Format(time.DateOnly), Records: records, Next: next}, nil
}

func storeUnreadable(cause error) error {
	return carawayspread.NewError(
		carawayspread.CodeStoreUnavailable, "the table service cannot be read now",
		carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay), carawayspread.CausedBy(cause),
	)
}

func (a *Admin) status(r *http.Request) (any, error) {
	cfg := a.holder.Current(r.Context())
	answer := adminapi.Status{Version: cfg.Version(), Instances: []adminapi.Instance{}}
	states, err := a.fleet.Status(r.Context(), cfg.Version())
	if err != nil {
		answer.ListError = "the instance list cannot be read"
		return answer, nil
	}
	answer.Instances = states
	answer.RolloutStatus = fleet.SummarizeRollout(states)
	return answer, nil
}

// drain forwards the drain to the instance and records it in the audit trail. It does not depend on
// the store: an instance must be able to leave the fleet while the store is down.
func (a *Admin) drain(r *http.Request) (any, error) {
	actor, err := actorOf(r)
	if err != nil {
		return nil, err
	}
	target, err := readDrainRequest(r)
	if err != nil {
		return nil, err
	}
	drained, err := a.fleet.Drain(r.Context(), target, actor)
	auditLine := auditrecord.AuditRecord{
		Actor: actor, Action: auditrecord.Drain, Verdict: auditrecord.Accepted, Touches: touched(target),
	}
	if typed, ok := carawayspread.AsError(err); ok {
		auditLine.Verdict, auditLine.Code, auditLine.Reason = auditrecord.Unknown, typed.Code(), typed.Message()
		if typed.NotRun() {
			auditLine.Verdict = auditrecord.Refused
		}
	}
	if auditErr := a.configLog.WriteAudit(r.Context(), auditLine); auditErr != nil {
		a.logger.WithField("actor", actor).WithError(auditErr).Warn("admin.auditUnwritten")
	}
	if err != nil {
		return nil, err
	}
	return drained, nil
}
