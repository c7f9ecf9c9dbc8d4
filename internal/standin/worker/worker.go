// Package worker is a stand-in for a worker of the platform, which gateways call directly, without a
// sidecar.
package worker

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// session is one connection of a caller.
type session struct {
	net.Conn
	extra string // is written where the next answer is due
}

// TruncateDelay is the pause of TruncateLate.
const TruncateDelay = 2 * time.Second

// extraLead is how long before the answer that is due a repeated one arrives: the time to run a request.
const extraLead = 20 * time.Millisecond

// Events is the number of events in a complete stream, unless SetEvents says otherwise.
const Events = 4

// HarmfulBody is the body of a request that crashes each worker which runs it, and HarmfulPart a part of its
// prompt that does, if CrashOnPart is set.
const (
	HarmfulBody = "harmful"
	HarmfulPart = "dd"
)

// Request is one request as it arrived at the worker.
type Request struct {
	ID, Method, Target, Host, Body string
	Header                         http.Header
	Ran                            bool
	PrefillOnly                    bool // only the prompt is prefilled here; another worker decodes
	Unframed                       bool // the answer has neither a length nor chunks
	Short                          bool // the answer has no length or chunks and lacks its end
	Misdirected                    bool // the worker claimed to be another one
	Refused                        bool // not run, which the worker stated
	Lost                           bool // the memory that it names is not there
	Continues                      bool // it goes on with the run of another worker, from that run's memory
	At                             time.Time
}

// Worker serves HTTP on a loopback address until it is closed. It is safe for concurrent use.
type Worker struct {
	id       string
	listener net.Listener

	mu          sync.Mutex
	script      []Behaviour
	requests    []Request
	disconnects int // connections closed by the caller while Hang kept a request
	role        string
	fence       uint64 // fencing token of the last applied order
	orders      int64  // accepted
	busy        bool
	conns       map[net.Conn]bool
	headers     map[string]string // additional headers of responses
	onCrash     func()            // nil if requests crash no worker
	harmfulPart string            // of a prompt that crashes the worker; empty if none does
	events      int               // of a complete stream
	eventDelay  time.Duration     // before each event of a stream after the first
	refusals    float64           // share of the requests that are refused
	version     string            // of its software, which each event names; empty if they name none
	runs        map[string]*run   // by request
	memories    map[string]memory // by handle
	moveScript  []MoveBehaviour
	violations  []string
}

// New starts a worker with that id. Each request takes the next behaviour from the script; after its
// end the worker answers normally.
func New(id string, script ...Behaviour) (*Worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{id: id, listener: listener, script: script, events: Events, conns: map[net.Conn]bool{}, headers: map[string]string{}, runs: map[string]*run{}, memories: map[string]memory{}}
	byAddress.Store(w.Address(), w)
	go w.serve()
	return w, nil
}

// Address returns the IP address and port.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// ID returns the id of the worker.
func (w *Worker) ID() string { return w.id }

// Requests returns the requests that arrived, in order.
func (w *Worker) Requests() []Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Request(nil), w.requests...)
}

// Runs returns how many requests the worker ran.
func (w *Worker) Runs() int {
	n := 0
	for _, got := range w.Requests() {
		if got.Ran {
			n++
		}
	}
	return n
}

// AppendScript appends behaviours to the script.
func (w *Worker) AppendScript(script ...Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.script = append(w.script, script...)
}

// SetEventDelay sets the time before each event of a stream after the first.
func (w *Worker) SetEventDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.eventDelay = d
}

// SetRefusals makes the worker refuse a share of the requests for which it has no script.
func (w *Worker) SetRefusals(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusals = share
}

// SetVersion sets the version of the worker's software, which each event of its streams then names.
func (w *Worker) SetVersion(version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = version
}

// SetHeader sets a header of all later responses; an empty value removes it.
func (w *Worker) SetHeader(name, value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.headers[name] = value
}

// CrashOnPart makes requests with HarmfulBody, or with that part of their prompts, crash the worker as it
// answers, each at another point than the one before. f is called before the connections are closed.
func (w *Worker) CrashOnPart(part string, f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.harmfulPart, w.onCrash = part, f
}

// ClearScript drops the rest of the script, so that the worker answers normally.
func (w *Worker) ClearScript() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.script = nil
}

// CallerDisconnects returns how many callers closed their connection while Hang kept their request.
func (w *Worker) CallerDisconnects() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.disconnects
}

// Close stops the worker and closes its connections.
func (w *Worker) Close() {
	byAddress.Delete(w.Address())
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.memories)
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
	s := &session{Conn: conn}
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if s.extra != "" {
			_, _ = io.WriteString(s, s.extra)
			s.extra = ""
			time.Sleep(extraLead)
		}
		if err != nil || !w.answer(s, r, req, string(body)) {
			return
		}
	}
}

