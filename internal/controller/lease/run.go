package lease

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	renewDivisor  = 3 // two renewals may fail before the term ends
	jitterDivisor = 4 // maximum random fraction of a renewal delay
	// releaseTimeout bounds the release on shutdown. If the release fails, a successor waits for
	// the term.
	releaseTimeout = time.Second
)

func defaultJitter() float64 { return rand.Float64() }

func (e leaseRecord) term() time.Duration { return time.Duration(e.TermMs) * time.Millisecond }

// Run acquires and renews the lease until ctx ends and then releases it. Delays have jitter, so
// that processes that start together do not write at the same time.
func (l *Lease) Run(ctx context.Context) error {
	for {
		_ = l.Try(ctx)
		select {
		case <-l.clock.After(l.renewDelay()):
		case <-ctx.Done():
			release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			return l.Release(release)
		}
	}
}

func (l *Lease) renewDelay() time.Duration {
	base := l.term / renewDivisor
	return base - time.Duration(l.jitter()*float64(base)/jitterDivisor)
}
