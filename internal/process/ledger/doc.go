// Package ledger ensures that a request with an idempotency key runs at most once in the whole
// fleet.
//
// A caller that receives no answer to a request that is not idempotent retries it, perhaps through
// another entry. Without the ledger the retry would run too, and a receipt would be issued twice.
// Before the first attempt an entry therefore claims the idempotency key in the table service, with
// a write that succeeds only if there is no record. Only the claimant sends the request to
// endpoints, and the record holds its outcome:
//
//	claimed   the claimant is running the request, or was lost
//	done      stored with the answer, which is replayed to every retry
//	notRun    proven not to have run; the next retry may claim the key again
//	unknown   final: whether the request ran cannot be known
//
// The next request that reads a claim past its deadline changes it to unknown. The claimant may
// still be running; the write of its outcome then fails the revision check, and it reports unknown
// to its caller as well. Deadlines are wall-clock times: a wrong clock changes a claim to unknown
// too early or too late, but never makes a request run twice.
//
// "Not run" is a statement about the key, not about one request with that key. If the record cannot
// be read, an earlier request may have run, so the refusal does not state "not run".
package ledger
