package worker

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strings"
	"time"
)

func (w *Worker) succeed(conn *session, got Request, behaviour Behaviour, text, id, seal string) bool {
	switch {
	case got.Unframed:
		w.writeUnframed(conn.Conn, got, behaviour, text, id, seal)
		return false
	case got.Header.Get("Carawayspread-Stage") != "":
		w.write(conn, "200 OK", handleOf(got), id)
	case strings.Contains(got.Target, "/stream/"):
		return w.stream(conn, got, behaviour, id, seal)
	case behaviour == Truncate:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+id+"\r\n"+seal+"\r\nContent-Length: 100\r\n\r\n"+text)
		return false
	default:
		w.write(conn, "200 OK", text, id, seal)
	}
	switch behaviour {
	case ExtraAnswer:
		w.write(conn, "200 OK", "late "+text, id, seal)
	case AnswerAgain:
		conn.extra = message("200 OK", text, id, seal)
	}
	return true
}

// writeUnframed answers without a length or chunks, up to the end of the connection.
func (w *Worker) writeUnframed(conn net.Conn, got Request, behaviour Behaviour, text, id, seal string) {
	header := "HTTP/1.1 200 OK\r\n" + id + "\r\n" + seal + "\r\nConnection: close\r\n\r\n"
	switch {
	case got.PrefillOnly:
		text = handleOf(got)
	case strings.Contains(got.Target, "/stream/"):
		text = ""
		for n := firstMissing(got); n <= w.length(); n++ {
			text += w.event(n, got.ID)
		}
	}
	if got.Short && text != "" { // a stream that is taken up after its last event has none
		text = text[:len(text)*2/3+1] // not the end of an event
	}
	_, _ = io.WriteString(conn, header+text)
	if tcp, ok := conn.(*net.TCPConn); ok && behaviour == UnframedReset {
		_ = tcp.SetLinger(0)
	}
}

func handleOf(got Request) string { return `{"kv_handle":"h-` + got.ID + `","tokens":10,"version":1}` }

// firstMissing returns the number of the first event that the caller of a stream does not have.
func firstMissing(got Request) int {
	last := 0
	if text := got.Header.Get("Last-Event-Id"); text != "" {
		_, _ = fmt.Sscan(text, &last)
	}
	return last + 1
}

// VersionField starts the line of an event that names the version of its worker's software.
const VersionField = "version: "

func (w *Worker) event(n int, id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := ""
	if w.version != "" {
		version = VersionField + w.version + "\n"
	}
	return fmt.Sprintf("id: %d\n%sdata: part %d of %s\n\n", n, version, n, id)
}

func (w *Worker) stream(conn net.Conn, got Request, behaviour Behaviour, id, seal string) bool {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+id+"\r\n"+seal+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	first := firstMissing(got)
	r := w.beginRun(got.ID, first)
	defer w.endRun(got.ID, r)
	for n := first; n <= w.length(); n++ {
		event := w.event(n, got.ID)
		truncated := (behaviour == Truncate || behaviour == TruncateLate) && n == first+1
		if truncated {
			event = event[:len(event)/2]
		}
		if truncated && behaviour == TruncateLate {
			time.Sleep(TruncateDelay)
		}
		if n > first && !w.advance(r) {
			return false
		}
		w.backUp(got)
		if behaviour == SlowEvents {
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		if truncated {
			return false
		}
		if behaviour == DarkMidway && n == first {
			w.goDark(got.ID, r)
			return false
		}
		if behaviour == CrashMidway && n == first {
			w.Close()
			return false
		}
	}
	endBackup(got)
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	return true
}

// SetEvents sets the number of events in a complete stream.
func (w *Worker) SetEvents(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = n
}

// length returns the number of events in a complete stream.
func (w *Worker) length() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events
}

func (w *Worker) pace() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.eventDelay
}

func (w *Worker) write(conn net.Conn, status, body string, headers ...string) {
	_, _ = io.WriteString(conn, message(status, body, headers...))
}

func message(status, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, strings.Join(headers, "\r\n"), len(body), body)
}

// writeUntilCrash writes nothing, a header, or a part of a body, by the identifier of the request.
func writeUntilCrash(conn net.Conn, got Request) {
	firstEvent := fmt.Sprintf("id: 1\ndata: part 1 of %s\n\n", got.ID)
	parts := []string{
		"HTTP/1.1 200 OK\r\nCarawayspread-Request-Id: " + got.ID + "\r\nCarawayspread-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		fmt.Sprintf("%x\r\n%s\r\n", len(firstEvent), firstEvent),
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, got.ID)
	for _, part := range parts[:int(h.Sum32())%(len(parts)+1)] {
		_, _ = io.WriteString(conn, part)
	}
}
