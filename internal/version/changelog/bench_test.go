package changelog

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/standin/table"
)

// counting counts the bytes of all connections in both directions.
type counting struct {
	net.Listener
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *counting) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countedConn{Conn: conn, bytes: &l.bytes}, err
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPoll reports time and bytes on the wire, HTTP included, of a poll
// that finds nothing and of one that finds one change.
func BenchmarkPoll(b *testing.B) {
	ctx := context.Background()
	for name, behind := range map[string]carawayspread.Version{"unchanged": 0, "oneChange": 1} {
		b.Run(name, func(b *testing.B) {
			server := httptest.NewUnstartedServer(table.New(carawayspread.SystemClock()))
			counted := &counting{Listener: server.Listener}
			server.Listener = counted
			server.Start()
			defer server.Close()
			client := dynamodb.New(server.URL)
			defer client.Close()
			l := New(client, nil, instant{}, WithSnapshotEvery(1000))
			held := carawayspread.NewConfig(1, nil, nil, nil)
			first := proposal("ana", 1)
			first.Held = held
			if behind > 0 {
				_, _, err := l.Append(ctx, first)
				qt.Assert(b, err, qt.IsNil)
			}
			counted.bytes.Store(0)
			polls := 0
			for b.Loop() {
				cfg, _, err := l.CatchUp(ctx, held)
				if err != nil || cfg.Version() != 1+behind {
					b.Fatal(err)
				}
				polls++
			}
			b.ReportMetric(float64(counted.bytes.Load())/float64(polls), "wire-B/op")
		})
	}
}
