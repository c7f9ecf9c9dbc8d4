package base

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/daemon/server"
	"carawayspread/internal/version/settings"
)

// A request that outlasts the grace period is left to the end of the servers, which break off what is
// not answered within 150 ms: it must be aborted before, and have its answer when FinishRequests
// returns.
func TestFinishRequestsAbortsWhatOutlastsTheGrace(t *testing.T) {
	s, err := settings.Parse("test", []byte(`{
		"instance": {"id": "s", "role": "sidecar", "region": "r", "zone": "z"},
		"addresses": {"listen": "127.0.0.1:0", "control": "127.0.0.1:0"},
		"platform": {"table": "127.0.0.1:1", "objects": "127.0.0.1:1", "bucket": "b", "instanceList": "127.0.0.1:1", "weights": "127.0.0.1:1"},
		"timeouts": {"grace": "5s"},
		"endpoints": [{"id": "e", "service": "m", "kind": "model", "address": "127.0.0.1:1", "checksFence": true, "slots": 1}],
	}`))
	qt.Assert(t, err, qt.IsNil)
	b := New(s, carawayspread.SystemClock(), &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	started, aborted := make(chan struct{}), make(chan error, 1)
	srv, err := server.Listen("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		aborted <- context.Cause(r.Context())
	}))
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = srv.Run() }()
	defer func() { srv.ShutdownWithin(time.Millisecond) }()
	go func() {
		if resp, err := http.Get("http://" + srv.Address()); err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-started
	var cause error
	wait := func(ctx context.Context) error {
		select {
		case cause = <-aborted:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	begun := time.Now()
	qt.Check(t, b.FinishRequests(context.Background(), srv, wait), qt.IsNil)
	qt.Check(t, time.Since(begun) < s.Timeouts().Grace(), qt.IsTrue)
	qt.Check(t, cause, qt.Equals, carawayspread.ErrShutdown)
}
