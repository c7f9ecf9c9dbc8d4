// Package retry repeats requests to the table service, spaced by full jitter.
//
// Reads are repeated after any failure. Writes are repeated only where the
// request provably had no effect; a write of unknown outcome is left to the
// read-back, which has to wrap this decorator.
package retry
