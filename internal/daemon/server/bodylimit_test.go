package server

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/connection/control"
)

// endless gives bytes without end, up to a bound, and counts them.
type endless struct{ sent atomic.Int64 }

func (e *endless) Read(p []byte) (int, error) {
	if e.sent.Add(int64(len(p))) > 256<<20 {
		return 0, io.EOF
	}
	return len(p), nil
}

// queries is a Control service that nothing reaches.
type queries struct{ control.Control }

// Guards against a process that runs out of memory: whoever can reach the address for queries of other processes
// sends a body without end, and all of it is held.
func TestQueryWithoutEndIsNotHeld(t *testing.T) {
	s, err := Listen("127.0.0.1:0", control.NewControlServer(queries{}), WithBodyLimit(QueryLimit))
	qt.Assert(t, err, qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	body := &endless{}
	resp, err := http.Post("http://"+s.Address()+control.ControlPathPrefix+"Status", "application/protobuf", body)
	if err == nil {
		qt.Check(t, resp.StatusCode >= http.StatusBadRequest, qt.IsTrue)
		_ = resp.Body.Close()
	}
	qt.Check(t, body.sent.Load() < 64<<20, qt.IsTrue, qt.Commentf("%d MB", body.sent.Load()>>20))
	qt.Check(t, s.http.Close(), qt.IsNil)
	qt.Check(t, <-ended, qt.IsNil)
}
