package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"carawayspread"
)

const (
	// defaultDuration is how long a request stays quarantined or suspect. It outlasts callers that
	// resend, and ends by itself, since a new version of the engine may be able to run the request.
	defaultDuration = 10 * time.Minute
	// maxCrashes is the number of crashes after which a request is quarantined.
	maxCrashes = 2
	// maxBrokenOff is the number of failures after which a request is quarantined even if each of them
	// may have been none.
	//
	// A process that takes the place of a crashed one, at its address or under its identifier, cannot
	// be told from one that has kept running. Without this bound a request would crash one endpoint
	// after the other wherever they restart fast.
	maxBrokenOff = 3
	// sameCrashWindow merges the reports of several processes about one crash. An engine takes
	// longer than this to restart.
	sameCrashWindow = 10 * time.Second
	// maxRecords bounds the memory, at about 200 bytes per fingerprint. A crash adds the requests
	// of one batch.
	maxRecords = 16384
	// maxExplained bounds the endpoints whose crashes have a known cause.
	maxExplained = 1024
)

// Crash is one crash of an endpoint.
type Crash struct {
	Endpoint carawayspread.EndpointID
	At       time.Time
	// Sent is when the request was sent to the endpoint; zero if unknown.
	Sent time.Time
}

// same reports whether a later report may be about the crash c. A request that was sent after a
// crash was not broken off by it.
func (c Crash) same(report Crash) bool {
	return c.Endpoint == report.Endpoint && c.At.Sub(report.At).Abs() < sameCrashWindow && !report.Sent.After(c.At)
}

// Attempt is a request that is about to be sent or run.
type Attempt struct {
	Fingerprint     uint64
	OutsideAffinity bool // none of the endpoints that its fingerprint maps to is available
	Claimed         bool // its trial is claimed for this attempt
	// Endpoint is where a sidecar would run it; empty for an entry.
	Endpoint carawayspread.EndpointID
}

// Verdict is the decision on an attempt.
type Verdict int

// Verdicts on attempts.
const (
	VerdictRun    Verdict = iota // run it like any other
	VerdictTrial                 // claim the trial first
	VerdictRefuse                // refuse it; the error is final
)

// record is the state of one fingerprint.
type record struct {
	crashes          []Crash   // distinct, at most maxCrashes
	doubtful         []Crash   // distinct, and not among crashes: the endpoint may have kept running
	quarantinedUntil time.Time // end of the quarantine; zero for suspects
	expires          time.Time // when the record is dropped
}

// Quarantine holds what one process knows of harmful requests. It is safe for concurrent use.
type Quarantine struct {
	clock    carawayspread.Clock
	duration time.Duration

	mu       sync.Mutex
	records  *lru.LRU[uint64, *record]
	recent   map[carawayspread.EndpointID][]recentCrash // crashes of the last AliveWithin; no empty lists
	refusals refusals
	reports  reports
	// explained are endpoints whose crashes have a known cause, and when that was learned.
	explained *lru.LRU[carawayspread.EndpointID, time.Time]

	recentEndpoints atomic.Int64 // number of endpoints in recent, readable without the lock
}

// Option sets an optional part of a Quarantine.
type Option func(*Quarantine)

// Duration sets how long a request stays quarantined or suspect.
func Duration(d time.Duration) Option { return func(q *Quarantine) { q.duration = d } }

// New returns a quarantine without suspects.
func New(clock carawayspread.Clock, opts ...Option) *Quarantine {
	records, err := lru.NewLRU[uint64, *record](maxRecords, nil)
	if err != nil {
		panic(err) // the size is a constant
	}
	explained, err := lru.NewLRU[carawayspread.EndpointID, time.Time](maxExplained, nil)
	if err != nil {
		panic(err)
	}
	q := &Quarantine{
		clock: clock, duration: defaultDuration, records: records, recent: map[carawayspread.EndpointID][]recentCrash{},
		refusals: newRefusals(), reports: newReports(), explained: explained,
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Decide returns what may be done with the attempt. An entry calls it before it sends, a sidecar
// before it runs the request; both must, since either may be the only one that knows of a crash.
func (q *Quarantine) Decide(attempt Attempt) (Verdict, *carawayspread.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	r := q.find(attempt.Fingerprint, now)
	switch {
	case r != nil && now.Before(r.quarantinedUntil):
		return VerdictRefuse, Refusal(r.quarantinedUntil.Sub(now))
	case attempt.Claimed && r != nil && r.crashed(attempt.Endpoint):
		return VerdictTrial, nil
	case attempt.Claimed:
		return VerdictRun, nil
	case r != nil && !r.cleared() || attempt.OutsideAffinity:
		return VerdictTrial, nil
	}
	return VerdictRun, nil
}

// Refusal returns the final answer to a quarantined request; left is the rest of the quarantine.
func Refusal(left time.Duration) *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeQuarantined, "the request crashed the endpoints that ran it",
		carawayspread.NotRun(), carawayspread.RetryAfter(left))
}

