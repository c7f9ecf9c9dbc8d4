package quarantine

import "carawayspread"

// Explained records that the last crash of the endpoint has another cause than the requests that are
// suspected for it: a part of a prompt, which is refused by itself.
//
// A harmful part crashes one endpoint after the other until it is found. Without this, requests that ran
// at two of them are refused for the whole quarantine.
func (q *Quarantine) Explained(endpoint carawayspread.EndpointID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.explained.Add(endpoint, now)
	for _, fingerprint := range q.records.Keys() {
		if r, ok := q.records.Peek(fingerprint); ok && r.crashed(endpoint) {
			q.withdraw(fingerprint, endpoint, now)
		}
	}
}

// isExplained reports whether a crash has a known cause. An endpoint that starts again under its identifier
// may crash for another one.
func (q *Quarantine) isExplained(crash Crash) bool {
	at, ok := q.explained.Peek(crash.Endpoint)
	return ok && crash.At.Before(at.Add(sameCrashWindow))
}
