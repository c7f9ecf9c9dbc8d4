// Package backoff implements exponential backoff with full jitter for requests to the platform.
//
// When the store recovers from an outage, every process of the fleet is waiting for it. Without
// jitter they would all retry at the same times and overload it again. Each wait is drawn uniformly
// between zero and a bound that doubles, so that the n-th attempts of the fleet are spread over the
// whole bound.
package backoff
