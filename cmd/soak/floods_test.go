package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/soak/program"
	"carawayspread/internal/standin/raw"
	"carawayspread/internal/standin/rows"
)

// Guards against a gateway that runs out of its memory, and loses the requests of all other callers: workers send
// heads and bodies to many requests at once, each just short of what one answer may have, and do not go on.
func TestFloodsAtOnceStayWithinTheMemory(t *testing.T) {
	const memoryMegabytes, requests = 100, 200
	dir := t.TempDir()
	binary := buildGateway(t, dir)
	manyFields := func() string {
		var b strings.Builder
		for i := 0; b.Len() < 60<<10; i++ {
			_, _ = fmt.Fprintf(&b, "X%x:\r\n", i)
		}
		return b.String()
	}()
	unframed := "Connection: close\r\n\r\n"
	for name, sent := range map[string]struct{ path, head, body string }{
		"one event":     {"/once/x", unframed, "data: " + strings.Repeat("x", 1<<20-100)},
		"comments":      {"/once/x", unframed, strings.Repeat(": waiting\n\n", 5<<10)},
		"bodies":        {"/order/x", unframed, strings.Repeat("x", 7<<20)},
		"many fields":   {"/order/x", manyFields + unframed, "x"},
		"a long head":   {"/order/x", "X-More: " + strings.Repeat("x", 60<<10), ""},
		"errors":        {"/once/x", unframed, strings.Repeat("x", 1<<20-100)},
		"fields, event": {"/once/x", manyFields + unframed, "data: " + strings.Repeat("x", 1<<20-100)},
	} {
		t.Run(name, func(t *testing.T) {
			over := make(chan struct{})
			var arrived atomic.Int64
			status := http.StatusOK
			if name == "errors" {
				status = http.StatusInternalServerError
			}
			store := rows.New()
			platform := httptest.NewServer(store)
			t.Cleanup(platform.Close)
			store.Publish(1, "model")
			for i := range 9 {
				worker, err := raw.New(func(conn *net.TCPConn, req *http.Request) {
					if req.URL.Path == "/lookup/x" || i == 8 { // that one is sound
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCarawayspread-Request-Id: %s\r\nCarawayspread-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("Carawayspread-Request-Id"))
						return
					}
					arrived.Add(1)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nCarawayspread-Request-Id: %s\r\nCarawayspread-Server-Seal: s\r\n%s%s", status, req.Header.Get("Carawayspread-Request-Id"), sent.head, sent.body)
					<-over
				})
				qt.Assert(t, err, qt.IsNil)
				t.Cleanup(worker.Close)
				service, stage := "plain", ""
				if i < 4 {
					service, stage = "model", "decode"
				}
				qt.Assert(t, store.PutServer(fmt.Sprint("w", i), rows.Server{Service: service, Address: worker.Address(), Zone: "z", Slots: 64, State: "ready", Stage: stage, Seq: 1}), qt.IsNil)
			}
			addresses := freeAddresses(t, 4)
			settings := filepath.Join(t.TempDir(), "settings.json")
			qt.Assert(t, os.WriteFile(settings, fmt.Appendf(nil, `{"instance":{"id":"g","zone":"z"},"addresses":{"listen":%q,"health":%q,"peer":%q,"metrics":%q},
				"store":%q,"seeds":[],"grace":"8s","memoryMegabytes":%d,"retries":{"ratio":0.2,"slack":50,"window":"10s"}}`,
				addresses[0], addresses[1], addresses[2], addresses[3], strings.TrimPrefix(platform.URL, "http://"), memoryMegabytes), 0o600), qt.IsNil)
			logFile := filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+".log")
			p, err := program.New(logFile, binary, "--config", settings)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, p.Start(), qt.IsNil)
			t.Cleanup(p.Close)
			send := func(path, id string) (int, error) {
				req, err := http.NewRequest(http.MethodPost, "http://"+addresses[0]+path, strings.NewReader("x"))
				if err != nil {
					return 0, err
				}
				req.Host = "a.example"
				req.Header.Set("Carawayspread-Request-Id", id)
				req.Header.Set("Carawayspread-Token-Count", "10,10")
				client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
				resp, err := client.Do(req)
				if err != nil {
					return 0, err
				}
				defer func() { _ = resp.Body.Close() }()
				_, err = io.Copy(io.Discard, resp.Body)
				return resp.StatusCode, err
			}
			lookup := func() int { status, _ := send("/lookup/x", "sound"); return status }
			for until := time.Now().Add(10 * time.Second); lookup() != http.StatusOK; time.Sleep(20 * time.Millisecond) {
				qt.Assert(t, time.Now().Before(until), qt.IsTrue)
			}
			var running sync.WaitGroup
			var answers sync.Map
			for i := range requests {
				running.Go(func() {
					status, _ := send(sent.path, fmt.Sprint("id-", i))
					n, _ := answers.LoadOrStore(status, new(atomic.Int64))
					n.(*atomic.Int64).Add(1)
				})
			}
			ended := make(chan struct{})
			go func() { running.Wait(); close(ended) }()
			peak, served, asked := 0, 0, 0
			for done := false; !done; {
				select {
				case <-ended:
					done = true
				case <-time.After(20 * time.Millisecond):
				}
				peak = max(peak, p.MemoryMegabytes())
				if asked++; asked%10 == 0 && lookup() == http.StatusOK {
					served += 10
				}
			}
			close(over)
			var text []string
			answers.Range(func(k, v any) bool { text = append(text, fmt.Sprint(k, ": ", v.(*atomic.Int64).Load())); return true })
			t.Logf("%d MB at the peak, %d requests reached workers, %d of %d lookups served, %v", peak, arrived.Load(), served, asked/10*10, text)
			qt.Check(t, peak <= memoryMegabytes, qt.IsTrue, qt.Commentf("%d MB", peak))
		})
	}
}

// freeAddresses returns addresses at which nothing listens.
func freeAddresses(t *testing.T, n int) (addresses []string) {
	t.Helper()
	for range n {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.1:0", 100+os.Getpid()>>8&63, os.Getpid()&255))
		qt.Assert(t, err, qt.IsNil)
		addresses = append(addresses, listener.Addr().String())
		_ = listener.Close()
	}
	return addresses
}