// Crashed records that the endpoint crashed while the given requests ran there. trial is the
// fingerprint that ran as a trial, or nil; it is then the only one that this crash quarantines.
func (q *Quarantine) Crashed(crash Crash, running []uint64, trial *uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if q.isExplained(crash) {
		return
	}
	for _, fingerprint := range running {
		isTrial := trial != nil && *trial == fingerprint
		r := q.suspect(fingerprint, now, now)
		r.add(crash)
		q.trackCrash(fingerprint, crash, now)
		if isTrial || trial == nil && r.harmful() {
			r.quarantinedUntil = now.Add(q.duration)
			q.refusals.own.Add(fingerprint, struct{}{})
		}
	}
}

// Quarantined records that another process quarantined the request for the time left.
func (q *Quarantine) Quarantined(fingerprint uint64, left time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	r := q.suspect(fingerprint, now, now)
	r.quarantinedUntil = now.Add(left)
	r.expires = later(r.expires, r.quarantinedUntil)
	q.refusals.own.Add(fingerprint, struct{}{})
}

// Suspected records that the sidecar of the endpoint refused the request as a suspect. An empty
// endpoint marks only the request; a sidecar does so before it runs a trial, so that no other copy
// starts at the same time.
func (q *Quarantine) Suspected(fingerprint uint64, endpoint carawayspread.EndpointID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	r := q.suspect(fingerprint, now, now)
	if endpoint != "" {
		r.add(Crash{Endpoint: endpoint, At: now})
	}
}

// CrashedEndpoints returns the endpoints that the request is known to have crashed. Its trial must
// go to its other candidate: a copy that was sent without knowledge of the first crash may run
// there, and only that sidecar can keep the two apart.
func (q *Quarantine) CrashedEndpoints(fingerprint uint64) []carawayspread.EndpointID {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.find(fingerprint, q.clock.Now())
	if r == nil {
		return nil
	}
	ids := make([]carawayspread.EndpointID, 0, len(r.crashes))
	for _, crash := range r.crashes {
		ids = append(ids, crash.Endpoint)
	}
	return ids
}

// LastCrash returns the time of the newest crash that is known of the request; zero if there is none.
func (q *Quarantine) LastCrash(fingerprint uint64) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.find(fingerprint, q.clock.Now()); r != nil {
		return r.lastCrash()
	}
	return time.Time{}
}

// Served clears a request that was answered, and reports whether the peers, which may refuse it,
// must be notified. Also a quarantined request can be answered: a copy was running by then. One that
// crashes endpoints is never answered.
func (q *Quarantine) Served(fingerprint uint64) (notify bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	recorded := q.find(fingerprint, now) != nil
	q.clear(fingerprint)
	notify = q.takePeerRefusal(fingerprint) || recorded
	if notify {
		q.dismiss(dismissal{fingerprint: fingerprint}, now)
	}
	return notify
}

// Len returns the number of fingerprints that are suspected or refused.
func (q *Quarantine) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, r := range q.records.Values() {
		if !r.cleared() {
			n++
		}
	}
	return n
}

func (q *Quarantine) find(fingerprint uint64, now time.Time) *record {
	r, ok := q.records.Get(fingerprint)
	if !ok {
		return nil
	}
	if now.After(r.expires) {
		q.records.Remove(fingerprint)
		return nil
	}
	return r
}

// suspect returns the record of a request that has been a suspect since then.
func (q *Quarantine) suspect(fingerprint uint64, now, since time.Time) *record {
	r := q.find(fingerprint, now)
	if r == nil {
		r = &record{}
		q.records.Add(fingerprint, r)
	}
	q.reports.reportable.Add(fingerprint, struct{}{})
	r.expires = later(r.expires, since.Add(q.duration))
	return r
}

func (r *record) add(crash Crash) {
	for _, known := range slices.Concat(r.crashes, r.doubtful) {
		if known.same(crash) {
			return
		}
	}
	if len(r.crashes) < maxCrashes {
		r.crashes = append(r.crashes, crash)
	}
}

// harmful reports whether the request is refused for its crashes.
func (r *record) harmful() bool {
	return len(r.crashes) >= maxCrashes || len(r.crashes)+len(r.doubtful) >= maxBrokenOff
}

// cleared reports whether nothing speaks against the request but crashes that may have been none.
func (r *record) cleared() bool {
	return len(r.crashes) == 0 && len(r.doubtful) > 0 && r.quarantinedUntil.IsZero()
}

// endIfCleared ends the quarantine if the remaining crashes no longer explain it.
func (r *record) endIfCleared() {
	if !r.harmful() {
		r.quarantinedUntil = time.Time{}
	}
}

func (r *record) crashed(endpoint carawayspread.EndpointID) bool {
	for _, crash := range r.crashes {
		if crash.Endpoint == endpoint {
			return true
		}
	}
	return false
}

func (r *record) lastCrash() time.Time {
	var last time.Time
	for _, crash := range slices.Concat(r.crashes, r.doubtful) {
		last = later(last, crash.At)
	}
	return last
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
