// Package timeout bounds every single request to the table service.
//
// Without it one request to a store that accepts connections and never answers
// holds its caller, its connection and its place in a queue for ever. A write
// that runs out of time has an unknown outcome.
package timeout
