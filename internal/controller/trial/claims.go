package trial

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"carawayspread"
	"carawayspread/internal/decision/quarantine"
)

const (
	partition = "quarantine"
	// defaultClaimTimeout bounds a trial. It covers the longest request and the clock difference
	// between processes.
	defaultClaimTimeout = 3 * time.Minute
	// defaultDuration is how long a request stays quarantined.
	defaultDuration = 10 * time.Minute
	// maxCrashedEndpoints is the number of endpoints that one request may crash.
	maxCrashedEndpoints = 2
	// storeRetryAfter is the Retry-After of refusals while the table does not respond.
	storeRetryAfter = 5 * time.Second
	// maxAttempts bounds the attempts of an update that conflicts with writes of other processes.
	maxAttempts = 4
)

// state is the body of an item.
type state struct {
	CrashedEndpoints []carawayspread.EndpointID `json:"victims,omitempty"` // endpoints that the request crashed, distinct
	ClaimedBy        string                     `json:"claimedBy,omitempty"`
	ClaimEnds        time.Time                  `json:"claimEnds,omitzero"`
	QuarantinedUntil time.Time                  `json:"convicted,omitzero"`   // end of the quarantine
	ForgetAfter      time.Time                  `json:"forgetAfter,omitzero"` // the item is ignored afterwards
}

// Claims records crashes and claims trials for one process. It is safe for concurrent use.
type Claims struct {
	table        carawayspread.Table
	clock        carawayspread.Clock
	instance     string // owner of the claims of this process, unique
	claimTimeout time.Duration
	duration     time.Duration

	mu      sync.Mutex
	running map[uint64]bool // trials of this process that have not ended
}

// Option configures Claims.
type Option func(*Claims)

// Duration sets how long a request stays quarantined.
func Duration(d time.Duration) Option { return func(c *Claims) { c.duration = d } }

// ClaimTimeout sets how long a claim is valid without a result.
func ClaimTimeout(d time.Duration) Option { return func(c *Claims) { c.claimTimeout = d } }

// New returns the Claims of the process with this unique name.
func New(table carawayspread.Table, clock carawayspread.Clock, instance string, opts ...Option) *Claims {
	c := &Claims{table: table, clock: clock, instance: instance, claimTimeout: defaultClaimTimeout, duration: defaultDuration, running: map[uint64]bool{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Crashed records that the endpoint crashed while the requests with the running fingerprints ran
// there. Both the sidecar and the entries that lost an answer call it; the same endpoint counts
// once per request. It updates every request and returns the last error.
func (c *Claims) Crashed(ctx context.Context, endpoint carawayspread.EndpointID, running ...uint64) error {
	var lastErr error
	for _, fingerprint := range running {
		err := c.update(ctx, fingerprint, func(s *state) bool {
			s.addCrashedEndpoint(endpoint)
			s.ForgetAfter = c.clock.Now().Add(c.duration)
			if len(s.CrashedEndpoints) >= maxCrashedEndpoints && s.ClaimedBy == "" {
				s.QuarantinedUntil = s.ForgetAfter
			}
			return true
		})
		if err != nil {
			lastErr = err
		}
	}
	return lastErr
}

// Claim claims the trial of a request and returns the endpoints that the request is known to have
// crashed. The error is marked as not run. It is returned if another trial is running, the request
// is quarantined, or the table does not respond.
func (c *Claims) Claim(ctx context.Context, fingerprint uint64) ([]carawayspread.EndpointID, *carawayspread.Error) {
	if !c.begin(fingerprint) {
		return nil, c.runningRefusal(c.claimTimeout)
	}
	crashedEndpoints, refusal := c.claimInTable(ctx, fingerprint)
	if refusal != nil {
		c.finish(fingerprint)
	}
	return crashedEndpoints, refusal
}

func (c *Claims) claimInTable(ctx context.Context, fingerprint uint64) ([]carawayspread.EndpointID, *carawayspread.Error) {
	var refusal *carawayspread.Error
	var crashedEndpoints []carawayspread.EndpointID
	err := c.update(ctx, fingerprint, func(s *state) (write bool) {
		refusal, write = c.claim(s)
		crashedEndpoints = s.CrashedEndpoints
		return write
	})
	if err != nil {
		return nil, carawayspread.NewError(carawayspread.CodeStoreUnavailable, "a request that may be harmful waits for the table service",
			carawayspread.NotRun(), carawayspread.RetryAfter(storeRetryAfter), carawayspread.CausedBy(err))
	}
	return crashedEndpoints, refusal
}

func (c *Claims) claim(s *state) (refusal *carawayspread.Error, write bool) {
	now := c.clock.Now()
	switch {
	case now.Before(s.QuarantinedUntil):
		return quarantine.Refusal(s.QuarantinedUntil.Sub(now)), false
	case s.ClaimedBy == c.instance:
		// A claim of this process whose write was not known to have taken effect. Its trial is not
		// running, since begin would have refused it.
		s.ClaimEnds = now.Add(c.claimTimeout)
		return nil, true
	case s.ClaimedBy != "" && now.Before(s.ClaimEnds):
		return c.runningRefusal(s.ClaimEnds.Sub(now)), false
	case s.ClaimedBy != "" || len(s.CrashedEndpoints) >= maxCrashedEndpoints:
		s.setQuarantined(now.Add(c.duration))
		return quarantine.Refusal(c.duration), true
	}
	s.ClaimedBy, s.ClaimEnds = c.instance, now.Add(c.claimTimeout)
	s.ForgetAfter = s.ClaimEnds.Add(c.duration)
	return nil, true
}

func (c *Claims) runningRefusal(left time.Duration) *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeSuspect, "the request is being tried alone after a crash",
		carawayspread.NotRun(), carawayspread.RetryAfter(left))
}

func (c *Claims) begin(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[fingerprint] {
		return false
	}
	c.running[fingerprint] = true
	return true
}

func (c *Claims) finish(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, fingerprint)
}

