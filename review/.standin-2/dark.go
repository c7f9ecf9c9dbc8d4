package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// deadlyBody is the body of the request that crashes each worker which begins to run it.
	deadlyBody = "deadly"
	// downFor is how long a crashed worker is away, and silentFor after which the platform removes its entry:
	// three check-in intervals.
	downFor   = 4 * time.Second
	beat      = 1200 * time.Millisecond
	silentFor = 3 * beat
	// comesAgain is the time between two attempts of the deadly request.
	comesAgain = 2500 * time.Millisecond
	touch      = 3 * time.Second // contact_ms
)

// machine is a worker's machine. A crash takes it down: it does not respond any more, as one without power.
type machine struct {
	n       int
	zone    string
	store   *Store
	record  *Record
	trouble bool
	closes  bool // the crash ends the worker's process alone: its connections and its listener are closed

	mu       sync.Mutex
	boot     int
	id       string
	fd       int
	listener *net.TCPListener
	conns    []net.Conn
	dark     chan struct{} // closed by the crash
	crashes  *[]time.Time
	crashMu  *sync.Mutex
}

// start boots the worker under a new identifier, at a new port of its machine.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.boot++
	m.id = fmt.Sprintf("i-%d%d", m.n, m.boot)
	m.dark = make(chan struct{})
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		cannotRun("%v", err)
	}
	var address [4]byte
	copy(address[:], net.ParseIP(host()).To4())
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: address}), syscall.Listen(fd, 128)); err != nil {
		cannotRun("%v", err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(f)
	if err != nil {
		cannotRun("%v", err)
	}
	_ = f.Close()
	m.listener = l.(*net.TCPListener)
	go m.accept(m.listener, m.id, m.dark)
	go m.beat(m.id, m.listener.Addr().String(), m.dark)
}

func (m *machine) beat(id, address string, dark <-chan struct{}) {
	for seq := 1; ; seq++ {
		m.store.Put("servers", id, fmt.Appendf(nil, `{"service":"s","address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"seq":%d}`,
			address, m.zone, seq))
		select {
		case <-dark:
			time.Sleep(silentFor)
			m.store.Remove("servers", id)
			return
		case <-time.After(beat):
		}
	}
}

func (m *machine) accept(l *net.TCPListener, id string, dark <-chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		m.conns = append(m.conns, c)
		m.mu.Unlock()
		go m.serve(c, id, dark)
	}
}

func (m *machine) serve(c net.Conn, id string, dark <-chan struct{}) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		select {
		case <-dark:
			return // says nothing; the connection stays open
		default:
		}
		if e := req.Header.Get("Carawayspread-Expect-Instance"); e != id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nCarawayspread-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		rid := req.Header.Get("Carawayspread-Request-Id")
		switch string(body) {
		case deadlyBody:
			m.record.Line("worker %s begins to run %s, the deadly request", id, rid)
			if m.trouble {
				m.crash(false)
				return
			}
		case longBody:
			m.answerUnframed(c, id, rid)
			return
		}
		time.Sleep(20 * time.Millisecond)
		select {
		case <-dark:
			return
		default:
		}
		answer := id + " answers " + rid
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCarawayspread-Request-Id: %s\r\nCarawayspread-Server-Seal: %s.1\r\nContent-Length: %d\r\n\r\n%s", rid, id, len(answer), answer); err != nil {
			return
		}
	}
}

// crash takes the machine down, and has it back after downFor. If ends says so, the worker's process ends first, so that
// the kernel ends its connections in order.
func (m *machine) crash(ends bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.dark)
	m.crashMu.Lock()
	*m.crashes = append(*m.crashes, time.Now())
	m.crashMu.Unlock()
	l, conns := m.listener, m.conns
	m.conns = nil
	var fill []net.Conn
	if m.closes {
		_ = l.Close()
	} else {
		fill = silence(l)
	}
	if m.closes || ends {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	go func() {
		time.Sleep(downFor)
		_ = l.Close()
		for _, c := range append(conns, fill...) {
			_ = c.Close()
		}
		m.start()
		m.record.Line("worker i-%d%d is back", m.n, m.boot)
	}()
}

