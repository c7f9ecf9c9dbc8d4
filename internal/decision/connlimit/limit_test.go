package connlimit

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const maxLateness = 30 * time.Millisecond

// process is a processor with a queue, which serves in the order of arrival.
type process struct {
	limit    *Limit // nil if all connections are accepted
	work     time.Duration
	busyTo   time.Duration
	nextTick time.Duration
}

// arrive returns how long a request waits, and whether it is read at all. An idle connection is shed at no cost.
func (p *process) arrive(now time.Duration) (wait time.Duration, read bool) {
	for ; p.limit != nil && p.nextTick <= now; p.nextTick += Interval {
		p.limit.Fired(max(0, p.busyTo-p.nextTick))
	}
	if p.limit != nil && !p.limit.Accept(0) {
		return 0, false
	}
	p.busyTo = max(p.busyTo, now) + p.work
	return p.busyTo - now, true
}

// Most new connections of a zone go to one process, which reads all their requests and serves none in time.
func TestOverloadedProcessServesWhatItReads(t *testing.T) {
	const (
		work   = 8 * time.Millisecond // a request takes 1.2 ms of a core, of which the process has 0.144
		target = 300 * time.Millisecond
		before = 50 // requests a second
		from   = 4 * time.Second
		to     = 12 * time.Second
		judged = 3 * time.Second // after it began
	)
	served := func(limit *Limit, rate int) (share float64, shed int) {
		p, inTime, read := &process{limit: limit, work: work}, 0, 0
		for now := time.Duration(0); now < to; {
			if now < from {
				now += time.Second / before
			} else {
				now += time.Second / time.Duration(rate)
			}
			wait, isRead := p.arrive(now)
			switch {
			case now < from+judged:
				if now < from && !isRead {
					shed++
				}
			case isRead:
				read++
				if wait <= target {
					inTime++
				}
			}
		}
		return float64(inTime) / float64(read), shed
	}
	for name, rate := range map[string]int{"twice": 100, "three times its capacity": 375, "ten times": 1250} {
		t.Run(name, func(t *testing.T) {
			share, shed := served(New(1000, maxLateness), rate)
			qt.Check(t, share >= 0.75, qt.IsTrue, qt.Commentf("%.2f", share))
			qt.Check(t, shed, qt.Equals, 0, qt.Commentf("connections shed before"))
		})
	}
	without, _ := served(nil, 375)
	qt.Check(t, without < 0.75, qt.IsTrue, qt.Commentf("%.2f", without))
}

// A process holds more connections than it has memory for, sheds some after a single pause, or for long.
func TestConnectionsAreBounded(t *testing.T) {
	l := New(2, maxLateness)
	qt.Check(t, l.Accept(1), qt.IsTrue)
	qt.Check(t, l.Accept(2), qt.IsFalse)
	l.Fired(time.Minute)
	l.Fired(0)
	for range lateSum - 1 {
		l.Fired(maxLateness + 1)
	}
	qt.Check(t, l.Accept(1) && l.Accept(1), qt.IsTrue)
	l.Fired(time.Minute)
	qt.Check(t, l.Accept(1), qt.IsFalse)
	for range int(2 * time.Second / Interval) {
		l.Fired(0)
	}
	qt.Check(t, l.Accept(1) && l.Accept(1) && !l.Reconnect(), qt.IsTrue)
}

// Callers that read slowly come at a hundred a second and hold 256 KiB each for twenty seconds, on a process that is
// granted 144 MB and starts at a fifth of it. Without the limit it would hold four times what it is granted, and be
// killed with all its requests.
func TestMemoryStaysBelowWhatIsGranted(t *testing.T) {
	const (
		granted = 144 << 20
		base    = granted / 5
		held    = 256 << 10
		holds   = 20 * time.Second
		gap     = time.Second / 100
	)
	l, used, most, refused := New(10_000, 0), base, 0, 0
	var ends []time.Duration // of accepted connections, in order
	nextReading := time.Duration(0)
	for now := time.Duration(0); now < time.Minute; now += gap {
		for len(ends) > 0 && ends[0] <= now {
			ends, used = ends[1:], used-held
		}
		if now >= nextReading {
			nextReading += time.Second
			l.UseMemory(float64(used)/granted, float64(used)/granted)
		}
		if !l.Accept(len(ends)) {
			refused++
			continue
		}
		ends, used = append(ends, now+holds), used+held
		most = max(most, used)
	}
	qt.Check(t, float64(most) < 0.95*granted, qt.IsTrue, qt.Commentf("%.2f of the memory", float64(most)/granted))
	qt.Check(t, float64(most) > 0.6*granted, qt.IsTrue, qt.Commentf("%.2f of the memory", float64(most)/granted))
	qt.Check(t, refused > 0, qt.IsTrue)
	l.UseMemory(0.5, 0.5)
	qt.Check(t, l.Accept(0), qt.IsTrue)
	qt.Check(t, l.Reconnect(), qt.IsFalse)
}

// Guards against connections that are turned away for garbage: a process whose requests take what they may take is at
// the limit of the garbage collector, which keeps the total there. Where the collector does not keep up, connections
// are turned away before the memory is exceeded.
func TestGarbageTurnsNobodyAway(t *testing.T) {
	for name, c := range map[string]struct{ inUse, total, share float64 }{
		"at the collector's limit":     {0.5, 0.71, 1},
		"above it for a moment":        {0.5, 0.8, 1},
		"the collector is behind":      {0.5, 0.84, 0.2},
		"garbage up to the last":       {0.5, 0.86, 0},
		"in use above the usual":       {0.75, 0.75, 2. / 3},
		"in use up to the last":        {0.85, 0.85, 0},
		"more is in use than was read": {0.86, 0.7, 0},
	} {
		l := New(1, 0)
		share := l.UseMemory(c.inUse, c.total)
		qt.Check(t, math.Abs(share-c.share) < 1e-6, qt.IsTrue, qt.Commentf("%s: %.2f", name, share))
	}
}
