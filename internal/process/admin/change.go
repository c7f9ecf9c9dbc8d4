package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/adminapi"
	"carawayspread/internal/connection/callers"
	"carawayspread/internal/request/body"
	"carawayspread/internal/version/change"
	"carawayspread/internal/version/changelog"
	"carawayspread/internal/version/document"
	"carawayspread/internal/version/finding"
)

func (a *Admin) set(r *http.Request, kind resourceKind) (any, error) {
	text, err := readBody(r)
	if err != nil {
		return nil, err
	}
	return a.accept(r, kind.set(r.PathValue("name"), text))
}

func (a *Admin) delete(r *http.Request, kind resourceKind) (any, error) {
	return a.accept(r, kind.delete(r.PathValue("name")))
}

func (a *Admin) changeGroup(r *http.Request) (any, error) {
	text, err := readBody(r)
	if err != nil {
		return nil, err
	}
	return a.accept(r, change.Parse("", text))
}

// accept appends the change to the configuration log and returns in which instances it is in force,
// after waiting for the requested time.
func (a *Admin) accept(r *http.Request, c *change.Change) (any, error) {
	actor, err := actorOf(r)
	if err != nil {
		return nil, err
	}
	against, err := versionOf(r, adminapi.ParamAgainst)
	if err != nil {
		return nil, err
	}
	wait, err := waitOf(r)
	if err != nil {
		return nil, err
	}
	accepted, cfg, err := a.configLog.Append(r.Context(), changelog.Proposal{
		Change: c, Against: against, Actor: actor, Held: a.holder.Current(r.Context()),
	})
	if err != nil {
		var refusal *changelog.Refusal
		if errors.As(err, &refusal) {
			a.holder.ObserveVersion(refusal.Current())
		}
		return nil, err
	}
	a.holder.Adopt(cfg, accepted)
	return adminapi.ChangeResult{
		Version: accepted.Version, Replaced: against, Actor: actor, Attempt: accepted.Attempt,
		Touches: c.Touches(), RolloutStatus: a.awaitRollout(r.Context(), accepted.Version, wait),
	}, nil
}

// awaitRollout polls the instances until all confirm the version or the wait is over.
func (a *Admin) awaitRollout(ctx context.Context, version carawayspread.Version, wait time.Duration) adminapi.RolloutStatus {
	deadline := a.clock.Now().Add(wait)
	for {
		rollout := a.fleet.RolloutStatus(ctx, version)
		remaining := deadline.Sub(a.clock.Now())
		if rollout.InForce || remaining <= 0 {
			return rollout
		}
		select {
		case <-ctx.Done():
			return rollout
		case <-a.clock.After(min(rolloutPollInterval, remaining)):
		}
	}
}

func (a *Admin) checkConfig(r *http.Request) (any, error) {
	text, err := readBody(r)
	if err != nil {
		return nil, err
	}
	cfg := a.holder.Current(r.Context())
	checked := adminapi.CheckResult{Version: cfg.Version(), Findings: finding.List{}}
	var list finding.List
	if errors.As(change.Parse("", text).Check(cfg), &list) {
		checked.Findings = list
	}
	return checked, nil
}

func readBody(r *http.Request) ([]byte, error) {
	account := callers.AccountOf(r.Context())
	text, err := body.Read(account, r.Body, r.ContentLength, maxBodyBytes)
	if err == nil {
		err = account.Take(document.Memory(text))
	}
	if err == nil {
		err = account.Received()
	}
	var tooLarge body.TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return nil, carawayspread.NewError(
			carawayspread.CodeTooLarge, fmt.Sprintf("the body exceeds %d bytes", tooLarge.Limit()), carawayspread.NotRun(),
		)
	case errors.Is(err, carawayspread.ErrGivenUp):
		return nil, carawayspread.NewError(carawayspread.CodeOverloaded, err.Error(), carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
	case err != nil:
		return nil, malformed("the body cannot be read")
	}
	return text, nil
}

func actorOf(r *http.Request) (string, error) {
	actor := r.Header.Get(adminapi.HeaderActor)
	if actor == "" {
		return "", malformed("header X-Actor, who asks for this, is missing")
	}
	return actor, nil
}

// versionOf parses a required query parameter that holds a version.
func versionOf(r *http.Request, name string) (carawayspread.Version, error) {
	text := r.URL.Query().Get(name)
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, malformed(fmt.Sprintf("parameter %s must be a version number, is %q", name, text))
	}
	return carawayspread.Version(n), nil
}

func waitOf(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get(adminapi.ParamWait)
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, malformed(fmt.Sprintf("parameter wait must be a duration of at most %v, is %q", maxWait, text))
	}
	return wait, nil
}

func malformed(message string) error {
	return carawayspread.NewError(carawayspread.CodeMalformed, message, carawayspread.NotRun())
}