// silence makes a listener respond to nobody: it accepts nothing, and its queue is full, so that the kernel drops
// what comes to establish a connection.
func silence(l *net.TCPListener) (fill []net.Conn) {
	_ = l.SetDeadline(time.Unix(1, 0))
	raw, err := l.SyscallConn()
	if err != nil {
		cannotRun("%v", err)
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	for range 8 {
		c, err := net.DialTimeout("tcp4", l.Addr().String(), 30*time.Millisecond)
		if err != nil {
			return fill
		}
		fill = append(fill, c)
	}
	cannotRun("the queue of the listener is not full after %d connections", len(fill))
	return nil
}

// send sends one request and returns the status of its answer; zero if there is none.
func send(to, path, id, body string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+to+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host, req.GetBody = "ficu95.example", nil
	req.Header.Set("Carawayspread-Request-Id", id)
	req.Header.Set("Carawayspread-Deadline-Ms", "1500")
	client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// darkCrash: a request crashes each worker that begins to run it, and the crash takes the worker's machine down. It
// comes again every comesAgain, at each gateway in turn. No gateway and no store is disturbed.
func darkCrash(dir string, trouble bool) bool {
	record := newRecord(dir)
	tmp := temporaryFolder()
	defer func() { _ = os.RemoveAll(tmp) }()
	defer stopAll()
	store := newStore()
	store.Config(`{"name":"r-1","host":"ficu95.example","prefix":"/puxa403/","kind":"unsafe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"s","max_attempts":1}`,
		`{"name":"s","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}`)
	var crashes []time.Time
	var crashMu sync.Mutex
	for n := 1; n <= 3; n++ {
		m := &machine{n: n, zone: fmt.Sprintf("z%d", n), store: store, record: record, trouble: trouble, closes: os.Getenv("CRASH") == "closes", crashes: &crashes, crashMu: &crashMu}
		m.start()
	}
	gateways := newGateways(tmp, 3, store.Address, 284)
	for _, g := range gateways {
		g.Start()
	}
	waitReady(gateways, 10*time.Second)
	time.Sleep(5 * time.Second) // all have been in touch for longer than contact_ms
	over := make(chan struct{})
	var served, sent int
	var countMu sync.Mutex
	for i, g := range gateways { // other consumers' requests
		go func() {
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				case <-time.After(100 * time.Millisecond):
				}
				status := send(g.Front, "/puxa403/2f", fmt.Sprintf("%02x%014x", i+16, n), fmt.Sprintf("lookup %d %d", i, n))
				countMu.Lock()
				sent++
				if status == http.StatusOK {
					served++
				}
				countMu.Unlock()
			}
		}()
	}
	for n := range 18 {
		g := gateways[n%len(gateways)]
		id := fmt.Sprintf("%016x", n+1)
		at := time.Now()
		record.Line("the deadly request is sent to %s as %s", g.Name, id)
		status := send(g.Front, "/puxa403/7", id, deadlyBody)
		record.Line("%s answers %s with %d", g.Name, id, status)
		time.Sleep(time.Until(at.Add(comesAgain)))
	}
	close(over)
	crashMu.Lock()
	defer crashMu.Unlock()
	late := 0
	if len(crashes) > 3 {
		for _, at := range crashes[3:] {
			if at.Sub(crashes[2]) > touch {
				late++
			}
		}
	}
	countMu.Lock()
	record.Line("%d of %d other requests were served", served, sent)
	countMu.Unlock()
	record.Line("BUDGET: %d workers crashed, %d of them by requests that reached them later than %v after the third crash; allowed are 3", len(crashes), late, touch)
	return late > 3
}
