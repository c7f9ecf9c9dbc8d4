package gateway

import (
	"context"
	"errors"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/bearer"
	"carawayspread/internal/decision/authentication"
)

const (
	// refreshWait bounds how long a request waits for newer evidence: many times a
	// good answer of the store, and less than most targets.
	refreshWait = 100 * time.Millisecond
	// askAgain is when a caller may come back whose key could not be checked: a
	// process asks the store for such requests once a second.
	askAgain = time.Second
)

// alwaysCurrent is the evidence of a gateway whose routes are given, not followed.
type alwaysCurrent struct{}

func (alwaysCurrent) Age() (time.Duration, bool)    { return 0, true }
func (alwaysCurrent) Refresh(context.Context) error { return nil }

// WithEvidence sets what bounds the age of the keys, the time in which a revoked key must
// have stopped, zero where none is promised, and the time in which an added one must work.
func WithEvidence(evidence carawayspread.ConfigFreshness, revoked, added time.Duration) Option {
	return func(g *Gateway) {
		g.evidence, g.access = evidence, authentication.Policy{RevocationBound: revoked, ActivationBound: added}
	}
}

// WithUsage is told of each request of a known workspace, once, when it is known to have
// begun to run so long ago.
func WithUsage(began func(workspace string, ago time.Duration)) Option {
	return func(g *Gateway) { g.began = began }
}

// Proven reports whether requests with an API key can be taken now, or need none.
func (g *Gateway) Proven() bool {
	routing := g.routing.Load()
	if routing == nil || routing.Keyring() == nil || g.access.RevocationBound <= 0 {
		return true
	}
	age, known := g.evidence.Age()
	return known && age <= g.access.RevocationBound
}

// admit finds the route of the request and the workspace of its API key. Where the
// key is not known, or may have been revoked, the store is asked once.
func (c *call) admit() *carawayspread.Error {
	for current := false; ; current = true {
		// The keys are loaded after their age was bounded: newer ones are no older.
		age, known := c.g.evidence.Age()
		if err := c.findRoute(); err != nil {
			return err
		}
		token, cause := c.credential()
		verdict := c.authenticate(authentication.Query{Token: token, Age: age, AgeKnown: known, Current: current})
		switch {
		case verdict == authentication.Accept:
			return nil
		case verdict == authentication.Reject:
			if current {
				c.g.rejections.Add(carawayspread.DigestKey(token))
			}
			return c.unauthenticated(cause)
		case current:
			return c.unproven(verdict, nil)
		}
		ctx, cancel := context.WithTimeout(c.r.Context(), refreshWait)
		err := c.g.evidence.Refresh(ctx)
		cancel()
		if err != nil {
			return c.unproven(verdict, err)
		}
	}
}

// credential returns the request's API key, and what is wrong with it where no
// workspace holds it.
func (c *call) credential() (token, cause string) {
	token, err := bearer.Token(c.r.Header)
	switch {
	case errors.Is(err, bearer.ErrMissing):
		return "", "missing"
	case err != nil:
		return "", "malformed"
	}
	return token, "unknown"
}

// authenticate decides on the API key.
func (c *call) authenticate(q authentication.Query) authentication.Verdict {
	if q.Keyring = c.routing.Keyring(); q.Keyring == nil {
		return authentication.Accept
	}
	q.Rejected = c.g.rejections.Contains(carawayspread.DigestKey(q.Token))
	workspace, verdict := c.g.access.Decide(q)
	switch {
	case verdict == authentication.Accept:
		c.workspace = workspace
	case c.route.Anonymous:
		return authentication.Accept
	}
	return verdict
}

func (c *call) unauthenticated(cause string) *carawayspread.Error {
	c.countRejection(cause)
	return carawayspread.NewError(carawayspread.CodeUnauthenticated, "no workspace holds the API key", carawayspread.NotRun())
}

// unproven refuses a request that may run elsewhere or later.
func (c *call) unproven(verdict authentication.Verdict, err error) *carawayspread.Error {
	after, cause := askAgain, "notAsked"
	if verdict == authentication.Unproven {
		after, cause = comeBack, "evidenceTooOld"
	}
	c.countRejection(cause)
	age, _ := c.g.evidence.Age()
	c.line.Ms("evidenceAgeMs", age)
	return carawayspread.NewError(carawayspread.CodeUnproven, "the API key cannot be checked now",
		carawayspread.NotRun(), carawayspread.RetryAfter(after), carawayspread.CausedBy(err))
}

func (c *call) countRejection(cause string) {
	c.line.Text("credential", cause)
	c.g.set.GetOrCreateCounter(`gateway_authentication_failures_total{cause="` + cause + `"}`).Inc()
}
