// Package main is a small deployment for the cases of the review: the project's gateways as processes, and
// stand-ins of the platform's store, of workers and of consumers on loopback addresses.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"carawayspread/internal/standin/rows"
)

// Record writes lines to record.txt with the time since the start.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(dir string) *Record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return &Record{f: f, start: time.Now()}
}

func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// host returns a loopback address that only this process uses.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 96+pid>>16&31, pid>>8&255, 1+pid%254)
}

// reserved holds the ports of gateways that have not started, so that none is given twice.
var reserved = map[string]net.Listener{}

// freeAddress returns an address that stays reserved until release.
func freeAddress() string {
	l, err := net.Listen("tcp4", host()+":0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	reserved[l.Addr().String()] = l
	return l.Addr().String()
}

func release(addresses ...string) {
	for _, a := range addresses {
		if l := reserved[a]; l != nil {
			_ = l.Close()
			delete(reserved, a)
		}
	}
}

// folder is the temporary folder of the case.
var folder string

func temporaryFolder() string {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	folder = dir
	return dir
}

// cannotRun ends the case: it could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	stopAll()
	if folder != "" {
		_ = os.RemoveAll(folder)
	}
	os.Exit(2)
}

var (
	started   []*exec.Cmd
	startedMu sync.Mutex
)

func stopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, c := range started {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	started = nil
}

// Store is the platform's store behind an address.
type Store struct {
	*rows.Store
	Address string
	version int
}

func newStore() *Store {
	l, err := net.Listen("tcp4", host()+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	s := &Store{Store: rows.New(), Address: l.Addr().String()}
	s.SetEra(0)
	go func() { _ = http.Serve(l, s.Store) }()
	return s
}

// Config writes a manifest with these routes and services.
func (s *Store) Config(routes, services string) {
	s.version += 3
	s.Put("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		s.version, routes, services))
}

// Gateway is one process of the project.
type Gateway struct {
	Name, Front, Ready, Control, Metrics string
	settings, log                        string
	cmd                                  *exec.Cmd
}

// newGateways returns n gateways with the settings that deploy/gateway.jsonc.tmpl makes of a small deployment.
func newGateways(dir string, n int, store string, memory int) []*Gateway {
	var all []*Gateway
	var seeds []string
	for i := range n {
		g := &Gateway{Name: fmt.Sprintf("front-%d", i+1), Front: freeAddress(), Ready: freeAddress(), Control: freeAddress(), Metrics: freeAddress()}
		all = append(all, g)
		if i < 3 {
			seeds = append(seeds, g.Control)
		}
	}
	list, _ := json.Marshal(seeds)
	for i, g := range all {
		g.settings, g.log = filepath.Join(dir, g.Name+".jsonc"), filepath.Join(dir, g.Name+".log")
		text := fmt.Sprintf(`{
  "instance": { "id": %q, "zone": "z%d" },
  "addresses": { "listen": %q, "health": %q, "peer": %q, "metrics": %q },
  "seeds": %s,
  "store": %q,
  "firstStart": true,
  "grace": "8s",
  "memoryMegabytes": %d,
  "limits": { "cores": 0.304, "linkMegabits": 1000.0, "descriptors": 4100, "maxLateness": "50ms", "waiting": 64 },
  "promises": { "leaving": "2000ms", "inForce": "2000ms" },
  "retries": { "ratio": 0.2, "slack": 56, "window": "10s" }
}
`, g.Name, i%3+1, g.Front, g.Ready, g.Control, g.Metrics, list, store, memory)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			cannotRun("%v", err)
		}
	}
	return all
}

func (g *Gateway) Start() {
	f, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer func() { _ = f.Close() }()
	g.cmd = exec.Command("target/gateway")
	g.cmd.Env = []string{"CARAWAYSPREAD_BOOT=" + g.settings, "PATH=" + os.Getenv("PATH")}
	g.cmd.Stdout, g.cmd.Stderr = f, f
	release(g.Front, g.Ready, g.Control, g.Metrics)
	if err := g.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	startedMu.Lock()
	started = append(started, g.cmd)
	startedMu.Unlock()
}

func (g *Gateway) Signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

func (g *Gateway) IsReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + g.Ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

func waitReady(all []*Gateway, d time.Duration) {
	for end := time.Now().Add(d); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range all {
			if g.IsReady() {
				ready++
			}
		}
		if ready == len(all) {
			return
		}
		if time.Now().After(end) {
			cannotRun("only %d of %d gateways are ready", ready, len(all))
		}
	}
}

