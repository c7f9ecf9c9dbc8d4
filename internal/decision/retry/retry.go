// Package retry decides whether a failed attempt is retried.
//
// Endpoints fail, fill up or leave while requests run, and in an overload every retry adds
// to the load. Without the policy, callers would see the failure of every endpoint, or
// retries would multiply the load until nothing is served in time, or work that must not
// run twice would do so.
//
// A request that provably did not run may be placed again. A request that may have run is
// sent again only if it is idempotent and the retry budget of its service allows it. The
// number of attempts is bounded, since the second attempt normally finds an endpoint that
// serves the request: five attempts all fail once in 3,000 requests when a fifth of all
// endpoints refuse.
package retry

import "carawayspread"

const maxAttempts = 5

// Verdict is the decision after a failed attempt.
type Verdict int

// Verdicts.
const (
	GiveUp  Verdict = iota // the failure is the final response
	Again                  // make another attempt
	Unknown                // the final response is that the outcome cannot be known
)

// Decide returns the decision after the failure of the attempt with that number, counted
// from 1. atMostOnce forbids a second run of the request.
func Decide(failure *carawayspread.Error, atMostOnce bool, attempt int, budget carawayspread.RetryBudget) Verdict {
	if atMostOnce && !failure.NotRun() {
		return Unknown
	}
	if attempt >= maxAttempts || permanent(failure.Code()) {
		return GiveUp
	}
	if !budget.Allow() {
		return GiveUp
	}
	return Again
}

// permanent reports whether an attempt at another endpoint would fail as well.
func permanent(code carawayspread.Code) bool {
	switch code {
	case carawayspread.CodeQuarantined, carawayspread.CodeDeadlineExceeded, carawayspread.CodeMalformed:
		return true
	default:
		return false
	}
}
