// Package breaker is a circuit breaker that refuses requests to the table service at once while the
// service is down.
//
// The store may be down for hours. Without the breaker every request that needs the store would
// wait for its timeouts and retries before it is refused, which fills queues with work that cannot
// be done, and all these requests would load the store when it recovers.
//
// After a few consecutive failures one probe at a time is let through, after waits drawn with full
// jitter. All other requests are refused at once, provably not sent and with the time after which
// to retry. One success closes the breaker. With 360 processes and waits of up to 5 s, drawn
// uniformly, a store that is down receives about 144 probes a second, less than a tenth of the
// reads that it serves when it is up.
package breaker
