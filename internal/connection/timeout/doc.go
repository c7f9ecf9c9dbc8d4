// Package timeout bounds the duration of every single request to the table service.
//
// Without it, a request to a store that accepts connections and never answers would hold its caller,
// its connection and its slot in a queue forever. A write that times out has an unknown outcome.
package timeout
