package server

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Guards against a daemon that never ends, as a request to it never does.
func TestServerEndsThoughARequestDoesNot(t *testing.T) {
	const within = 50 * time.Millisecond
	for name, ends := range map[string]func(r *http.Request, over chan struct{}){
		"it ends with its context": func(r *http.Request, _ chan struct{}) { <-r.Context().Done() },
		"it ends with nothing":     func(_ *http.Request, over chan struct{}) { <-over },
	} {
		t.Run(name, func(t *testing.T) {
			running, over, cause := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			defer close(over)
			s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				context.AfterFunc(r.Context(), func() { cause <- context.Cause(r.Context()) })
				close(running)
				ends(r, over)
			}))
			qt.Assert(t, err, qt.IsNil)
			served := make(chan error, 1)
			go func() { served <- s.Run() }()
			go func() {
				if resp, err := http.Get("http://" + s.Address()); err == nil {
					_ = resp.Body.Close()
				}
			}()
			<-running
			ended := make(chan struct{})
			go func() {
				s.ShutdownWithin(within)
				close(ended)
			}()
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Fatal("it waits for the request")
			}
			qt.Check(t, <-cause, qt.Equals, carawayspread.ErrShutdown)
			qt.Check(t, <-served, qt.IsNil)
		})
	}
}
