// Package readback finds out what became of a write whose answer was lost.
//
// Load pattern: the table service is slow, or a connection ends after the write
// took effect. Without the read-back a caller that repeats its write meets its
// own effect as a failed condition: a claim is refused to the process that
// holds it, a configuration change is reported as lost although it is in force.
//
// Every write carries a token that is unique to its attempt, and revisions grow
// by one with each write of a key. So one consistent read of a written key
// tells four cases apart:
//
//   - the next revision with our token: the write took effect;
//   - the next revision with another token: another writer took that revision,
//     and ours cannot take effect any more;
//   - still the revision of the condition: the write has not taken effect so
//     far, but may be under way. It is sent again with the same token. Both
//     copies have one condition, which the first of them uses up;
//   - a later revision, or none where there was one: ours may have been there
//     and been replaced. The outcome stays unknown.
//
// A transaction is decided by the first of its keys that is not in the last
// case, since it is carried out whole or not at all. A lost deletion whose key
// is gone stays unknown: another may have deleted it.
//
// The proof needs that revisions do not start again under a write in flight:
// a key that has been deleted is created again, or checked to be free, only once
// no write from before can arrive any more. Deletions in this system are for records that ended long
// ago.
package readback