// End records the outcome of a trial that this process claimed. A served request is no longer a
// suspect. A refusal that is proven not run, a cancellation by the caller and an unreachable
// endpoint leave it a suspect. After any other outcome, which may be its second crash, it is
// quarantined.
func (c *Claims) End(ctx context.Context, fingerprint uint64, outcome carawayspread.Outcome) error {
	defer c.finish(fingerprint)
	return c.update(ctx, fingerprint, func(s *state) bool {
		if s.ClaimedBy != c.instance {
			return false
		}
		now := c.clock.Now()
		switch outcome {
		case carawayspread.OutcomeServed:
			*s = state{}
		case carawayspread.OutcomeRefused, carawayspread.OutcomeCancelled, carawayspread.OutcomeUnreachable:
			s.ClaimedBy, s.ClaimEnds = "", time.Time{}
		default:
			s.setQuarantined(now.Add(c.duration))
		}
		return true
	})
}

// update changes one item with a conditional write and repeats this if another process wrote
// first.
func (c *Claims) update(ctx context.Context, fingerprint uint64, change func(*state) bool) error {
	key := carawayspread.Key{Partition: partition, Sort: strconv.FormatUint(fingerprint, 16)}
	var err error
	for range maxAttempts {
		var item carawayspread.Item
		var s state
		if item, s, err = c.read(ctx, key); err != nil {
			return err
		}
		if !change(&s) {
			return nil
		}
		err = c.write(ctx, key, item.Rev, s)
		if !errors.Is(err, carawayspread.ErrCondition) {
			return err
		}
	}
	return err
}

func (c *Claims) read(ctx context.Context, key carawayspread.Key) (item carawayspread.Item, s state, err error) {
	item, err = c.table.Get(ctx, key)
	if errors.Is(err, carawayspread.ErrNoItem) {
		return item, s, nil
	}
	if err != nil {
		return item, s, err
	}
	if err = json.Unmarshal(item.Body, &s); err != nil {
		return item, s, err
	}
	if c.clock.Now().After(s.ForgetAfter) {
		s = state{}
	}
	return item, s, nil
}

// write stores the state, or deletes the item if the state is empty. A write whose response was
// lost is read back: if it were taken as failed, it would leave a claim without a trial, and the
// request would be quarantined when the claim expires.
func (c *Claims) write(ctx context.Context, key carawayspread.Key, rev uint64, s state) error {
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	w := carawayspread.Write{IfRev: rev, Item: carawayspread.Item{Key: key, Token: uuid.NewString(), Body: body}}
	w.Delete = rev > 0 && len(s.CrashedEndpoints) == 0 && s.ClaimedBy == "" && s.QuarantinedUntil.IsZero()
	err = c.table.Apply(ctx, w)
	if err == nil || w.Delete || errors.Is(err, carawayspread.ErrUnavailable) {
		return err
	}
	if item, readErr := c.table.Get(ctx, key); readErr == nil && item.Token == w.Item.Token {
		return nil
	}
	return err
}

func (s *state) addCrashedEndpoint(endpoint carawayspread.EndpointID) {
	for _, known := range s.CrashedEndpoints {
		if known == endpoint {
			return
		}
	}
	s.CrashedEndpoints = append(s.CrashedEndpoints, endpoint)
}

func (s *state) setQuarantined(until time.Time) {
	s.QuarantinedUntil, s.ForgetAfter = until, until
	s.ClaimedBy, s.ClaimEnds = "", time.Time{}
}
