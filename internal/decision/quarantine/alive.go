package quarantine

import (
	"slices"
	"time"

	"carawayspread"
)

const (
	// AliveWithin is how soon after a crash was recorded an answer suggests that the endpoint did not
	// stop. A restart usually takes seconds.
	AliveWithin = time.Second
	// maxRecentCrashes bounds the crashes kept for this check per endpoint: the requests of one
	// batch of a large engine.
	maxRecentCrashes = 256
	// observationDelay bounds the time from a crash to the notification of a peer: the connection may
	// have to time out first.
	observationDelay = 2 * time.Second
)

// recentCrash is a request whose recorded crash may turn out to be none.
type recentCrash struct {
	fingerprint uint64
	at          time.Time
	sent        time.Time // when the request was sent to the endpoint, at the latest
	withdrawn   bool      // in doubt; not proved to be none
}

// trackCrash keeps a crash until AliveWithin has passed.
func (q *Quarantine) trackCrash(fingerprint uint64, crash Crash, now time.Time) {
	for id, crashes := range q.recent {
		if now.Sub(crashes[len(crashes)-1].at) > AliveWithin {
			delete(q.recent, id)
		}
	}
	sent := crash.Sent
	if sent.IsZero() {
		sent = crash.At.Add(-observationDelay)
	}
	if crashes := q.recent[crash.Endpoint]; len(crashes) < maxRecentCrashes {
		q.recent[crash.Endpoint] = append(crashes, recentCrash{fingerprint: fingerprint, at: now, sent: sent})
	}
	q.recentEndpoints.Store(int64(len(q.recent)))
}

// EndpointAnswered records that the endpoint answered a request sent at the given time, over a
// connection of unknown age, and returns the fingerprints that this clears.
func (q *Quarantine) EndpointAnswered(endpoint carawayspread.EndpointID, sent time.Time) []uint64 {
	cleared, _ := q.EndpointAnsweredOver(endpoint, sent, time.Time{})
	return cleared
}

// EndpointAnsweredOver records that the endpoint answered a request sent at the given time over a
// connection established at the other, zero if unknown. It returns the fingerprints that this clears,
// and those that the endpoint provably has not crashed with.
//
// An endpoint can break off single answers and keep running. Without this check, a request that is
// broken off twice is refused for the whole quarantine although it is harmless. A connection that was
// established before the request was sent, and over which the endpoint answers after the failure,
// proves that the same process ran all the while: nothing has crashed. Any other answer may be that of
// a process that took its place. Such a crash is only in doubt, and maxBrokenOff bounds how often a
// request is cleared by doubt.
func (q *Quarantine) EndpointAnsweredOver(endpoint carawayspread.EndpointID, sent, connected time.Time) (cleared, proved []uint64) {
	if q.recentEndpoints.Load() == 0 {
		return nil, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	kept := q.recent[endpoint][:0]
	for _, crash := range q.recent[endpoint] {
		if now.Sub(crash.at) > AliveWithin {
			continue
		}
		if !crash.at.Before(sent) {
			kept = append(kept, crash)
			continue
		}
		if !crash.withdrawn {
			cleared = append(cleared, crash.fingerprint)
		}
		if !connected.IsZero() && connected.Before(crash.sent) {
			proved = append(proved, crash.fingerprint)
			q.withdraw(crash.fingerprint, endpoint, now)
			continue
		}
		if !crash.withdrawn {
			q.doubt(crash.fingerprint, endpoint, now)
		}
		crash.withdrawn = true
		kept = append(kept, crash)
	}
	if q.recent[endpoint] = kept; len(kept) == 0 {
		delete(q.recent, endpoint)
	}
	q.recentEndpoints.Store(int64(len(q.recent)))
	return cleared, proved
}

// WithdrawCrash removes a crash that another process proved to be none.
func (q *Quarantine) WithdrawCrash(fingerprint uint64, endpoint carawayspread.EndpointID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.withdraw(fingerprint, endpoint, q.clock.Now())
}

// DoubtCrash withdraws a crash that may have been none, as another process found.
func (q *Quarantine) DoubtCrash(fingerprint uint64, endpoint carawayspread.EndpointID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.doubt(fingerprint, endpoint, q.clock.Now())
}

// Doubted records a failure of the request at the endpoint that may have been none: the process that
// answers there may be another one.
func (q *Quarantine) Doubted(crash Crash, fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	r := q.suspect(fingerprint, now, now)
	isKnown := func(known Crash) bool { return known.same(crash) }
	if !slices.ContainsFunc(r.crashes, isKnown) && !slices.ContainsFunc(r.doubtful, isKnown) {
		r.doubtful = append(r.doubtful, crash)
	}
	if r.harmful() {
		r.quarantinedUntil = now.Add(q.duration)
		q.refusals.own.Add(fingerprint, struct{}{})
	}
}

// doubt withdraws the crashes of the request at the endpoint, which may nevertheless have crashed.
func (q *Quarantine) doubt(fingerprint uint64, endpoint carawayspread.EndpointID, now time.Time) {
	q.dismiss(dismissal{fingerprint, endpoint}, now)
	r := q.find(fingerprint, now)
	if r == nil {
		return
	}
	others, here := split(r.crashes, endpoint)
	if len(here) == 0 {
		return // the request is refused for other crashes, if at all
	}
	r.crashes, r.doubtful = others, append(r.doubtful, here...)
	r.endIfCleared()
}

// withdraw removes the crashes of the request at the endpoint, which has proved to be running.
func (q *Quarantine) withdraw(fingerprint uint64, endpoint carawayspread.EndpointID, now time.Time) {
	q.dismiss(dismissal{fingerprint, endpoint}, now)
	r := q.find(fingerprint, now)
	if r == nil {
		return
	}
	known := len(r.crashes) + len(r.doubtful)
	r.crashes, _ = split(r.crashes, endpoint)
	r.doubtful, _ = split(r.doubtful, endpoint)
	switch left := len(r.crashes) + len(r.doubtful); left {
	case known: // the request is refused for other crashes, if at all
	case 0:
		q.records.Remove(fingerprint)
	default:
		r.endIfCleared()
	}
}

// split returns the crashes at other endpoints, and those at this one.
func split(crashes []Crash, endpoint carawayspread.EndpointID) (others, here []Crash) {
	for _, crash := range crashes {
		if crash.Endpoint == endpoint {
			here = append(here, crash)
		} else {
			others = append(others, crash)
		}
	}
	return others, here
}
