package entry

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
)

// The caller of a request that met an instance which is gone may be told "not
// run", and the endpoint counts as lost, not as one that refused for the moment.
func TestUnreachableSidecarIsNoRefusal(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, gone.Close(), qt.IsNil)
	client := sidecarhttp.NewClient(time.Second)
	defer client.Close()
	_, err = client.Do(context.Background(), sidecarhttp.Attempt{
		ID: "1", Endpoint: "a", Address: gone.Addr().String(), Method: "GET", Path: "/", Header: map[string][]string{},
	})
	failure := typed(err)
	qt.Check(t, failure.NotRun(), qt.IsTrue)
	qt.Check(t, outcome(context.Background(), failure), qt.Equals, carawayspread.OutcomeUnreachable)
}
