package entry

import (
	"context"
	"net/http"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/request/call"
)

// Stored is the answer of a finished request as the ledger keeps it.
type Stored struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Claim is the right to run one request, held by one entry. Its methods return
// nil where the caller may be told what was recorded, and else the error that
// the caller is told: what the record shows.
type Claim interface {
	// Done records the whole answer. After an error Unknown is called, and its
	// verdict holds.
	Done(ctx context.Context, answer Stored) error
	// Failed records that the request has not run, so that it may be sent again.
	Failed(ctx context.Context) error
	// Unknown records that the outcome cannot be known.
	Unknown(ctx context.Context) error
}

// Ledger agrees, for the whole fleet, on who runs a request that must run at
// most once, and remembers how it ended.
type Ledger interface {
	// Begin claims the request, or returns the stored answer of an earlier run,
	// or the error that is the answer for now or for good.
	Begin(ctx context.Context, c *call.Call) (Claim, *Stored, error)
}

type noLedger struct{}

func (noLedger) Begin(context.Context, *call.Call) (Claim, *Stored, error) {
	return nil, nil, carawayspread.NewError(carawayspread.CodeStoreUnavailable,
		"this entry has no ledger for idempotency keys", carawayspread.NotRun())
}

// runOnce runs a request that must run at most once under its idempotency key.
func (e *Entry) runOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) {
	claim, stored, err := e.ledger.Begin(ctx, c)
	if err != nil {
		e.refuse(w, r, nil, typed(err))
		return
	}
	if stored != nil {
		replay(w, stored)
		return
	}
	answer := newRelay(w, c, e.clock)
	answer.record = &recorder{}
	answer.closing = func() error { return answer.record.keep(ctx, claim) }
	failure := e.serve(ctx, c, answer)
	if failure == nil {
		e.finished(c, answer, "served")
		return
	}
	e.fail(w, r, c, answer, e.settle(ctx, claim, failure))
}

// settle records how a claimed request failed and returns what its caller is
// told, which must not contradict what a retry will read from the record.
func (e *Entry) settle(ctx context.Context, claim Claim, failure *carawayspread.Error) *carawayspread.Error {
	final, record := failure, claim.Failed
	if !failure.NotRun() {
		final, record = unknown(failure), claim.Unknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout) // the run's may be over
	defer cancel()
	err := record(ctx)
	if err == nil {
		return final
	}
	if shown, ok := carawayspread.AsError(err); ok {
		return shown
	}
	return unknown(failure)
}

func replay(w http.ResponseWriter, stored *Stored) {
	for name, value := range stored.Header {
		w.Header().Set(name, value)
	}
	w.Header().Set("Idempotent-Replayed", "true")
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}

// storedLimit bounds the answer that is kept for replay. A longer answer is
// delivered but not kept: its record ends as unknown for a later retry.
const storedLimit = 4 << 20

// recorder keeps a copy of the answer for the ledger.
type recorder struct {
	stored Stored
	over   bool // the answer is longer than the limit
}

// keep records how the request ended before its caller is told.
func (r *recorder) keep(ctx context.Context, claim Claim) error {
	if r.over {
		return claim.Unknown(ctx)
	}
	return claim.Done(ctx, r.stored)
}

func (a *relay) recordBytes(p []byte) {
	if a.record == nil || a.record.over {
		return
	}
	if len(a.record.stored.Body)+len(p) > storedLimit {
		a.record.over = true
		a.record.stored.Body = nil
		return
	}
	a.record.stored.Body = append(a.record.stored.Body, p...)
}

func (a *relay) recordHeader(got *sidecarhttp.Answer) {
	if a.record == nil {
		return
	}
	a.record.stored.Status = got.Status
	a.record.stored.Header = map[string]string{"Content-Type": got.Header.Get("Content-Type")}
}
