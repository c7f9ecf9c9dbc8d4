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

// Guards against an empty list of models for a caller that arrives before the entry has a configuration,
// right after the start. The caller must get a refusal that allows a retry. Also guards against
// addresses that are printed before requests are served.
func TestRequestDuringStartupIsRetryable(t *testing.T) {
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	fleet, err := New(Options{Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0"}, carawayspread.SystemClock(), logger)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	printed := make(firstWrite, 1)
	ended := make(chan error, 1)
	answers := make(chan [2]any, 1)
	go func() { // sent before the fleet runs: the address is open, but no connection is accepted yet
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
	answer := <-answers
	switch answer[0] {
	case http.StatusServiceUnavailable:
		qt.Check(t, answer[1], qt.Contains, `"notRun":true`)
	case http.StatusOK:
		qt.Check(t, answer[1], qt.Contains, "stand-in", qt.Commentf("the list must not be empty"))
	default:
		t.Errorf("%v %v", answer[0], answer[1])
	}
	qt.Check(t, <-printed, qt.Contains, fleet.CallerAddress())
	req, _ := http.NewRequest(http.MethodPost, "http://"+fleet.CallerAddress()+"/v1/completions", strings.NewReader(`{"model":"stand-in","prompt":"x"}`))
	req.Header.Set("X-Workspace", "demo")
	req.Header.Set("X-Class", "interactive")
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	_ = resp.Body.Close()
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("requests must be served once the addresses are printed"))
	cancel()
	qt.Check(t, <-ended, qt.IsNil)
}

// firstWrite is a writer that keeps only the first write.
type firstWrite chan string

func (a firstWrite) Write(p []byte) (int, error) {
	select {
	case a <- string(p):
	default:
	}
	return len(p), nil
}
