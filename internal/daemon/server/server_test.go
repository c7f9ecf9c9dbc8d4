package server

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Guards against a daemon that never exits because a request to it never ends.
func TestShutdownReturnsDespiteStuckRequest(t *testing.T) {
	const within = 50 * time.Millisecond
	for name, handle := range map[string]func(r *http.Request, release chan struct{}){
		"request ends with its context": func(r *http.Request, _ chan struct{}) { <-r.Context().Done() },
		"request never ends":            func(_ *http.Request, release chan struct{}) { <-release },
	} {
		t.Run(name, func(t *testing.T) {
			running, release, cause := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			defer close(release)
			s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				context.AfterFunc(r.Context(), func() { cause <- context.Cause(r.Context()) })
				close(running)
				handle(r, release)
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
			returned := make(chan struct{})
			go func() {
				s.ShutdownWithin(within)
				close(returned)
			}()
			select {
			case <-returned:
			case <-time.After(5 * time.Second):
				t.Fatal("ShutdownWithin waits for the request")
			}
			qt.Check(t, <-cause, qt.Equals, carawayspread.ErrShutdown)
			qt.Check(t, <-served, qt.IsNil)
		})
	}
}
