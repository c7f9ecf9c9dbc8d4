// Stand-ins for the review's scripts: the platform, its store, workers and consumers, on loopback.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"carawayspread/internal/standin/rows"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(dir string) *record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	check(err)
	return &record{file: f, start: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// cannotRun ends the script as one that could not run.
func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	stopAll()
	os.Exit(2)
}

func check(err error) {
	if err != nil {
		cannotRun(err)
	}
}

func listen() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	return l
}

// freeAddresses returns loopback addresses at which nobody listens.
func freeAddresses(n int) []string {
	var all []string
	for range n {
		l := listen()
		defer func() { _ = l.Close() }()
		all = append(all, l.Addr().String())
	}
	return all
}

// serveStore serves the platform's store. Its responses bear no header that the pages do not name.
func serveStore() (store *rows.Store, address string) {
	store = rows.New()
	store.SetEra(0)
	l := listen()
	go func() { _ = http.Serve(l, store) }()
	return store, l.Addr().String()
}

// gateway is a process of the system, as the platform runs it.
type gateway struct {
	name                  string
	front, ready, control string
	settings              string
	memoryMegabytes       int
	log                   *os.File
	record                *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	killed int // for its memory
}

var (
	startedMu sync.Mutex
	started   []*gateway
)

// machine is what the settings of a front say of its site.
type machine struct {
	memoryMegabytes   int
	cores, linkMbps   float64
	drainMs, configMs int
	budgetSlack       int
}

// frontOfToponimia is the front of toponimia-co, smallFrontOfGrown the small one of toponimia-co-grown.
var (
	frontOfToponimia  = machine{memoryMegabytes: 284, cores: 0.304, linkMbps: 1000, drainMs: 2000, configMs: 2000, budgetSlack: 54}
	smallFrontOfGrown = machine{memoryMegabytes: 184, cores: 0.144, linkMbps: 10, drainMs: 3000, configMs: 3000, budgetSlack: 102}
)

// settingsText is deploy/gateway.jsonc.tmpl as the platform fills it in.
const settingsText = `{
  "instance": { "id": %q, "zone": %q },
  "addresses": { "listen": %q, "health": %q, "peer": %q, "metrics": %q },
  "seeds": [%s],
  "store": %q,
  "firstStart": true,
  "grace": "8s",
  "memoryMegabytes": %d,
  "limits": { "cores": %g, "linkMegabits": %g, "descriptors": 4100, "maxLateness": "50ms", "waiting": 64 },
  "promises": { "leaving": "%dms", "inForce": "%dms" },
  "retries": { "ratio": 0.2, "slack": %d, "window": "10s" }
}
`

func newGateways(r *record, dir, store, zone string, n int, m machine) []*gateway {
	addresses := freeAddresses(4 * n)
	var all []*gateway
	for i := range n {
		own := addresses[4*i : 4*i+4]
		var seeds []string
		for other := range n {
			seeds = append(seeds, strconv.Quote(addresses[4*other+2]))
		}
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), front: own[0], ready: own[1], control: own[2], memoryMegabytes: m.memoryMegabytes, record: r}
		g.settings = filepath.Join(dir, g.name+".jsonc")
		text := fmt.Sprintf(settingsText, g.name, zone, own[0], own[1], own[2], own[3], strings.Join(seeds, ", "), store,
			m.memoryMegabytes, m.cores, m.linkMbps, m.drainMs, m.configMs, m.budgetSlack)
		check(os.WriteFile(g.settings, []byte(text), 0o600))
		var err error
		g.log, err = os.Create(filepath.Join(dir, g.name+".log"))
		check(err)
		all = append(all, g)
	}
	startedMu.Lock()
	started = append(started, all...)
	startedMu.Unlock()
	for _, g := range all {
		g.start()
	}
	return all
}

// start starts the process with the command of deploy/system.toml.
func (g *gateway) start() {
	cmd := exec.Command("target/gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARAWAYSPREAD_BOOT=" + g.settings}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	check(cmd.Start())
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.mu.Unlock()
	g.record.add("platform: %s started, process %d", g.name, cmd.Process.Pid)
	go func() { _ = cmd.Wait(); close(ended) }()
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s)
}

func (g *gateway) waitEnded() {
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	<-ended
}

// stopAll ends all processes that were started.
func stopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, g := range started {
		g.mu.Lock()
		cmd, ended := g.cmd, g.ended
		g.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
	}
}

// awaitReady waits until all gateways say that they are ready.
func awaitReady(all []*gateway) {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range all {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(all) {
			return
		}
		if time.Now().After(end) {
			cannotRun(fmt.Errorf("%d of %d gateways are ready", ready, len(all)))
		}
	}
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// memory returns the resident memory of the process in MB of 2^20 bytes; zero if it has ended.
func (g *gateway) memory() int {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// enforceMemory kills the process when it exceeds its memory, and starts it again, as the platform does.
func (g *gateway) enforceMemory(until time.Time) {
	most := 0
	for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		now := g.memory()
		most = max(most, now)
		if now <= g.memoryMegabytes {
			continue
		}
		g.record.add("platform: %s has %d MB and may have %d: killed", g.name, now, g.memoryMegabytes)
		g.killed++
		g.signal(syscall.SIGKILL)
		g.waitEnded()
		time.Sleep(500 * time.Millisecond)
		g.start()
	}
	g.record.add("platform: %s had %d MB at most", g.name, most)
}

// call is one request of a consumer.
type call struct {
	id, method, path string
	headers          []string // lines
	body             []byte
	pace             time.Duration // in which the body is sent; zero for at once
}

// channel is a channel of a consumer.
type channel struct {
	conn net.Conn
	r    *bufio.Reader
	kept bool // it has had an answer before
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, r: bufio.NewReader(conn)}, nil
}

// send sends the request and returns its status and body. The error says how the answer was broken off.
func (c *channel) send(q call, wait time.Duration) (status int, header http.Header, body []byte, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nCarawayspread-Request-Id: %s\r\nCarawayspread-Deadline-Ms: %d\r\n", q.method, q.path, q.id, wait.Milliseconds())
	for _, line := range q.headers {
		head += line + "\r\n"
	}
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err = io.WriteString(c.conn, head+"\r\n"); err != nil {
		return 0, nil, nil, err
	}
	const steps = 50
	for i := range steps {
		from, to := i*len(q.body)/steps, (i+1)*len(q.body)/steps
		if _, err = c.conn.Write(q.body[from:to]); err != nil {
			break // an answer may have come already
		}
		time.Sleep(q.pace / steps)
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		return 0, nil, nil, err
	}
	body, err = io.ReadAll(resp.Body)
	c.kept = !resp.Close
	return resp.StatusCode, resp.Header, body, err
}
