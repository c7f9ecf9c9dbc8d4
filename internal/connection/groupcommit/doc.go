// Package groupcommit carries out independent single writes of one process in
// common transactions.
//
// Load pattern: every request that must run at most once needs a write before
// it is sent, and the table service takes several hundred requests a second
// from the whole fleet. Without the grouping that number bounds such requests.
//
// The first write of a group waits a few milliseconds for others, and as long as
// it takes to keep the spacing to the group before: a quiet process answers
// fast, a busy one sends a bounded number of requests, where a fixed wait would
// let the requests grow with the number of processes. A full group leaves at
// once. When all places for groups in flight are taken, the group
// goes on growing, so that groups are large when the store is slow.
//
// A failed condition fails only its own write: the others, which the
// transaction did not carry out either, are sent again without it. Two writes
// of one key never share a group. A group of unknown outcome is unknown for
// each of its writes; the decorator therefore wraps the read-back, which finds
// out by any one of its keys.
//
// The writes that wait or are in flight are bounded; beyond the bound a write
// is refused at once, provably not sent.
package groupcommit
