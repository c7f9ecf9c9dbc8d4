package quarantine

import (
	"time"

	"carawayspread"
)

const (
	// AliveWithin is how soon after a crash was recorded an answer proves that the endpoint did not
	// stop. A restart takes seconds.
	AliveWithin = time.Second
	// maxRecentCrashes bounds the crashes kept for this check per endpoint: the requests of one
	// batch of a large engine.
	maxRecentCrashes = 256
)

// recentCrash is a request whose recorded crash may turn out to be none.
type recentCrash struct {
	fingerprint uint64
	at          time.Time
}

// trackCrash keeps a crash until AliveWithin has passed.
func (q *Quarantine) trackCrash(fingerprint uint64, crash Crash, now time.Time) {
	for id, crashes := range q.recent {
		if now.Sub(crashes[len(crashes)-1].at) > AliveWithin {
			delete(q.recent, id)
		}
	}
	if crashes := q.recent[crash.Endpoint]; len(crashes) < maxRecentCrashes {
		q.recent[crash.Endpoint] = append(crashes, recentCrash{fingerprint, now})
	}
	q.recentEndpoints.Store(int64(len(q.recent)))
}

// EndpointAnswered records that the endpoint answered a request sent at the given time, and returns
// the fingerprints that this clears.
//
// An endpoint can break off single answers and keep running. Without this check, a request that is
// broken off twice is refused for the whole quarantine although it is harmless. What was sent after
// the failure and answered before a restart could have finished was answered by the same process,
// so nothing has crashed.
func (q *Quarantine) EndpointAnswered(endpoint carawayspread.EndpointID, sent time.Time) []uint64 {
	if q.recentEndpoints.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	var cleared []uint64
	kept := q.recent[endpoint][:0]
	for _, crash := range q.recent[endpoint] {
		switch {
		case now.Sub(crash.at) > AliveWithin:
		case crash.at.Before(sent):
			cleared = append(cleared, crash.fingerprint)
			q.withdraw(crash.fingerprint, endpoint, now)
		default:
			kept = append(kept, crash)
		}
	}
	if q.recent[endpoint] = kept; len(kept) == 0 {
		delete(q.recent, endpoint)
	}
	q.recentEndpoints.Store(int64(len(q.recent)))
	return cleared
}

// WithdrawCrash removes a crash that another process found to be none.
func (q *Quarantine) WithdrawCrash(fingerprint uint64, endpoint carawayspread.EndpointID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.withdraw(fingerprint, endpoint, q.clock.Now())
}

func (q *Quarantine) withdraw(fingerprint uint64, endpoint carawayspread.EndpointID, now time.Time) {
	q.dismiss(dismissal{fingerprint, endpoint}, now)
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
	if len(left) < maxCrashes {
		r.quarantinedUntil = time.Time{}
	}
}
