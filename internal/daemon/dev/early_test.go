package dev

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// A caller that comes before the entry holds a configuration is told to come
// back; it is not told that there are no models. Right after the start nothing
// has been accepted yet. The addresses are printed when a request is served.
func TestEarlyCallerIsToldToComeBack(t *testing.T) {
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	fleet, err := New(Options{Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0"}, carawayspread.SystemClock(), quiet)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	printed := make(announcement, 1)
	ended := make(chan error, 1)
	answers := make(chan [2]any, 1)
	go func() { // asks before anything runs: the listener is open, nobody accepts yet
		resp, err := http.Get("http://" + fleet.CallerAddress() + "/v1/models")
		if err != nil {
			answers <- [2]any{0, err.Error()}
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		answers <- [2]any{resp.StatusCode, string(body) + resp.Header.Get("Retry-After")}
	}()
	go func() { ended <- fleet.Run(ctx, printed) }()
	first := <-answers
	switch first[0] {
	case http.StatusServiceUnavailable:
		qt.Check(t, first[1], qt.Contains, `"notRun":true`)
	case http.StatusOK:
		qt.Check(t, first[1], qt.Contains, "stand-in", qt.Commentf("an empty list is no answer"))
	default:
		t.Errorf("%v %v", first[0], first[1])
	}
	qt.Check(t, <-printed, qt.Contains, fleet.CallerAddress())
	req, _ := http.NewRequest(http.MethodPost, "http://"+fleet.CallerAddress()+"/v1/completions", strings.NewReader(`{"model":"stand-in","prompt":"x"}`))
	req.Header.Set("X-Workspace", "demo")
	req.Header.Set("X-Class", "interactive")
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	_ = resp.Body.Close()
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("printed means served"))
	cancel()
	qt.Check(t, <-ended, qt.IsNil)
}

// announcement takes the first thing that is printed.
type announcement chan string

func (a announcement) Write(p []byte) (int, error) {
	select {
	case a <- string(p):
	default:
	}
	return len(p), nil
}
