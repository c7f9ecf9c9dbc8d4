package entry

import (
	"context"
	"net/http"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/request/call"
)

// Stored is the answer of a finished request as stored in the ledger.
type Stored struct {
	Status   int
	Header   map[string]string
	Body     []byte
	Unmarked bool `json:",omitempty"` // nothing marked the end of the answer
}

// Claim is the exclusive right of one entry to run one request. Its methods return
// nil if the result was recorded and may be sent to the caller. Otherwise they
// return the error to send instead, which is what the record states.
type Claim interface {
	// Done records the complete answer. After an error the caller of Done calls
	// Unknown, whose result applies.
	Done(ctx context.Context, answer Stored) error
	// Failed records that the request has not run, so that it may be retried.
	Failed(ctx context.Context) error
	// Unknown records that the outcome cannot be known.
	Unknown(ctx context.Context) error
}

// Ledger decides, for the whole fleet, which entry runs an at-most-once request,
// and stores its result.
type Ledger interface {
	// Begin claims the request. Otherwise it returns the stored answer of an earlier
	// run, or a temporary or final error.
	Begin(ctx context.Context, c *call.Call) (Claim, *Stored, error)
}

type noLedger struct{}

func (noLedger) Begin(context.Context, *call.Call) (Claim, *Stored, error) {
	return nil, nil, carawayspread.NewError(carawayspread.CodeStoreUnavailable,
		"this entry has no ledger for idempotency keys", carawayspread.NotRun())
}

// runAtMostOnce runs an at-most-once request under its idempotency key.
func (e *Entry) runAtMostOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) {
	claim, stored, err := e.ledger.Begin(ctx, c)
	if err != nil {
		e.refuse(w, r, nil, toError(err))
		return
	}
	if stored != nil {
		replay(w, r, stored)
		return
	}
	answer := newRelay(w, c, e.clock).withCaller(r)
	answer.record = &recorder{}
	answer.beforeEnd = func() error { return answer.record.store(ctx, claim) }
	failure := e.serve(ctx, c, answer)
	if failure == nil {
		answer.markComplete()
		e.finished(c, answer, "served")
		return
	}
	e.fail(w, r, c, answer, e.recordFailure(ctx, claim, failure))
}

// recordFailure records how a claimed request failed and returns the error for its caller,
// which must not contradict what a retry will read from the record.
func (e *Entry) recordFailure(ctx context.Context, claim Claim, failure *carawayspread.Error) *carawayspread.Error {
	final, record := failure, claim.Failed
	if !failure.NotRun() {
		final, record = unknownOutcome(failure), claim.Unknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout) // ctx of the run may have ended
	defer cancel()
	err := record(ctx)
	if err == nil {
		return final
	}
	if recorded, ok := carawayspread.AsError(err); ok {
		return recorded
	}
	return unknownOutcome(failure)
}

func replay(w http.ResponseWriter, r *http.Request, stored *Stored) {
	for name, value := range stored.Header {
		w.Header().Set(name, value)
	}
	w.Header().Set("Idempotent-Replayed", "true")
	if stored.Unmarked {
		setUnmarked(w.Header())
	}
	if stored.Unmarked || !r.ProtoAtLeast(1, 1) {
		complete := resetOnLoss(r)
		defer func() {
			_ = http.NewResponseController(w).Flush() // an error shows at the caller
			complete()
		}()
	}
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}

// storedLimit is the maximum size in bytes of an answer that is stored for replay.
// A longer answer is delivered but not stored; a retry gets an unknown outcome.
const storedLimit = 4 << 20

// recorder copies the answer for the ledger.
type recorder struct {
	stored  Stored
	tooLong bool // the answer exceeds storedLimit
}

// store records the result before the caller receives the end of the answer.
func (r *recorder) store(ctx context.Context, claim Claim) error {
	if r.tooLong {
		return claim.Unknown(ctx)
	}
	return claim.Done(ctx, r.stored)
}

func (a *relay) recordBytes(p []byte) {
	if a.record == nil || a.record.tooLong {
		return
	}
	if len(a.record.stored.Body)+len(p) > storedLimit {
		a.record.tooLong = true
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
	a.record.stored.Unmarked = got.Unmarked && !isStream(got)
	a.record.stored.Header = map[string]string{"Content-Type": got.Header.Get("Content-Type")}
}
