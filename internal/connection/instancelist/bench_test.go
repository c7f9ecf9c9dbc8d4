package instancelist

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/standin/instances"
)

// countingConn counts the bytes that a connection carries in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkRead reports the bytes on the wire of a poll of the list, unchanged and changed, by the
// number of sidecars with four workers each.
func BenchmarkRead(b *testing.B) {
	for _, sidecars := range []int{5, 50, 325} {
		service := instances.New(carawayspread.SystemClock(), 0)
		for i := range sidecars {
			row := carawayspread.Instance{
				ID: fmt.Sprintf("sidecar-%04d", i), Role: carawayspread.InstanceSidecar, State: carawayspread.InstanceLive,
				Region: "suva-central", Zone: "walu-bay", Address: "10.100.100.100:7070", Control: "10.100.100.100:7071",
			}
			for k := range 4 {
				row.Endpoints = append(row.Endpoints, carawayspread.InstanceEndpoint{
					ID: carawayspread.EndpointID(fmt.Sprintf("worker-%04d-%d", i, k)), Service: "claims-assistant",
				})
			}
			service.Put(row)
		}
		for name, changed := range map[string]bool{"unchanged": false, "changed": true} {
			b.Run(fmt.Sprintf("sidecars=%d/%s", sidecars, name), func(b *testing.B) {
				server := httptest.NewServer(service)
				defer server.Close()
				list := New(server.URL)
				defer list.Close()
				var bytes atomic.Int64
				list.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
					return countingConn{conn, &bytes}, err
				}
				_, current, err := list.List(context.Background(), "")
				qt.Assert(b, err, qt.IsNil)
				bytes.Store(0)
				n := 0
				for b.Loop() {
					revision := current
					if changed {
						revision = ""
					}
					_, _, err := list.List(context.Background(), revision)
					qt.Assert(b, err, qt.IsNil)
					n++
				}
				b.ReportMetric(float64(bytes.Load())/float64(n), "wire-B/op")
			})
		}
	}
}
