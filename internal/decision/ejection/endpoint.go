package ejection

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
)

const (
	// maxConsecutiveFailures ejects an endpoint. It is small because five consecutive
	// failures by chance need a failure rate at which maxFailureRate ejects as well.
	maxConsecutiveFailures = 5
	maxFailureRate         = 0.4
	// minSamples latencies, or half as many outcomes, must be known before the rules on
	// latency and failure rate apply.
	minSamples      = 10.0
	smoothing       = 0.1
	slowFactor      = 3.0
	minEjectionTime = 5 * time.Second
	maxEjectionTime = 5 * time.Minute
	maxLevel        = 6 // minEjectionTime doubled so often exceeds maxEjectionTime
	levelDecay      = 5 * time.Minute
	samplesTTL      = time.Minute
	probeSuccesses  = 3
	// probeTimeout allows another probe request when the outcome of the last one was never
	// observed.
	probeTimeout = 30 * time.Second
)

// endpoint is the state of one endpoint.
type endpoint struct {
	ejectedUntil atomic.Int64 // end of the ejection time in Unix nanoseconds; zero while not ejected
	probe        atomic.Int64 // start of the probe request in Unix nanoseconds; zero if there is none

	// publishedBits holds the bits of latency for the median, which reads them without mu,
	// since an observer that holds mu takes the lock of the Ejector.
	publishedBits atomic.Uint64

	mu                  sync.Mutex // guards what follows
	consecutiveFailures int        // since the last success
	outcomes            float64    // smoothed count, at most 1/smoothing
	failures            float64    // smoothed count of those that failed
	latency             float64    // smoothed seconds; zero if not known
	latencies           float64    // number of samples in latency, up to minSamples
	observedAt          time.Time  // last outcome
	level               int        // exponent of the next ejection time; decays by one each levelDecay
	ejectedAt           time.Time  // start of the last ejection
	probesPassed        int        // probe requests that succeeded since
}

func (e *endpoint) isEjected() bool { return e.ejectedUntil.Load() != 0 }

// probing reports whether the endpoint is ejected and its ejection time is over.
func (e *endpoint) probing(now time.Time) bool {
	until := e.ejectedUntil.Load()
	return until != 0 && now.UnixNano() >= until
}

// update records an outcome and reports whether the endpoint should be ejected.
func (e *endpoint) update(now time.Time, latency time.Duration, outcome carawayspread.Outcome, median float64) bool {
	if now.Sub(e.observedAt) > samplesTTL {
		e.discardSamples()
	}
	e.observedAt = now
	e.outcomes += 1 - smoothing*e.outcomes
	e.failures -= smoothing * e.failures
	if outcome != carawayspread.OutcomeServed {
		e.consecutiveFailures++
		e.failures++
		return conclusive(outcome) || e.consecutiveFailures >= maxConsecutiveFailures || e.failing()
	}
	e.consecutiveFailures = 0
	e.addLatency(latency.Seconds())
	return e.slow(median) || e.failing()
}

// conclusive reports whether a single attempt with this outcome ejects its endpoint.
//
// An instance that is gone but still listed looks idle: without this rule every entry keeps
// sending it part of its requests, and each of them loses the time of a connect and a
// retry. With 35 entries before 1,300 endpoints, an entry sends to one endpoint three times
// a minute, so that five consecutive failures take longer than the list lags.
func conclusive(outcome carawayspread.Outcome) bool {
	return outcome == carawayspread.OutcomeCrashed || outcome == carawayspread.OutcomeUnreachable
}

func (e *endpoint) failing() bool {
	return e.outcomes >= minSamples/2 && e.failures > maxFailureRate*e.outcomes
}

func (e *endpoint) addLatency(latency float64) {
	if latency <= 0 {
		return
	}
	if e.latency == 0 {
		e.latency = latency
	}
	e.latency += smoothing * (latency - e.latency)
	e.latencies = min(minSamples, e.latencies+1)
	if e.latencies >= minSamples {
		e.publishedBits.Store(math.Float64bits(e.latency))
	}
}

// published returns the latency for the median; zero if not known.
func (e *endpoint) published() float64 {
	if e.isEjected() {
		return 0
	}
	return math.Float64frombits(e.publishedBits.Load())
}

func (e *endpoint) slow(median float64) bool {
	return median > 0 && e.latencies >= minSamples && e.latency > slowFactor*median
}

// eject starts an ejection time. Earlier samples are discarded, so that the probe requests
// alone decide.
func (e *endpoint) eject(now time.Time) {
	decay := int(now.Sub(e.ejectedAt) / levelDecay)
	if e.ejectedAt.IsZero() || decay > e.level {
		decay = e.level
	}
	e.level -= decay
	ejectionTime := min(maxEjectionTime, minEjectionTime<<e.level)
	e.level = min(e.level+1, maxLevel)
	e.ejectedAt = now
	e.consecutiveFailures, e.probesPassed = 0, 0
	e.discardSamples()
	e.probe.Store(0)
	e.ejectedUntil.Store(now.Add(ejectionTime).UnixNano())
}

func (e *endpoint) discardSamples() {
	e.outcomes, e.failures, e.latency, e.latencies = 0, 0, 0, 0
	e.publishedBits.Store(0)
}
