package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// target is what a consumer asks for.
type target struct{ id, line string }

// sendLine sends a request with this request line, as it is, and returns the status of the answer; zero if there is
// none.
func sendLine(to string, t target, body string) int {
	c, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	_, _ = fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: ficu95.example\r\nCarawayspread-Request-Id: %s\r\nCarawayspread-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", t.line, t.id, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// pathChanged: a manifest adds a route with the prefix "/". Consumers ask for paths below it, of which some begin with
// two slashes.
func pathChanged(dir string, trouble bool) bool {
	record := newRecord(dir)
	tmp := temporaryFolder()
	defer func() { _ = os.RemoveAll(tmp) }()
	defer stopAll()
	store := newStore()
	const service = `{"name":"s","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}`
	route := func(name, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"host":"ficu95.example","prefix":%q,"kind":"unsafe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"s","max_attempts":1}`, name, prefix)
	}
	store.Config(route("r-1", "/puxa403/"), service)
	stop := make(chan struct{})
	defer close(stop)
	var workers []*Worker
	for n := 1; n <= 3; n++ {
		w := newWorker(fmt.Sprintf("i-%d", n), "s", fmt.Sprintf("z%d", n), answerWhole)
		w.Beat(store, stop)
		workers = append(workers, w)
	}
	gateways := newGateways(tmp, 3, store.Address, 284)
	for _, g := range gateways {
		g.Start()
	}
	waitReady(gateways, 10*time.Second)
	time.Sleep(5 * time.Second)
	if trouble {
		store.Config(route("r-1", "/puxa403/")+","+route("r-2", "/"), service)
		record.Line("the manifest changes: a route with the prefix / is added")
	}
	time.Sleep(3 * time.Second) // longer than config_apply_ms
	sent := map[string]string{}
	n := 0
	for range 5 {
		for _, g := range gateways {
			for _, path := range []string{"/puxa403/2f", "/puxa403//2f", "/entry/7", "//entry/7", "//entry/7?of=2"} {
				n++
				t := target{id: fmt.Sprintf("%016x", n), line: "POST " + path}
				sent[t.id] = t.line + " HTTP/1.1"
				status := sendLine(g.Front, t, "body of "+t.id)
				record.Line("%s sent to %s as %s: %d", t.line, g.Name, t.id, status)
			}
		}
	}
	ran, changed := 0, 0
	for _, w := range workers {
		for _, got := range w.Got() {
			id := got.Header.Get("Carawayspread-Request-Id")
			ran++
			switch want, ok := sent[id]; {
			case !ok:
				record.Line("UNASKED: worker %s ran %q with the id %q, which no consumer sent", w.ID, got.Line, id)
				changed++
			case want != got.Line || string(got.Body) != "body of "+id:
				record.Line("UNASKED: worker %s ran %s as %q; the consumer sent %q", w.ID, id, strings.TrimSpace(got.Line), want)
				changed++
			}
		}
	}
	record.Line("UNASKED: %d of %d requests that workers ran were changed", changed, ran)
	return changed > 0
}
