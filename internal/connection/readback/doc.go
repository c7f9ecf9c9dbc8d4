// Package readback determines the outcome of a write whose answer was lost.
//
// The table service may be slow, or a connection may break after the write took effect. Without the
// read-back, a caller that retries its write sees its own effect as a failed condition: a claim is
// refused to the process that holds it, or a configuration change is reported as lost although it
// is in force.
//
// Every write carries a token that is unique to its attempt, and revisions grow by one with each
// write of a key. One consistent read of a written key therefore distinguishes four cases:
//
//   - the next revision with our token: the write took effect;
//   - the next revision with another token: another writer took that revision,
//     and our write can no longer take effect;
//   - still the revision of the condition: the write has not taken effect so far,
//     but may be in flight. It is sent again with the same token. Both copies
//     have the same condition, and the first to take effect makes it fail for
//     the other;
//   - a later revision, or no item where there was one: our write may have taken
//     effect and been replaced. The outcome remains unknown.
//
// The first key that is not in the last case decides the outcome of a transaction, since a
// transaction is performed completely or not at all. A deletion whose answer was lost and whose key
// is gone remains unknown: another writer may have deleted it.
//
// The proof requires that revisions do not restart while a write is in flight: a deleted key is
// created again, or checked to be free, only once no earlier write can still arrive. In this system
// only records of work that ended long ago are deleted.
package readback