// Got is a request as a worker has read it.
type Got struct {
	Line   string // request line
	Header http.Header
	Body   []byte
	At     time.Time
}

// Worker is a plain worker that reads requests from its connections itself.
type Worker struct {
	ID, Service, Zone string
	listener          net.Listener
	mu                sync.Mutex
	got               []Got
	seq               int
	answer            func(w *Worker, g Got, conn net.Conn) bool // reports whether the connection stays open
}

func newWorker(id, service, zone string, answer func(*Worker, Got, net.Conn) bool) *Worker {
	l, err := net.Listen("tcp4", host()+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	w := &Worker{ID: id, Service: service, Zone: zone, listener: l, answer: answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return w
}

func (w *Worker) Address() string { return w.listener.Addr().String() }

func (w *Worker) Got() []Got {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Got(nil), w.got...)
}

func (w *Worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		head, err := readHead(r)
		if err != nil {
			return
		}
		line, rest, _ := strings.Cut(head, "\r\n")
		target := line
		if f := strings.SplitN(line, " ", 3); len(f) == 3 {
			target = f[1]
		}
		req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\n"+rest), r)))
		_ = target
		if err != nil {
			return
		}
		body, err := readBody(req, r, rest)
		if err != nil {
			return
		}
		g := Got{Line: line, Header: req.Header, Body: body, At: time.Now()}
		if e := g.Header.Get("Carawayspread-Expect-Instance"); e != "" && e != w.ID {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nCarawayspread-Instance-Id: "+w.ID+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		w.mu.Lock()
		w.got = append(w.got, g)
		w.mu.Unlock()
		if !w.answer(w, g, conn) {
			return
		}
	}
}

func readHead(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		l, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		b.WriteString(l)
		if l == "\r\n" {
			return b.String(), nil
		}
	}
}

// readBody reads the body that the header announces. The request was parsed from a copy of its header.
func readBody(req *http.Request, r *bufio.Reader, head string) ([]byte, error) {
	again, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\n" + head)))
	if err != nil {
		return nil, err
	}
	switch {
	case len(again.TransferEncoding) > 0:
		var b bytes.Buffer
		for {
			l, err := r.ReadString('\n')
			if err != nil {
				return nil, err
			}
			var n int64
			if _, err := fmt.Sscanf(strings.TrimSpace(l), "%x", &n); err != nil {
				return nil, err
			}
			if _, err := io.CopyN(&b, r, n); err != nil {
				return nil, err
			}
			if _, err := r.ReadString('\n'); err != nil {
				return nil, err
			}
			if n == 0 {
				return b.Bytes(), nil
			}
		}
	case again.ContentLength > 0:
		b := make([]byte, again.ContentLength)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	return nil, nil
}

// List writes the worker's entry to the store.
func (w *Worker) List(s *Store, state string) {
	w.seq++
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":%q,"cold_remaining_ms":0,"seq":%d}`,
		w.Service, w.Address(), w.Zone, state, w.seq)
	s.Put("servers", w.ID, []byte(entry))
}

// Beat lists the worker as ready every 1.2 s until stop is closed.
func (w *Worker) Beat(s *Store, stop <-chan struct{}) {
	w.List(s, "ready")
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				w.List(s, "ready")
			}
		}
	}()
}

// answerWhole answers with a seal and a body.
func answerWhole(w *Worker, g Got, conn net.Conn) bool {
	body := w.ID + " answers " + g.Header.Get("Carawayspread-Request-Id")
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCarawayspread-Request-Id: %s\r\nCarawayspread-Server-Seal: %s.1\r\nContent-Length: %d\r\n\r\n%s",
		g.Header.Get("Carawayspread-Request-Id"), w.ID, len(body), body)
	return err == nil
}
