package tableclient

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayspread"
	"carawayspread/internal/connection/groupcommit"
)

// storeLatency is the latency that the stand-in adds to each request, that of a nearby table service.
const storeLatency = 5 * time.Millisecond

var claims atomic.Uint64

func nextClaim() carawayspread.Write { return claim(fmt.Sprint(claims.Add(1))) }

// BenchmarkOperation times sequential operations over loopback, through the client alone and through
// all decorators. The times include that of the stand-in.
func BenchmarkOperation(b *testing.B) {
	client, _ := startClient(b, carawayspread.SystemClock())
	ctx := context.Background()
	decorated := NewTable(client, carawayspread.SystemClock(), metrics.NewSet(), WithGroups(groupcommit.WithWindow(0), groupcommit.WithSpacing(0)))
	for name, table := range map[string]carawayspread.Table{"client": client, "decorated": decorated} {
		existing := nextClaim()
		if err := table.Apply(ctx, existing); err != nil {
			b.Fatal(err)
		}
		operations := map[string]func() error{
			"get":           func() error { _, err := table.Get(ctx, existing.Item.Key); return err },
			"query":         func() error { _, err := table.Query(ctx, "claim", "", 10); return err },
			"put":           func() error { return table.Apply(ctx, nextClaim()) },
			"transaction10": func() error { return table.Apply(ctx, manyClaims(10)...) },
		}
		for operation, do := range operations {
			b.Run(name+"/"+operation, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := do(); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func manyClaims(n int) []carawayspread.Write {
	writes := make([]carawayspread.Write, n)
	for i := range writes {
		writes[i] = nextClaim()
	}
	return writes
}

// BenchmarkConcurrentWrites has 200 callers that each write claims sequentially to a store with a
// latency of 5 ms, with and without group commit.
func BenchmarkConcurrentWrites(b *testing.B) {
	const callers = 200
	for _, grouped := range []bool{false, true} {
		b.Run(fmt.Sprintf("grouped=%v", grouped), func(b *testing.B) {
			client, service := startClient(b, carawayspread.SystemClock())
			service.SetSlow(storeLatency)
			var table carawayspread.Table = client
			if grouped {
				table = NewTable(client, carawayspread.SystemClock(), metrics.NewSet())
			}
			var wg sync.WaitGroup
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			for range callers {
				wg.Go(func() {
					for remaining.Add(-1) >= 0 {
						if err := table.Apply(context.Background(), nextClaim()); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
			b.ReportMetric(float64(service.Writes())/float64(b.N), "requests/write")
		})
	}
}

// BenchmarkPacedWrites has writes arrive at random times, at the rates of one entry, and reports the
// requests at the platform and the latency by the spacing of groups.
func BenchmarkPacedWrites(b *testing.B) {
	for _, rate := range []int{20, 130, 500} {
		for _, spacing := range []time.Duration{0, 20, 50, 100} {
			spacing *= time.Millisecond
			b.Run(fmt.Sprintf("rate=%d/spacing=%v", rate, spacing), func(b *testing.B) {
				client, service := startClient(b, carawayspread.SystemClock())
				service.SetSlow(storeLatency)
				table := NewTable(client, carawayspread.SystemClock(), metrics.NewSet(), WithGroups(groupcommit.WithSpacing(spacing)))
				random := rand.New(rand.NewPCG(1, 2))
				var wg sync.WaitGroup
				var waited atomic.Int64
				next := time.Now()
				for range b.N {
					next = next.Add(time.Duration(random.ExpFloat64() / float64(rate) * float64(time.Second)))
					time.Sleep(time.Until(next))
					wg.Go(func() {
						began := time.Now()
						if err := table.Apply(context.Background(), nextClaim()); err != nil {
							b.Error(err)
						}
						waited.Add(int64(time.Since(began)))
					})
				}
				wg.Wait()
				b.ReportMetric(float64(service.Writes())/float64(b.N), "requests/write")
				b.ReportMetric(float64(waited.Load())/float64(b.N)/1e6, "ms/write")
			})
		}
	}
}
