package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"carawayspread"
	"carawayspread/internal/process/entry"
	"carawayspread/internal/request/call"
)

const (
	// defaultLease is how long a claim is valid. It is longer than the longest run that an entry
	// allows.
	defaultLease = 16 * time.Minute
	// defaultRetention is how long a record is kept after its outcome was written. A retry after
	// that counts as a new request.
	defaultRetention = 24 * time.Hour
	// listLag is how long a new instance may be missing from the instance list.
	listLag = 30 * time.Second
	// maxClockSkew is how far the clocks of two instances may differ without a claim becoming
	// unknown within the lease of its claimant.
	maxClockSkew = 5 * time.Second
	// storeTimeout bounds one call to the platform, so that requests are refused quickly during an
	// outage.
	storeTimeout = time.Second
	// outageRetryAfter and inProgressRetryAfter are the Retry-After delays of refusals.
	outageRetryAfter     = 5 * time.Second
	inProgressRetryAfter = time.Second
	// inlineLimit is the length in bytes of the longest answer stored in the record itself. An item
	// holds 64 KiB, and JSON encodes every three bytes as four.
	inlineLimit = 32 << 10
	// maxRereads bounds how often one request rereads a record that keeps changing.
	maxRereads = 4
)

// Ledger keeps the records of requests that must run at most once. It is safe for concurrent use.
type Ledger struct {
	table     carawayspread.Table
	objects   carawayspread.ObjectStore
	clock     carawayspread.Clock
	lease     time.Duration
	retention time.Duration
	self      string                     // this instance, as in the instance list
	listed    func(instance string) bool // according to the platform's list, which lags
	queue     *outcomeQueue              // outcomes that could not be written yet
}

var _ entry.Ledger = (*Ledger)(nil)

// Option sets an optional part of a Ledger.
type Option func(*Ledger)

// WithLease sets how long a claim is valid before other requests may change it to unknown.
func WithLease(d time.Duration) Option { return func(l *Ledger) { l.lease = d } }

// WithRetention sets how long records are kept after their outcome was written.
func WithRetention(d time.Duration) Option { return func(l *Ledger) { l.retention = d } }

// WithInstances sets the name of this instance and a function that reports whether an instance is
// listed. A claim whose claimant is no longer listed ends before its deadline.
func WithInstances(self string, listed func(instance string) bool) Option {
	return func(l *Ledger) { l.self, l.listed = self, listed }
}

