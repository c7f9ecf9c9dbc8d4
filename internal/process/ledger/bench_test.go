package ledger

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/connection/tableclient"
	"carawayspread/internal/standin/table"
)

// BenchmarkRequests claims and completes requests through several entries against a store with a
// latency of 5 ms, and reports the number of platform requests per run.
func BenchmarkRequests(b *testing.B) {
	tests := map[string]struct{ entries, callers int }{
		"one entry, 1 caller":         {1, 1},
		"one entry, 200 callers":      {1, 200},
		"35 entries, 4 callers each":  {35, 4},
		"35 entries, 40 callers each": {35, 40},
	}
	for name, test := range tests {
		b.Run(name, func(b *testing.B) {
			clock := carawayspread.SystemClock()
			service := table.New(clock)
			service.SetSlow(5 * time.Millisecond)
			server := httptest.NewServer(service)
			defer server.Close()
			var wg sync.WaitGroup
			var next atomic.Int64
			for range test.entries {
				client := dynamodb.New(server.URL)
				defer client.Close()
				l := New(tableclient.NewTable(client, clock, metrics.NewSet()), objects{}, clock)
				for range test.callers {
					wg.Go(func() {
						for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
							claim, _, err := l.Begin(context.Background(), request(b, fmt.Sprint(n), ""))
							if err == nil {
								err = claim.Done(context.Background(), answer)
							}
							if err != nil {
								b.Error(err)
								return
							}
						}
					})
				}
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "runs/s")
			b.ReportMetric(float64(service.Writes())/float64(b.N), "writes/run")
			b.ReportMetric(float64(service.Reads())/float64(b.N), "reads/run")
		})
	}
}
