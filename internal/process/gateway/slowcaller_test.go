package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// standingCaller takes the first event after it was told to read on.
type standingCaller struct {
	*httptest.ResponseRecorder
	blocked chan struct{} // closed when the first write begins
	readOn  chan struct{}
}

func (s *standingCaller) Write(p []byte) (int, error) {
	select {
	case <-s.readOn:
	default:
		close(s.blocked)
		<-s.readOn
	}
	return s.ResponseRecorder.Write(p)
}

// A caller stands still at the first event of its stream. The endpoint's answer must be taken to its end meanwhile,
// since the endpoint cuts off what stays unread for seconds; the caller then gets all of it.
func TestStandingCallerLosesNothing(t *testing.T) {
	sent, rest := make(chan error, 1), "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	b := newHarness(t, func(s sentAttempt) (*carawayspread.Reply, error) {
		body, endpoint := io.Pipe() // a write to it returns once it was read
		go func() {
			_, err := io.WriteString(endpoint, "id: 1\ndata: a\n\n")
			if err == nil {
				_, err = io.WriteString(endpoint, rest)
			}
			sent <- err
			_ = endpoint.Close()
		}()
		r := reply(s, http.StatusOK, "", io.EOF)
		r.Body = body
		return r, nil
	})
	caller := &standingCaller{httptest.NewRecorder(), make(chan struct{}), make(chan struct{})}
	served := make(chan struct{})
	go func() {
		defer close(served)
		r := httptest.NewRequest(http.MethodPost, "/resume/x", strings.NewReader("body"))
		r.Host = "a.example"
		r.Header.Set("Carawayspread-Request-Id", "id-1")
		b.gateway.ServeHTTP(caller, r)
	}()
	<-caller.blocked
	select {
	case err := <-sent:
		qt.Check(t, err, qt.IsNil)
	case <-time.After(10 * time.Second):
		t.Error("the endpoint waits for the caller")
	}
	close(caller.readOn)
	<-served
	qt.Check(t, caller.Body.String(), qt.Equals, "id: 1\ndata: a\n\n"+rest)
	qt.Check(t, b.gateway.readAhead.Used(), qt.Equals, int64(0))
}
