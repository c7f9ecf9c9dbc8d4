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

// countingListener counts the bytes of all connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &l.bytes}, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPoll reports the time and the bytes on the wire, including HTTP, of a poll that finds no
// change and of one that finds one.
func BenchmarkPoll(b *testing.B) {
	ctx := context.Background()
	for name, behind := range map[string]carawayspread.Version{"unchanged": 0, "oneChange": 1} {
		b.Run(name, func(b *testing.B) {
			server := httptest.NewUnstartedServer(table.New(carawayspread.SystemClock()))
			counted := &countingListener{Listener: server.Listener}
			server.Listener = counted
			server.Start()
			defer server.Close()
			client := dynamodb.New(server.URL)
			defer client.Close()
			l := New(client, nil, instantClock{}, WithSnapshotEvery(1000))
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
