// Package backoff spaces repeated requests to the platform.
//
// Load pattern: the store comes back after an outage while every process of the
// fleet waits for it. Without jitter all of them come back in the same instants
// and keep it down. Each wait is drawn evenly between zero and a bound that
// doubles (full jitter), so that the n-th tries of the fleet are spread over
// the whole bound.
package backoff
