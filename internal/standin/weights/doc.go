// Package weights is a stand-in for the platform's weight store: it serves weights by name over HTTP
// and responds with 429 and Retry-After above its rate limit.
package weights
