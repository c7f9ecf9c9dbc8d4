package dynamodb

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/standin/table"
)

// A daemon reads from a service that answers at once, one request after the
// other. All of them go over one connection. Were a connection given up under
// an answer, a read would fail now and then although the service is well, and a
// write would be reported as unknown.
func TestConnectionIsKept(t *testing.T) {
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(table.New(carawayspread.SystemClock()))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := New(server.URL)
	defer client.Close()
	for range 2000 {
		_, err := client.Get(context.Background(), carawayspread.Key{Partition: "p", Sort: "a"})
		qt.Assert(t, errors.Is(err, carawayspread.ErrNoItem), qt.IsTrue, qt.Commentf("%v", err))
	}
	qt.Check(t, opened.Load(), qt.Equals, int64(1))
}
