// Package lease implements a lease that is stored in the platform's table service.
//
// A lease consists of two items. The holder item is written with every renewal. The epoch item is
// written only when the lease is acquired, so that its revision is the epoch: a fencing token that
// increases with every acquisition, and a condition that a transaction can check without
// conflicting with renewals.
//
// Clocks of different processes are never compared. The holder measures the term from before it
// sent the last successful renewal. A successor measures the term plus 1/driftDivisor of it from
// after it first read the holder item that has not changed since. The renewal took effect between
// these two moments, so the holder stops first as long as the rates of the two clocks differ by
// less than 1/driftDivisor.
//
// A lease bounds for how long two processes can both consider themselves its holder. It cannot
// stop a process that is paused between the check and the guarded action; the fencing token and
// the order guard cover that case.
package lease
