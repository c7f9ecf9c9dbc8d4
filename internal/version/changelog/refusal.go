package changelog

import (
	"fmt"
	"time"

	"carawayspread"
	"carawayspread/internal/version/finding"
	"carawayspread/internal/version/record"
)

// retryDelay is when an operator may retry after a failure of the platform.
const retryDelay = 5 * time.Second

// Refusal is the error of a change that was not accepted, or whose outcome is unknown.
type Refusal struct {
	err      *carawayspread.Error
	attempt  string
	current  carawayspread.Version // the newest known; zero if the store is unavailable or the outcome unknown
	since    []record.Record       // accepted after the version that the operator saw
	findings finding.List          // of a change that does not pass the checks
}

func (r *Refusal) Error() string { return r.err.Error() }

// Unwrap returns the typed error.
func (r *Refusal) Unwrap() error { return r.err }

// Attempt returns the token of the attempt.
func (r *Refusal) Attempt() string { return r.attempt }

// Current returns the newest version known; zero when the store is unavailable or the outcome is
// unknown.
func (r *Refusal) Current() carawayspread.Version { return r.current }

// Since returns the changes accepted after the version that the operator saw. The operator's change
// would have overwritten them without the operator having seen them.
func (r *Refusal) Since() []record.Record { return r.since }

// Findings returns the findings of the checks.
func (r *Refusal) Findings() finding.List { return r.findings }

func storeUnavailable(cause error) *Refusal {
	return &Refusal{err: carawayspread.NewError(
		carawayspread.CodeStoreUnavailable,
		"the table service cannot be reached; the change was not accepted and nothing was written",
		carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay), carawayspread.CausedBy(cause),
	)}
}

func conflict(against, current carawayspread.Version, since []record.Record) *Refusal {
	message := fmt.Sprintf("the change was made against version %d, the newest is %d", against, current)
	if len(since) > 0 {
		last := since[len(since)-1]
		message += fmt.Sprintf(", accepted from %s; look at it and make the change again", last.Actor)
	}
	return &Refusal{
		err:     carawayspread.NewError(carawayspread.CodeConflict, message, carawayspread.NotRun()),
		current: current,
		since:   since,
	}
}

func invalid(current carawayspread.Version, findings finding.List) *Refusal {
	message := fmt.Sprintf("the change does not pass the checks, findings: %d", len(findings))
	return &Refusal{
		err:      carawayspread.NewError(carawayspread.CodeInvalid, message, carawayspread.NotRun()),
		current:  current,
		findings: findings,
	}
}

func unknown(version carawayspread.Version, attempt string, cause error) *Refusal {
	message := fmt.Sprintf("whether the change became version %d cannot be known now; "+
		"once version %d exists, the change was accepted if and only if its attempt is %s", version, version, attempt)
	return &Refusal{err: carawayspread.NewError(
		carawayspread.CodeUnknownOutcome, message,
		carawayspread.RetryAfter(retryDelay), carawayspread.CausedBy(cause),
	)}
}
