// Package worker is a stand-in of a worker of the users' platform, which is
// reached without a sidecar.
package worker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Behaviour is what a worker does with one request.
type Behaviour int

// Behaviours. The zero value answers.
const (
	Answer             Behaviour = iota
	Refuse                       // says that it has not run the request
	Bare503                      // a 503 that does not say so
	CloseWithoutAnswer           // runs it and closes the connection
	Truncate                     // breaks off in the middle of an event or a body
	WrongRequestID               // answers with the identifier of another request
	Unsealed                     // a success that bears no signature
	Error500                     // its own failure, signed
	Unframed                     // an answer that ends with its connection
	ExtraAnswer                  // a second answer after the first
	Hang                         // says nothing until the connection closes
	Misdirected                  // says that another worker has the address
	Encoded                      // a body in an encoding that nobody asked for
	LostHandle                   // a KV cache that cannot be had: not run
	SlowEvents                   // as Answer, a while between the events
)

// Events is the number of events of a stream.
const Events = 4

// Request is one request as it arrived.
type Request struct {
	ID, Method, Target, Host, Body string
	Header                         http.Header
	Ran                            bool
	PrefillOnly                    bool // it is a prompt to be read, and another answers
	At                             time.Time
}

// Worker serves at an address until it is closed.
type Worker struct {
	id       string
	listener net.Listener

	mu     sync.Mutex
	script []Behaviour
	seen   []Request
	gone   int // connections that their caller closed while a request ran
	role   string
	fence  uint64 // the highest seen
	orders int64
	busy   bool
	conns  map[net.Conn]bool
	says   map[string]string // headers of all answers
}

// New starts a worker with that identifier, which does what the script says,
// one entry a request, and answers after its end.
func New(id string, script ...Behaviour) (*Worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{id: id, listener: listener, script: script, conns: map[net.Conn]bool{}, says: map[string]string{}}
	go w.serve()
	return w, nil
}

// Address returns IP number and port.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// ID returns the identifier.
func (w *Worker) ID() string { return w.id }

// Requests returns the requests that arrived.
func (w *Worker) Requests() []Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Request(nil), w.seen...)
}

// Runs returns how often it ran a request.
func (w *Worker) Runs() int {
	n := 0
	for _, s := range w.Requests() {
		if s.Ran {
			n++
		}
	}
	return n
}

// AppendScript adds to what the script says.
func (w *Worker) AppendScript(script ...Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.script = append(w.script, script...)
}

// SetHeader has all answers from now on bear a header, or none where the value is empty.
func (w *Worker) SetHeader(name, value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.says[name] = value
}

// ClearScript drops what is left of the script.
func (w *Worker) ClearScript() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.script = nil
}

// CallerDisconnects returns how many callers left while their request ran.
func (w *Worker) CallerDisconnects() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// Close ends the worker and its connections.
func (w *Worker) Close() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

func (w *Worker) serve() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		go w.connection(conn)
	}
}

func (w *Worker) connection(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !w.answer(conn, r, req, string(body)) {
			return
		}
	}
}

func (w *Worker) next(s Request) Behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	does := Answer
	if len(w.script) > 0 {
		does, w.script = w.script[0], w.script[1:]
	}
	switch does {
	case Refuse, Misdirected, LostHandle:
	default:
		s.Ran = s.Header.Get("Carawayspread-Stage") == ""
	}
	if strings.HasPrefix(s.Target, "/-/") {
		s.Ran = false
	}
	w.seen = append(w.seen, s)
	return does
}

// answer writes what the script says and reports whether the connection stays.
func (w *Worker) answer(conn net.Conn, r *bufio.Reader, req *http.Request, body string) bool {
	s := Request{
		ID: req.Header.Get("Carawayspread-Request-Id"), Method: req.Method, Target: req.RequestURI, Host: req.Host,
		Body: body, Header: req.Header, PrefillOnly: req.Header.Get("Carawayspread-Stage") != "", At: time.Now(),
	}
	if expected := s.Header.Get("Carawayspread-Expect-Instance"); expected != "" && expected != w.id {
		w.mu.Lock()
		w.seen = append(w.seen, s)
		w.mu.Unlock()
		w.write(conn, "421 Misdirected Request", "", "Carawayspread-Instance-Id: "+w.id)
		return true
	}
	if strings.HasPrefix(s.Target, "/-/report") || strings.HasPrefix(s.Target, "/-/order") {
		return w.control(conn, s)
	}
	does := w.next(s)
	id := "Carawayspread-Request-Id: " + s.ID + w.said()
	seal := "Carawayspread-Server-Seal: " + w.id + "." + s.ID
	text := w.id + " answers " + s.ID
	switch does {
	case Refuse, LostHandle:
		w.write(conn, "503 Service Unavailable", "", id, "Carawayspread-Not-Executed: 1")
	case Misdirected:
		w.write(conn, "421 Misdirected Request", "", id)
	case Bare503:
		w.write(conn, "503 Service Unavailable", text, id, seal)
	case Error500:
		w.write(conn, "500 Internal Server Error", text, id, seal)
	case CloseWithoutAnswer:
		return false
	case WrongRequestID:
		w.write(conn, "200 OK", "another", "Carawayspread-Request-Id: other", seal)
	case Unsealed:
		w.write(conn, "200 OK", text, id)
	case Encoded:
		w.write(conn, "200 OK", text, id, seal, "Content-Encoding: br")
	case Hang:
		_, _ = r.ReadByte()
		w.mu.Lock()
		w.gone++
		w.mu.Unlock()
		return false
	case Unframed:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+id+"\r\n"+seal+"\r\nConnection: close\r\n\r\n"+text)
		return false
	default:
		return w.succeed(conn, s, does, text, id, seal)
	}
	return true
}

// said returns the lines of the headers of all answers, each after a line end.
func (w *Worker) said() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lines strings.Builder
	for name, value := range w.says {
		if value != "" {
			lines.WriteString("\r\n" + name + ": " + value)
		}
	}
	return lines.String()
}

func (w *Worker) succeed(conn net.Conn, s Request, does Behaviour, text, id, seal string) bool {
	switch {
	case s.Header.Get("Carawayspread-Stage") != "":
		w.write(conn, "200 OK", `{"kv_handle":"h-`+s.ID+`","tokens":10,"version":1}`, id)
	case strings.Contains(s.Target, "/stream/"):
		return w.stream(conn, s, does, id, seal)
	case does == Truncate:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+id+"\r\n"+seal+"\r\nContent-Length: 100\r\n\r\n"+text)
		return false
	default:
		w.write(conn, "200 OK", text, id, seal)
	}
	if does == ExtraAnswer {
		w.write(conn, "200 OK", "late "+text, id, seal)
	}
	return true
}

func (w *Worker) stream(conn net.Conn, s Request, does Behaviour, id, seal string) bool {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+id+"\r\n"+seal+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	first := 1
	if last := s.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for n := first; n <= Events; n++ {
		event := fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", n, n, s.ID)
		if does == Truncate && n == first+1 {
			event = event[:len(event)/2]
		}
		if does == SlowEvents {
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		if does == Truncate && n == first+1 {
			return false
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	return true
}

func (w *Worker) write(conn net.Conn, status, body string, headers ...string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, strings.Join(headers, "\r\n"), len(body), body)
}
