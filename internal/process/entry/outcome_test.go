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

// An attempt to an instance that no longer exists is marked as not run, and its
// outcome is "unreachable". Guards against counting it as a refusal, which would be
// taken for a temporary overload.
func TestUnreachableSidecarIsNoRefusal(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listener.Close(), qt.IsNil)
	client := sidecarhttp.NewClient(time.Second)
	defer client.Close()
	_, err = client.Do(context.Background(), sidecarhttp.Attempt{
		ID: "1", Endpoint: "a", Address: listener.Addr().String(), Method: "GET", Path: "/", Header: map[string][]string{},
	})
	failure := toError(err)
	qt.Check(t, failure.NotRun(), qt.IsTrue)
	qt.Check(t, outcome(context.Background(), failure), qt.Equals, carawayspread.OutcomeUnreachable)
}