// New returns a ledger that keeps records in the table and long answers in the object store.
func New(table carawayspread.Table, objects carawayspread.ObjectStore, clock carawayspread.Clock, opts ...Option) *Ledger {
	l := &Ledger{
		table: table, objects: objects, clock: clock, lease: defaultLease, retention: defaultRetention,
		listed: func(string) bool { return true }, queue: newOutcomeQueue(),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Begin claims the call's key, or returns the stored answer of an earlier run, or the error to
// report to the caller, which may be temporary or final.
func (l *Ledger) Begin(ctx context.Context, c *call.Call) (entry.Claim, *entry.Stored, error) {
	a := &claimAttempt{
		ledger: l,
		token:  uuid.NewString(),
		hash:   c.Job().Fingerprint,
		key:    carawayspread.Key{Partition: "once/" + c.Job().Workspace, Sort: c.Key()},
	}
	return a.run(ctx)
}

// claimAttempt is one request's attempt to claim its key or to obtain the outcome from the record.
type claimAttempt struct {
	ledger *Ledger
	token  string // of the claim that it writes
	hash   uint64
	key    carawayspread.Key
}

func (a *claimAttempt) run(ctx context.Context) (entry.Claim, *entry.Stored, error) {
	claim, err := a.claim(ctx, 0)
	for n := 0; claim == nil; n++ {
		if n == maxRereads || !errors.Is(err, carawayspread.ErrCondition) {
			return nil, nil, unavailable(err)
		}
		var item carawayspread.Item
		if item, err = a.ledger.get(ctx, a.key); err != nil {
			return nil, nil, unavailable(err)
		}
		r, decodeErr := decode(item)
		if decodeErr != nil {
			return nil, nil, unavailable(decodeErr)
		}
		if item.Token == a.token {
			return a.newClaim(item.Rev, r), nil, nil
		}
		var stored *entry.Stored
		if stored, claim, err = a.resolve(ctx, item, r); stored != nil || isCallerError(err) {
			return nil, stored, err
		}
	}
	return claim, nil, nil
}

// claim writes the claim if the record has the revision rev. ErrCondition means that the record
// must be read, which may show this claim. Any other error means that the claim is not held and
// never will be used.
//
// The answer to the write can be lost after the write took effect. Without further steps nobody
// would run the request, and its retries would wait for a claimant that does not exist until the
// claim becomes unknown. The record is therefore read back and its token compared; if it cannot be
// read, the claim is withdrawn later.
func (a *claimAttempt) claim(ctx context.Context, rev uint64) (*Claim, error) {
	l := a.ledger
	now := l.clock.Now()
	r := record{State: claimed, Hash: a.hash, Claimant: l.self, Began: now, Deadline: now.Add(l.lease + maxClockSkew)}
	err := l.put(ctx, a.key, rev, a.token, r)
	if err == nil {
		return a.newClaim(rev+1, r), nil
	}
	if errors.Is(err, carawayspread.ErrCondition) || errors.Is(err, carawayspread.ErrUnavailable) {
		return nil, err
	}
	if item, readErr := l.get(ctx, a.key); readErr == nil && item.Rev > rev {
		return nil, carawayspread.ErrCondition
	}
	l.queue.add(pendingOutcome{key: a.key, rev: rev, token: a.token, outcome: record{State: notRun, Hash: a.hash}})
	return nil, err
}

func (a *claimAttempt) newClaim(rev uint64, r record) *Claim {
	return &Claim{ledger: a.ledger, key: a.key, rev: rev, hash: r.Hash, deadline: r.Deadline}
}

// resolve derives the result from a record that another claim attempt wrote, or claims the key
// again if the record allows it. ErrCondition means that the record has changed since it was read.
func (a *claimAttempt) resolve(ctx context.Context, item carawayspread.Item, r record) (*entry.Stored, *Claim, error) {
	l := a.ledger
	now := l.clock.Now()
	switch {
	case r.State != claimed && !r.Expires.IsZero() && now.After(r.Expires), r.State == notRun && r.Hash == a.hash:
		claim, err := a.claim(ctx, item.Rev)
		return nil, claim, err
	case r.Hash != a.hash:
		return nil, nil, carawayspread.NewError(carawayspread.CodeKeyReused,
			"the idempotency key was used with another request", carawayspread.NotRun())
	case r.State == done:
		stored, err := l.loadAnswer(ctx, r)
		return stored, nil, err
	case r.State == unknown:
		return nil, nil, unknownOutcome()
	case now.Before(r.Deadline) && !l.claimantEnded(r, now):
		return nil, nil, carawayspread.NewError(carawayspread.CodeInProgress,
			"a request with this idempotency key is running", carawayspread.RetryAfter(inProgressRetryAfter))
	}
	if err := l.put(ctx, a.key, item.Rev, uuid.NewString(), l.withExpiry(record{State: unknown, Hash: r.Hash})); err != nil {
		return nil, nil, conditionUnlessUnavailable(err)
	}
	return nil, nil, unknownOutcome()
}

// claimantEnded reports whether the claimant's instance has ended, according to the instance list.
// If the list is wrong, the claimant finds the record unknown when it writes its outcome, and
// reports that.
func (l *Ledger) claimantEnded(r record, now time.Time) bool {
	return now.After(r.Began.Add(listLag)) && !l.listed(r.Claimant)
}

// conditionUnlessUnavailable returns ErrCondition for any error but ErrUnavailable, so that the
// record is read again after a write of unknown outcome.
func conditionUnlessUnavailable(err error) error {
	if errors.Is(err, carawayspread.ErrUnavailable) {
		return err
	}
	return carawayspread.ErrCondition
}

func isCallerError(err error) bool {
	_, ok := carawayspread.AsError(err)
	return ok
}

func unknownOutcome() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeUnknownOutcome,
		"whether a request with this idempotency key ran cannot be known; this is final")
}

// unavailable is the refusal for a record that cannot be read or written. It does not state "not
// run", because an earlier request with the key may have run.
func unavailable(err error) *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeStoreUnavailable,
		"the record of this idempotency key cannot be read now; this sending did nothing, "+
			"an earlier one with the same key may have run: ask again with the same key",
		carawayspread.RetryAfter(outageRetryAfter), carawayspread.CausedBy(err))
}
