package quarantine

import (
	"time"

	"carawayspread"
)

const (
	// aliveWithin is how soon after a break an answer shows that the endpoint
	// never stopped. A restart takes seconds.
	aliveWithin = time.Second
	// maxRecentCrashes bounds the breaks that are remembered for it: a batch of a large
	// engine.
	maxRecentCrashes = 256
)

// recentCrash is a request whose endpoint may prove to be alive.
type recentCrash struct {
	fingerprint uint64
	at          time.Time
}

// trackCrash remembers a crash for a while.
func (q *Quarantine) trackCrash(fingerprint uint64, crash Crash, now time.Time) {
	for id, crashes := range q.recent {
		if now.Sub(crashes[len(crashes)-1].at) > aliveWithin {
			delete(q.recent, id)
		}
	}
	if crashes := q.recent[crash.Endpoint]; len(crashes) < maxRecentCrashes {
		q.recent[crash.Endpoint] = append(crashes, recentCrash{fingerprint, now})
	}
	q.recentEndpoints.Store(int64(len(q.recent)))
}

// EndpointAnswered records that the endpoint has answered a request that was sent at that
// time, and returns the requests that it cleared.
//
// Failure: an endpoint breaks off single answers and runs on. Symptom: whoever
// meets two such breaks is refused for the whole term though it harms nobody.
// What was sent after the break and answered before a restart could be over was
// answered by the same process, so that nothing has crashed.
func (q *Quarantine) EndpointAnswered(endpoint carawayspread.EndpointID, sent time.Time) []uint64 {
	if q.recentEndpoints.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	var cleared []uint64
	kept := q.recent[endpoint][:0]
	for _, w := range q.recent[endpoint] {
		switch {
		case now.Sub(w.at) > aliveWithin:
		case w.at.Before(sent):
			cleared = append(cleared, w.fingerprint)
			q.withdraw(w.fingerprint, endpoint, now)
		default:
			kept = append(kept, w)
		}
	}
	if q.recent[endpoint] = kept; len(kept) == 0 {
		delete(q.recent, endpoint)
	}
	q.recentEndpoints.Store(int64(len(q.recent)))
	return cleared
}

// WithdrawCrash takes back a crash that another process found to be none.
func (q *Quarantine) WithdrawCrash(fingerprint uint64, endpoint carawayspread.EndpointID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.withdraw(fingerprint, endpoint, q.clock.Now())
}

func (q *Quarantine) withdraw(fingerprint uint64, endpoint carawayspread.EndpointID, now time.Time) {
	r := q.find(fingerprint, now)
	if r == nil {
		return
	}
	left := make([]Crash, 0, len(r.crashes))
	for _, crash := range r.crashes {
		if crash.Endpoint != endpoint {
			left = append(left, crash)
		}
	}
	if r.crashes = left; len(left) == 0 {
		q.records.Remove(fingerprint)
		return
	}
	if len(left) < maxCrashedEndpoints {
		r.quarantinedUntil = time.Time{}
	}
}
