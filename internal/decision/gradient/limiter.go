package gradient

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
)

const (
	defaultInitial = 8
	// defaultMax is above the batch size of an engine; it bounds the effect of a wrong
	// measurement.
	defaultMax = 256
	tolerance  = 3.0
	// smoothing is the weight of one measurement; the limit converges within about ten.
	smoothing = 0.1
	// minGradient bounds how far one measurement shrinks the limit.
	minGradient   = 0.5
	failureFactor = 0.9
	// windowFactor shrinks the limit when a window ends. Under a persistent queue, the
	// minimum latency of a window would include the time in the queue, and the limit would
	// grow with it from window to window.
	windowFactor = 0.7
	// window is the minimum time for which the minimum latency is kept.
	window = time.Minute
)

// Limiter is a carawayspread.Limiter that follows measured latency. It is safe for
// concurrent use.
type Limiter struct {
	clock   carawayspread.Clock
	max     float64
	running atomic.Int64
	permits atomic.Int64 // limit rounded down; at least 1

	mu             sync.Mutex // guards what follows
	limit          float64    // in [1, max]
	latency        float64    // smoothed, in seconds; zero before the first measurement
	minLatency     float64    // of this window, in seconds; zero before the first measurement
	prevMinLatency float64    // of the previous window, in seconds; zero if there was none
	windowStart    time.Time
	failedAt       time.Time // when a failure last shrank the limit
}

// Option sets an optional part of a Limiter.
type Option func(*Limiter)

// Max bounds the limit from above.
func Max(n int) Option { return func(l *Limiter) { l.max = float64(max(1, n)) } }

var _ = carawayspread.Limiters.Register("gradient", func(env carawayspread.Environment) carawayspread.Limiter {
	return New(env)
})

// New returns a limiter with a small initial limit.
func New(env carawayspread.Environment, opts ...Option) *Limiter {
	l := &Limiter{clock: env.Clock, max: defaultMax, limit: defaultInitial, windowStart: env.Clock.Now()}
	for _, opt := range opts {
		opt(l)
	}
	l.set(l.limit)
	return l
}

// Acquire takes a permit; false if none is left.
func (l *Limiter) Acquire() bool {
	for {
		running := l.running.Load()
		if running >= l.permits.Load() {
			return false
		}
		if l.running.CompareAndSwap(running, running+1) {
			return true
		}
	}
}

// Release returns a permit and updates the limit with the latency and outcome.
func (l *Limiter) Release(latency time.Duration, outcome carawayspread.Outcome) {
	running := l.running.Add(-1) + 1
	l.mu.Lock()
	defer l.mu.Unlock()
	switch outcome {
	case carawayspread.OutcomeFailed, carawayspread.OutcomeCrashed, carawayspread.OutcomeUnreachable:
		l.fail()
	case carawayspread.OutcomeServed:
		if latency > 0 {
			l.measure(latency.Seconds(), float64(running))
		}
	}
}

// Limit returns the current number of permits.
func (l *Limiter) Limit() int { return int(l.permits.Load()) }

func (l *Limiter) fail() {
	now := l.clock.Now()
	if now.Sub(l.failedAt).Seconds() <= l.latency {
		return
	}
	l.failedAt = now
	l.set(l.limit * failureFactor)
}

func (l *Limiter) measure(latency, running float64) {
	l.rotateWindow()
	if l.latency == 0 {
		l.latency = latency
	}
	l.latency += smoothing * (latency - l.latency)
	if l.minLatency == 0 || latency < l.minLatency {
		l.minLatency = latency
	}
	gradient := min(1, max(minGradient, tolerance*l.baseline()/l.latency))
	next := l.limit * gradient
	if running >= l.limit/2 {
		next += math.Sqrt(l.limit)
	} else if gradient == 1 {
		return // an unused limit is no evidence that a larger one would do
	}
	l.set(l.limit + smoothing*(next-l.limit))
}

// rotateWindow starts a new window of the minimum latency once the current one is over.
func (l *Limiter) rotateWindow() {
	now := l.clock.Now()
	if now.Sub(l.windowStart) < window {
		return
	}
	l.prevMinLatency, l.minLatency, l.windowStart = l.minLatency, 0, now
	l.set(l.limit * windowFactor)
}

// baseline returns the minimum latency of this and the previous window, in seconds.
func (l *Limiter) baseline() float64 {
	if l.prevMinLatency == 0 {
		return l.minLatency
	}
	return min(l.minLatency, l.prevMinLatency)
}

func (l *Limiter) set(limit float64) {
	l.limit = min(max(limit, 1), l.max)
	l.permits.Store(int64(l.limit))
}
