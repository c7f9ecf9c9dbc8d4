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
	// defaultHold bounds a trial: the longest answer and the difference of clocks.
	defaultHold = 3 * time.Minute
	// defaultTerm is how long a conviction lasts.
	defaultTerm = 10 * time.Minute
	// maxVictims is the number of endpoints that one request may crash.
	maxVictims = 2
	// storeRetryAfter is told to callers while the table does not answer.
	storeRetryAfter = 5 * time.Second
	// maxTries bounds the writes that lose against another process.
	maxTries = 4
)

// state is the body of an item.
type state struct {
	Victims     []carawayspread.EndpointID `json:"victims,omitempty"` // endpoints that crashed, distinct
	ClaimedBy   string                     `json:"claimedBy,omitempty"`
	ClaimEnds   time.Time                  `json:"claimEnds,omitzero"`
	Convicted   time.Time                  `json:"convicted,omitzero"`   // end of the conviction
	ForgetAfter time.Time                  `json:"forgetAfter,omitzero"` // what is known counts until then
}

// Claims reads and writes the claims of one process.
type Claims struct {
	table    carawayspread.Table
	clock    carawayspread.Clock
	instance string // prefix of the names of claims, unique for each process
	hold     time.Duration
	term     time.Duration

	mu      sync.Mutex
	running map[uint64]bool // trials of this process that did not end
}

// Option sets an optional part of Claims.
type Option func(*Claims)

// Duration sets how long a conviction lasts.
func Duration(d time.Duration) Option { return func(c *Claims) { c.term = d } }

// ClaimTimeout sets how long a claim lasts without a result.
func ClaimTimeout(d time.Duration) Option { return func(c *Claims) { c.hold = d } }

// New returns the claims of the process that has this unique name.
func New(table carawayspread.Table, clock carawayspread.Clock, instance string, opts ...Option) *Claims {
	c := &Claims{table: table, clock: clock, instance: instance, hold: defaultHold, term: defaultTerm, running: map[uint64]bool{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Crashed records a victim of the requests that ran there. Both the sidecar
// and the entries that lost an answer call it; the same endpoint counts once.
// It tries every request and returns the last error.
func (c *Claims) Crashed(ctx context.Context, endpoint carawayspread.EndpointID, running ...uint64) error {
	var failed error
	for _, fingerprint := range running {
		err := c.update(ctx, fingerprint, func(s *state) bool {
			s.addVictim(endpoint)
			s.ForgetAfter = c.clock.Now().Add(c.term)
			if len(s.Victims) >= maxVictims && s.ClaimedBy == "" {
				s.Convicted = s.ForgetAfter
			}
			return true
		})
		if err != nil {
			failed = err
		}
	}
	return failed
}

// Claim takes the trial of a request and returns the endpoints that it is known
// to have crashed. The error is not run: another trial runs, the request is
// convicted, or the table does not answer.
func (c *Claims) Claim(ctx context.Context, fingerprint uint64) ([]carawayspread.EndpointID, *carawayspread.Error) {
	if !c.begin(fingerprint) {
		return nil, c.busy(c.hold)
	}
	victims, refusal := c.claimInTable(ctx, fingerprint)
	if refusal != nil {
		c.finish(fingerprint)
	}
	return victims, refusal
}

func (c *Claims) claimInTable(ctx context.Context, fingerprint uint64) ([]carawayspread.EndpointID, *carawayspread.Error) {
	var refusal *carawayspread.Error
	var victims []carawayspread.EndpointID
	err := c.update(ctx, fingerprint, func(s *state) (write bool) {
		refusal, write = c.claim(s)
		victims = s.Victims
		return write
	})
	if err != nil {
		return nil, carawayspread.NewError(carawayspread.CodeStoreUnavailable, "a request that may be harmful waits for the table service",
			carawayspread.NotRun(), carawayspread.RetryAfter(storeRetryAfter), carawayspread.CausedBy(err))
	}
	return victims, refusal
}

func (c *Claims) claim(s *state) (refusal *carawayspread.Error, write bool) {
	now := c.clock.Now()
	switch {
	case now.Before(s.Convicted):
		return quarantine.Refusal(s.Convicted.Sub(now)), false
	case s.ClaimedBy == c.instance:
		// Its own claim, whose write was not known to have taken effect. It is
		// not one that runs, or begin had refused.
		s.ClaimEnds = now.Add(c.hold)
		return nil, true
	case s.ClaimedBy != "" && now.Before(s.ClaimEnds):
		return c.busy(s.ClaimEnds.Sub(now)), false
	case s.ClaimedBy != "" || len(s.Victims) >= maxVictims:
		s.convict(now.Add(c.term))
		return quarantine.Refusal(c.term), true
	}
	s.ClaimedBy, s.ClaimEnds = c.instance, now.Add(c.hold)
	s.ForgetAfter = s.ClaimEnds.Add(c.term)
	return nil, true
}

func (c *Claims) busy(left time.Duration) *carawayspread.Error {
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

// End gives the result of a trial that this process claimed. An answer clears
// the request. A refusal that is proved not run and a caller that went away
// leave it a suspect. Anything else may have been its second crash and
// convicts it.
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
			s.convict(now.Add(c.term))
		}
		return true
	})
}

// update changes one item by a conditional write, again when it lost against
// another process.
func (c *Claims) update(ctx context.Context, fingerprint uint64, change func(*state) bool) error {
	key := carawayspread.Key{Partition: partition, Sort: strconv.FormatUint(fingerprint, 16)}
	var err error
	for range maxTries {
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

// write stores the state, or removes the item when nothing is left to know.
// A write whose answer was lost is read back: judged failed, it would leave a
// claim that nobody runs and that convicts the request when it ends.
func (c *Claims) write(ctx context.Context, key carawayspread.Key, rev uint64, s state) error {
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	w := carawayspread.Write{IfRev: rev, Item: carawayspread.Item{Key: key, Token: uuid.NewString(), Body: body}}
	w.Delete = rev > 0 && len(s.Victims) == 0 && s.ClaimedBy == "" && s.Convicted.IsZero()
	err = c.table.Apply(ctx, w)
	if err == nil || w.Delete || errors.Is(err, carawayspread.ErrUnavailable) {
		return err
	}
	if item, readErr := c.table.Get(ctx, key); readErr == nil && item.Token == w.Item.Token {
		return nil
	}
	return err
}

func (s *state) addVictim(endpoint carawayspread.EndpointID) {
	for _, known := range s.Victims {
		if known == endpoint {
			return
		}
	}
	s.Victims = append(s.Victims, endpoint)
}

func (s *state) convict(until time.Time) {
	s.Convicted, s.ForgetAfter = until, until
	s.ClaimedBy, s.ClaimEnds = "", time.Time{}
}