// next returns the behaviour for a request, and records the request.
func (w *Worker) next(got *Request) Behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	behaviour := Answer
	if len(w.script) > 0 {
		behaviour, w.script = w.script[0], w.script[1:]
	} else if w.refusals > 0 && rand.Float64() < w.refusals {
		behaviour = Refuse
	}
	if got.Lost {
		behaviour = LostHandle
	}
	got.Refused = refusals[behaviour] != ""
	if !got.Refused {
		got.Ran = got.Header.Get("Carawayspread-Stage") == ""
	}
	if strings.HasPrefix(got.Target, "/-/") {
		got.Ran = false
	}
	got.Short = behaviour == UnframedShort || behaviour == UnframedReset
	got.Unframed = behaviour == Unframed || got.Short
	got.Misdirected = strings.HasPrefix(refusals[behaviour], "421")
	w.requests = append(w.requests, *got)
	return behaviour
}

// answer responds as the script says and reports whether the connection stays open.
func (w *Worker) answer(conn *session, r *bufio.Reader, req *http.Request, body string) bool {
	got := Request{
		ID: req.Header.Get("Carawayspread-Request-Id"), Method: req.Method, Target: req.RequestURI, Host: req.Host,
		Body: body, Header: req.Header, PrefillOnly: req.Header.Get("Carawayspread-Stage") != "", At: time.Now(),
	}
	if expected := got.Header.Get("Carawayspread-Expect-Instance"); expected != "" && expected != w.id {
		got.Refused = true
		w.mu.Lock()
		w.requests = append(w.requests, got)
		w.mu.Unlock()
		w.write(conn, "421 Misdirected Request", "", "Carawayspread-Instance-Id: "+w.id)
		return true
	}
	if strings.HasPrefix(got.Target, "/-/report") || strings.HasPrefix(got.Target, "/-/order") {
		return w.control(conn, got)
	}
	if got.Target == movePath {
		return w.moveRun(conn, got)
	}
	if handle, ok := strings.CutPrefix(got.Target, handlePath); ok && strings.HasPrefix(handle, "m-") {
		w.freeHandle(handle)
		w.write(conn, "200 OK", "", jsonType)
		return true
	}
	got.Lost = !w.mayGoOn(got)
	got.Continues = !got.Lost && continuesRun(got)
	behaviour := w.next(&got)
	if crash := w.crashFor(got); crash != nil {
		writeUntilCrash(conn, got)
		crash()
		w.Close()
		return false
	}
	id := "Carawayspread-Request-Id: " + got.ID + w.extraHeaders()
	seal := "Carawayspread-Server-Seal: " + w.id + "." + got.ID
	text := w.id + " answers " + got.ID
	switch behaviour {
	case Misdirected:
		w.write(conn, refusals[behaviour], "", id)
	case Refuse, LostHandle, RefuseAgain, RefuseAgainUnnamed, RejectAgainUnnamed, MisdirectAgain, MisdirectAgainUnnamed:
		w.refuse(conn, behaviour, id)
	case Bare503:
		w.write(conn, "503 Service Unavailable", text, id, seal)
	case Error500:
		w.write(conn, "500 Internal Server Error", text, id, seal)
	case CloseWithoutAnswer:
		return false
	case Crash:
		w.Close()
		return false
	case WrongRequestID:
		w.write(conn, "200 OK", "another", "Carawayspread-Request-Id: other", seal)
	case NoStatus:
		w.write(conn, "000 None", text, id, seal)
		return false
	case BlankInName:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s\r\nTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, seal, len(text), text)
		return false
	case Unsealed:
		w.write(conn, "200 OK", text, id)
	case Encoded:
		w.write(conn, "200 OK", text, id, seal, "Content-Encoding: br")
	case Hang:
		_, _ = r.ReadByte()
		w.mu.Lock()
		w.disconnects++
		w.mu.Unlock()
		return false
	default:
		return w.succeed(conn, got, behaviour, text, id, seal)
	}
	return true
}

// refuse states that the request was not run.
func (w *Worker) refuse(conn *session, behaviour Behaviour, id string) {
	const notRun = "Carawayspread-Not-Executed: 1"
	first := message(refusals[behaviour], "", id, notRun)
	_, _ = io.WriteString(conn, first)
	switch {
	case unnamedAgain[behaviour]:
		conn.extra = message(refusals[behaviour], "", notRun)
	case behaviour == RefuseAgain || behaviour == MisdirectAgain:
		conn.extra = first
	}
}

// extraHeaders returns the additional headers of responses, each preceded by a line break.
func (w *Worker) extraHeaders() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lines strings.Builder
	for name, value := range w.headers {
		if value != "" {
			lines.WriteString("\r\n" + name + ": " + value)
		}
	}
	return lines.String()
}
