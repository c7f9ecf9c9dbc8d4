package fleetbudget

import "time"

// Retry is a retry that was spent. The zero value is one that counts elsewhere. It counts in the window in which it arrives at its endpoint, which may be
// later than it was decided: it waits for a connection, or a cut of the network holds it up.
type Retry struct {
	budget *Budget
	bucket int64 // the latest in which it can have arrived
}

// ArrivesWithin records that the retry has arrived or will arrive within that time, or not at all.
func (r *Retry) ArrivesWithin(d time.Duration) {
	b := r.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history.removeRetry(r.bucket)
	r.bucket = b.history.addRetry(b.clock.Now(), d)
}

// Withdraw returns a retry to the budget that was not sent.
func (r *Retry) Withdraw() {
	b := r.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history.removeRetry(r.bucket)
}
