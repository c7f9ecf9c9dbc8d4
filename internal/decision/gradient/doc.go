// Package gradient implements an adaptive concurrency limit: it bounds the concurrent
// attempts of one entry at one endpoint by the latency that the entry measures.
//
// When an endpoint gets slower than its peers, or all endpoints get more requests than they
// can batch, load reports that would show it are seconds old. Without the limit, requests
// queue at the slow endpoint, where they can neither be reordered nor refused: callers wait
// there while other endpoints are free.
//
// The limit follows the ratio of the recent minimum latency to the current one. While the
// current latency is up to three times the minimum (the tolerance), the limit grows by its
// square root, the queue length that keeps the endpoint busy; above it the limit shrinks in
// proportion. The inter-token latency of a batching engine grows with the batch: three times
// that of an idle engine, some 12 ms, is what inter-token targets of 40 ms permit. Failures
// shrink the limit by a tenth, at most once per latency, so that a burst of failures counts
// as one.
//
// The limit is at least one, or the endpoint would never be measured again, and at most a
// fixed number.
//
// Only measurements change the limit. The minimum latency expires after one to two minutes,
// so that an endpoint that was replaced by a slower one gets requests again.
package gradient
