package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a sound worker of streams: each request yields events, one each gap.
type worker struct {
	id     string
	l      net.Listener
	events int
	gap    time.Duration
	first  time.Duration // until the first event; the gap if zero
	record *record

	mu  sync.Mutex
	ran map[string]int // by request
}

func newWorker(r *record, id string, events int, gap time.Duration) *worker {
	w := &worker{id: id, l: listen(), events: events, gap: gap, record: r, ran: map[string]int{}}
	go func() {
		for {
			conn, err := w.l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w
}

func (w *worker) address() string { return w.l.Addr().String() }

func (w *worker) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id] > 0
}

func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		size, err := io.Copy(io.Discard, req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("Carawayspread-Request-Id")
		if expected := req.Header.Get("Carawayspread-Expect-Instance"); expected != "" && expected != w.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nCarawayspread-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		if req.URL.Path == "/healthz" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCarawayspread-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		w.mu.Lock()
		w.ran[id]++
		w.mu.Unlock()
		w.record.add("worker %s: runs %s, body of %d bytes", w.id, id, size)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCarawayspread-Request-Id: %s\r\nCarawayspread-Server-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, w.id, id)
		for n := range w.events {
			if n == 0 && w.first > 0 {
				time.Sleep(w.first)
			} else {
				time.Sleep(w.gap)
			}
			event := fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", n+1, id, n+1, w.events)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				w.record.add("worker %s: the channel of %s is closed after %d events", w.id, id, n)
				return
			}
		}
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return
		}
	}
}
