package confsync

import (
	"context"
	"sync"
	"testing"
	"time"

	"carawayspread"
)

// BenchmarkPropagation reports how long after its acceptance a change is held by the last of 100
// daemons, which poll independently at the default times. In the case "nudged", each daemon is
// notified of the change when it is accepted.
func BenchmarkPropagation(b *testing.B) {
	const daemons = 100
	for name, notified := range map[string]bool{"polls": false, "nudged": true} {
		b.Run(name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			source := newMemoryLog(1)
			var running, adopting sync.WaitGroup
			syncers := make([]*Syncer, daemons)
			adopting.Add(daemons)
			for i := range syncers {
				syncers[i] = New(source, carawayspread.SystemClock(), WithLogger(quiet),
					WithAdopted(func(*carawayspread.Config) { adopting.Done() }))
				running.Go(func() { _ = syncers[i].Run(ctx) })
			}
			adopting.Wait()
			var longest time.Duration
			for b.Loop() {
				adopting.Add(daemons)
				accepted := time.Now()
				source.append()
				for _, s := range syncers {
					if notified {
						s.ObserveVersion(source.newest())
					}
				}
				adopting.Wait()
				longest = max(longest, time.Since(accepted))
			}
			b.ReportMetric(longest.Seconds(), "longest-s")
			cancel()
			running.Wait()
		})
	}
}

func (l *memoryLog) newest() carawayspread.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions[len(l.versions)-1].Version()
}
