// Package retry retries requests to the table service, with waits drawn with full jitter.
//
// Reads are retried after any failure but a missing item. Writes are retried only if the request
// provably had no effect; a write of unknown outcome is left to the read-back, which must wrap this
// decorator.
package retry
