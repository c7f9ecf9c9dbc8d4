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
	// refreshTimeout bounds how long a request waits for a newer configuration: many times the
	// latency of a healthy store, and less than most latency targets.
	refreshTimeout = 100 * time.Millisecond
	// refreshRetryDelay is the Retry-After for a caller whose key could not be checked. For such
	// requests a process queries the store once a second.
	refreshRetryDelay = time.Second
)

// alwaysCurrent is the freshness of a configuration that is given once and not followed.
type alwaysCurrent struct{}

func (alwaysCurrent) Age() (time.Duration, bool)    { return 0, true }
func (alwaysCurrent) Refresh(context.Context) error { return nil }

// WithConfigFreshness sets the source of the age of the configuration, the time after which a
// revoked key must be refused (zero for no such guarantee), and the time after which an added key
// must be accepted.
func WithConfigFreshness(freshness carawayspread.ConfigFreshness, revoked, added time.Duration) Option {
	return func(g *Gateway) {
		g.freshness, g.keyPolicy = freshness, authentication.Policy{RevocationBound: revoked, ActivationBound: added}
	}
}

// WithUsage sets the function that records usage. It is called once for each request of a known
// workspace, when the request is known to have started running, with the time since then.
func WithUsage(record func(workspace string, ago time.Duration)) Option {
	return func(g *Gateway) { g.recordUsage = record }
}

// CanAuthenticate reports whether API keys can be checked now. It is also true where no routes are
// known, no route requires a key, or no time is guaranteed for revoked keys.
func (g *Gateway) CanAuthenticate() bool {
	routing := g.routing.Load()
	if routing == nil || routing.Keyring() == nil || g.keyPolicy.RevocationBound <= 0 {
		return true
	}
	age, known := g.freshness.Age()
	return known && age <= g.keyPolicy.RevocationBound
}

// routeAndAuthenticate finds the route of the request and the workspace of its API key. Where the
// key is unknown or may have been revoked, it queries the store once for a newer configuration.
func (c *call) routeAndAuthenticate() *carawayspread.Error {
	for current := false; ; current = true {
		// The age is taken before the keys are loaded: keys of a newer configuration, which may
		// arrive in between, are no older than that.
		age, known := c.g.freshness.Age()
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
		ctx, cancel := context.WithTimeout(c.r.Context(), refreshTimeout)
		err := c.g.freshness.Refresh(ctx)
		cancel()
		if err != nil {
			return c.unproven(verdict, err)
		}
	}
}

// credential returns the request's API key, and the reason to record where it is rejected.
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

// authenticate decides on the API key, and sets the workspace where the key is accepted.
// Without a keyring, and on anonymous routes, every request is accepted.
func (c *call) authenticate(q authentication.Query) authentication.Verdict {
	if q.Keyring = c.routing.Keyring(); q.Keyring == nil {
		return authentication.Accept
	}
	q.Rejected = c.g.rejections.Contains(carawayspread.DigestKey(q.Token))
	workspace, verdict := c.g.keyPolicy.Decide(q)
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

// unproven returns the refusal of a request whose key cannot be checked now. The request may be
// accepted by another process, or later.
func (c *call) unproven(verdict authentication.Verdict, err error) *carawayspread.Error {
	after, cause := refreshRetryDelay, "notAsked"
	if verdict == authentication.Unproven {
		after, cause = retryDelay, "evidenceTooOld"
	}
	c.countRejection(cause)
	age, _ := c.g.freshness.Age()
	c.line.Ms("evidenceAgeMs", age)
	return carawayspread.NewError(carawayspread.CodeUnproven, "the API key cannot be checked now",
		carawayspread.NotRun(), carawayspread.RetryAfter(after), carawayspread.CausedBy(err))
}

func (c *call) countRejection(cause string) {
	c.line.Text("credential", cause)
	c.g.set.GetOrCreateCounter(`gateway_authentication_failures_total{cause="` + cause + `"}`).Inc()
}
