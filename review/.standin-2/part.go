package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// longBody is the body of a request whose answer has no length and ends with its channel.
	longBody = "long"
	// partAfter is how long a worker works on the second half of such an answer.
	partAfter = 100 * time.Millisecond
)

// streams says that the answers are streams of events. Half of one ends between two events.
var streams = os.Getenv("STREAM") == "1"

// wholeAnswer is the whole body of such an answer.
func wholeAnswer(id, request string) string {
	if streams {
		return fmt.Sprintf("id: 1\ndata: %s answers %[2]s\n\nid: 2\ndata: %[1]s answers %[2]s\n\n", id, request)
	}
	return fmt.Sprintf("%s answers %s: %s end", id, request, strings.Repeat("0123456789abcdef", 50))
}

// answerUnframed answers without a length. With trouble, the worker is lost after the first half.
func (m *machine) answerUnframed(c net.Conn, id, request string) {
	whole := wholeAnswer(id, request)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCarawayspread-Request-Id: %s\r\nCarawayspread-Server-Seal: %s.1\r\nConnection: close\r\n%s\r\n%s", request, id, contentType(), whole[:len(whole)/2])
	time.Sleep(partAfter)
	if m.trouble {
		m.record.Line("worker %s is lost after %d of %d bytes of its answer to %s", id, len(whole)/2, len(whole), request)
		m.crash(true)
		return
	}
	_, _ = io.WriteString(c, whole[len(whole)/2:])
	_ = c.Close()
}

func contentType() string {
	if streams {
		return "Content-Type: text/event-stream\r\n"
	}
	return ""
}

// readAnswer sends a request, and returns the status and the body of its answer, and how that ended.
func readAnswer(to, path, id, body string) (status int, answer string, err error) {
	c, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: ficu95.example\r\nCarawayspread-Request-Id: %s\r\nCarawayspread-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// partOfAnswer: a worker answers without a length. Its process ends after the first half, and its machine does not
// respond any more. No gateway and no store is disturbed.
func partOfAnswer(dir string, trouble bool) bool {
	record := newRecord(dir)
	tmp := temporaryFolder()
	defer func() { _ = os.RemoveAll(tmp) }()
	defer stopAll()
	store := newStore()
	rule, kind := "MIXED", `"unsafe","timeout_ms":800`
	if streams {
		rule, kind = "ORDER", `"stream","timeout_ms":2500,"target_gap_ms":300`
	}
	store.Config(`{"name":"r-1","host":"ficu95.example","prefix":"/puxa403/","kind":`+kind+`,"target_latency_ms":300,"priority":2,"service":"s","max_attempts":1}`,
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
	time.Sleep(5 * time.Second)
	parts := 0
	for n := range 9 {
		g, id, at := gateways[n%len(gateways)], fmt.Sprintf("%016x", n+1), time.Now()
		status, answer, err := readAnswer(g.Front, fmt.Sprintf("/puxa403/%x", n), id, longBody)
		record.Line("%s answers %s with %d and %d bytes, which end with %v", g.Name, id, status, len(answer), err)
		worker, _, _ := strings.Cut(strings.TrimPrefix(answer, "id: 1\ndata: "), " ")
		if status == http.StatusOK && err == nil && answer != wholeAnswer(worker, id) {
			parts++
			record.Line("%s: %s got as the whole answer %.40q ... %q", rule, id, answer, answer[max(0, len(answer)-20):])
		}
		time.Sleep(time.Until(at.Add(5 * time.Second)))
	}
	record.Line("%s: %d of 9 answers looked complete and were not", rule, parts)
	return parts > 0
}
