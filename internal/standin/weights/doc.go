// Package weights is a stand-in for the platform's weight store: it serves
// weights by name over HTTP and answers 429 with Retry-After beyond its rate.
package weights
