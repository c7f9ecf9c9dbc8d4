// Package groupcommit groups independent single writes of one process into transactions.
//
// Every request that must run at most once needs a write before it is sent to an endpoint, and the
// table service takes several hundred requests a second from the whole fleet. Without grouping,
// that rate would bound such requests.
//
// The first write of a group waits a few milliseconds for others, and as long as it takes to keep
// the spacing to the previous group. An idle process thus gets low latency and a busy one sends a
// bounded number of requests, whereas with a fixed wait the number of requests would grow with the
// number of processes. A full group is sent at once. While the number of groups in flight is at its
// limit, the open group keeps growing, so that groups are large when the store is slow.
//
// A failed condition fails only its own write: the others, which the transaction did not perform
// either, are sent again without it. Two writes of one key never share a group. A group of unknown
// outcome is unknown for each of its writes. This decorator therefore wraps the read-back, which
// determines the outcome from any one of the keys.
//
// The writes that wait or are in flight are bounded; beyond the bound a write is refused at once
// and provably not sent.
package groupcommit
