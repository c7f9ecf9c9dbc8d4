// Package changelog keeps the accepted configuration as a log of numbered
// changes in the platform's table service, with snapshots in its object store.
//
// The item config/<version> is put only if absent, so that the table serializes the changes of
// operators: the one who puts version n+1 has replaced version n, and the others receive a conflict
// that names that operator. No item is ever replaced, so that an accepted change never reverts. The
// audit record of an accepted change is written in the same transaction.
package changelog
