// Package trial coordinates, for the whole fleet, the trials of requests that are suspected of
// crashing endpoints: one process at a time may run such a request.
//
// The table has an item for each suspect: the endpoints that it is known to have crashed, the claim
// on its trial and the end of its quarantine. All writes are conditional on the revision that was
// read, so that only one of two entries gets the claim and the other refuses the request.
//
// If a claim expires without a result, the request is quarantined: the holder may have ended
// together with the endpoint and its sidecar, and another trial could crash a third endpoint.
// Expiry times come from the holders' clocks, so a claim is valid for longer than the maximum run
// time of a request plus the clock difference between processes.
//
// While the table does not respond, the request is refused as not run. If it is unknown whether the
// claim was written, the item is read back and its write token compared. If the read fails too, the
// same process finds its own claim at the next attempt and takes it over.
package trial
