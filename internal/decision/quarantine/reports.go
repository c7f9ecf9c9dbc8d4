package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"carawayspread"
)

const (
	// maxReportable bounds the requests whose crashes are reported to peers.
	maxReportable = 256
	// maxReports bounds the crashes of one report, which must fit into a packet.
	maxReports = 24
	// maxDismissals bounds the crashes that are known to be none.
	maxDismissals = 1024
	// reportDelay bounds how much later than it was a reported crash may seem: the time that the
	// report was on its way, or waited to be read.
	reportDelay = time.Second
)

// dismissal identifies a crash that is known to be none, or, without an endpoint, a request that was
// answered.
type dismissal struct {
	fingerprint uint64
	endpoint    carawayspread.EndpointID
}

// reports is what this process exchanges with peers about crashes.
//
// A crash is reported to the peers once, when it is observed. A peer that does not get that message,
// or starts later, would send the request to further endpoints. Processes therefore repeat what they
// know. What a peer still reports and this process knows to be none must not come back here.
type reports struct {
	reportable *lru.LRU[uint64, struct{}]     // requests with crashes
	dismissals *lru.LRU[dismissal, time.Time] // when each crash was found to be none
}

func newReports() reports {
	reportable, err := lru.NewLRU[uint64, struct{}](maxReportable, nil)
	if err != nil {
		panic(err) // the size is a constant
	}
	dismissals, err := lru.NewLRU[dismissal, time.Time](maxDismissals, nil)
	if err != nil {
		panic(err)
	}
	return reports{reportable: reportable, dismissals: dismissals}
}

// Reports returns crashes that peers may not know, those of quarantined requests first. A crash is
// reported when it can no longer be withdrawn.
func (q *Quarantine) Reports() []carawayspread.CrashReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	var quarantined, suspects []carawayspread.CrashReport
	for _, fingerprint := range q.reports.reportable.Keys() {
		r := q.find(fingerprint, now)
		if r == nil {
			q.reports.reportable.Remove(fingerprint)
			continue
		}
		list, crashes := &suspects, r.crashes
		if now.Before(r.quarantinedUntil) {
			list, crashes = &quarantined, slices.Concat(r.crashes, r.doubtful)
		}
		for _, crash := range crashes {
			if age := now.Sub(crash.At); age > AliveWithin {
				*list = append(*list, carawayspread.CrashReport{Fingerprint: fingerprint, Endpoint: crash.Endpoint, Age: age})
			}
		}
	}
	// A random choice reports all of them in the course of time.
	for _, list := range [][]carawayspread.CrashReport{quarantined, suspects} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	all := append(quarantined, suspects...)
	return all[:min(maxReports, len(all))]
}

// Learn records a crash that a peer reports, unless this process knows that there was none, and
// reports whether the crash is new here.
func (q *Quarantine) Learn(report carawayspread.CrashReport) (verdict carawayspread.CrashVerdict, isNew bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	at := now.Add(-report.Age)
	switch {
	case q.isDismissed(dismissal{fingerprint: report.Fingerprint}, at):
		return carawayspread.CrashAnswered, false
	case q.isDismissed(dismissal{report.Fingerprint, report.Endpoint}, at):
		return carawayspread.CrashWithdrawn, false
	case q.isExplained(Crash{Endpoint: report.Endpoint, At: at}):
		return carawayspread.CrashWithdrawn, false
	case report.Age >= q.duration:
		return carawayspread.CrashAccepted, false
	}
	r := q.suspect(report.Fingerprint, now, at)
	if r.harmful() || r.crashed(report.Endpoint) {
		return carawayspread.CrashAccepted, false
	}
	r.add(Crash{Endpoint: report.Endpoint, At: at})
	if r.harmful() {
		r.quarantinedUntil = later(r.quarantinedUntil, r.lastCrash().Add(q.duration))
	}
	return carawayspread.CrashAccepted, true
}

// dismiss remembers that a crash so far was none.
func (q *Quarantine) dismiss(d dismissal, now time.Time) { q.reports.dismissals.Add(d, now) }

// isDismissed reports whether a crash at that time is known to be none.
func (q *Quarantine) isDismissed(d dismissal, at time.Time) bool {
	dismissedAt, ok := q.reports.dismissals.Get(d)
	return ok && at.Before(dismissedAt.Add(reportDelay))
}
