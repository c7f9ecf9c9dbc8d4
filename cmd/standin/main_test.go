package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// Guards against a stand-in that does not start, print its address or end with its context, and
// against faults and counters that do not work over HTTP: a mistyped fault is refused.
func TestAll(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- newApp(writer).RunContext(ctx, []string{"standin", "all", "--model", "m"}) }()

	addresses := map[string]string{}
	lines := bufio.NewScanner(reader)
	for len(addresses) < len(standins.Names()) && lines.Scan() {
		name, address, _ := strings.Cut(lines.Text(), "=")
		addresses[name] = "http://" + address
	}
	post := func(body string) int {
		resp, err := http.Post(addresses["table"]+"/faults", "application/json", strings.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.Body.Close(), qt.IsNil)
		return resp.StatusCode
	}
	get := func(url string) string {
		resp, err := http.Get(url)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		return string(body)
	}
	qt.Check(t, post(`{"down":true}`), qt.Equals, http.StatusNoContent)
	qt.Check(t, post(`{"dwn":true}`), qt.Equals, http.StatusBadRequest)
	_, err := http.Post(addresses["table"], "application/json", nil)
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, get(addresses["table"]+"/counters"), qt.Equals, `{"reads":0,"writes":0}`+"\n")
	qt.Check(t, get(addresses["instances"]+"/instances"), qt.Equals, `{"instances":[]}`+"\n")
	qt.Check(t, get(addresses["engine"]+"/v1/models"), qt.Contains, `"m"`)
	cancel()
	qt.Check(t, <-ended, qt.IsNil)
}
