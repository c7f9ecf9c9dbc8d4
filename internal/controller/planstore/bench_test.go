package planstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/standin/table"
)

// BenchmarkReadPlan reports the size of the table's response bodies by the number of orders in the
// plan.
func BenchmarkReadPlan(b *testing.B) {
	for _, n := range []int{1, 100, 325} {
		b.Run(fmt.Sprint("steps=", n), func(b *testing.B) {
			ctx, service := context.Background(), table.New(carawayspread.SystemClock())
			var bodyBytes atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				recorder := httptest.NewRecorder()
				service.ServeHTTP(recorder, r)
				bodyBytes.Add(int64(recorder.Body.Len()))
				w.WriteHeader(recorder.Code)
				_, _ = w.Write(recorder.Body.Bytes())
			}))
			defer server.Close()
			client := dynamodb.New(server.URL)
			defer client.Close()
			list := []Step{}
			for i := range n {
				id := carawayspread.EndpointID(fmt.Sprintf("worker-%04d", i))
				order := carawayspread.Order{ID: fmt.Sprintf("%s/1", id), Kind: carawayspread.OrderSetRole, Value: "decode"}
				list = append(list, Step{Endpoint: id, Order: order})
			}
			body, err := json.Marshal(list)
			qt.Assert(b, err, qt.IsNil)
			store := New(client, "s")
			qt.Assert(b, client.Apply(ctx, carawayspread.Write{Item: carawayspread.Item{Key: store.key, Token: "t", Body: body}}), qt.IsNil)
			bodyBytes.Store(0)
			reads := 0
			for b.Loop() {
				plan, err := store.Read(ctx)
				qt.Assert(b, err, qt.IsNil)
				qt.Assert(b, plan.Steps(), qt.HasLen, n)
				reads++
			}
			b.ReportMetric(float64(bodyBytes.Load())/float64(reads), "answer-B/op")
		})
	}
}
