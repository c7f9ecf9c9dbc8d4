// Package breaker refuses requests to the table service at once while the
// service is down.
//
// Load pattern: the store is down for hours. Without the breaker every request
// that needs an agreement waits for its timeouts and repeats before it is
// refused, which fills queues with work that cannot be done; and every such
// request loads the store when it comes back.
//
// After a few failures in a row one trial at a time is let through, after waits
// drawn by full jitter; everything else is refused at once, provably not sent
// and with the time to come back. One success ends it. With 360 processes and
// waits of up to 5 s, drawn evenly, a store that is down sees about 144 trials
// a second, less than a tenth of the reads that it carries when it is up.
package breaker
