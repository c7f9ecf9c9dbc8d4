package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/direct"
	"carawayspread/internal/connection/storetime"
	"carawayspread/internal/connection/uptime"
	"carawayspread/internal/daemon/gatewayd"
	"carawayspread/internal/process/follower"
	"carawayspread/internal/standin/rows"
	"carawayspread/internal/standin/worker"
	"carawayspread/internal/version/gatewaysettings"
	"carawayspread/platform/catalog"
	"carawayspread/platform/orders"
	rowsclient "carawayspread/platform/rows"
	"carawayspread/platform/wire"
)

// lines is where a daemon under test logs to.
type lines struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// fleet is a gateway before stand-ins.
type fleet struct {
	store    *rows.Store
	settings *gatewaysettings.Settings
	daemon   *gatewayd.Daemon
	out      *lines
	stop     context.CancelFunc
	ended    chan error
}

func startWorker(t *testing.T, id string, script ...worker.Behaviour) *worker.Worker {
	t.Helper()
	w, err := worker.New(id, script...)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(w.Close)
	return w
}

func (f *fleet) list(w *worker.Worker, service, stage, state string, seq int) {
	_ = f.store.PutServer(w.ID(), rows.Server{
		Service: service, Address: w.Address(), Zone: "z", Slots: 8, State: state, Stage: stage, Seq: seq,
	})
}

func (f *fleet) routes(version int, model string) {
	f.store.Publish(version, model)
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{store: rows.New(), out: &lines{}, ended: make(chan error, 1)}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.routes(1, "model")
	const free = "127.0.0.1:0"
	text := fmt.Sprintf(`{"instance":{"id":"g","zone":"z"},"addresses":{"listen":%q,"health":%q,"peer":%q,"metrics":%q},
		"store":%q,"seeds":[],"grace":"8s","memoryMegabytes":100,"retries":{"ratio":0.2,"slack":50,"window":"10s"}}`,
		free, free, free, free, strings.TrimPrefix(server.URL, "http://"))
	var err error
	f.settings, err = gatewaysettings.Parse("test", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	return f
}

func (f *fleet) start(t testing.TB) {
	t.Helper()
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	clock, exchange := carawayspread.SystemClock(), direct.New()
	var err error
	storeTime := storetime.New(uptime.Clock{})
	store := rowsclient.New(exchange, f.settings.Store(), rowsclient.WithClockObserver(uptime.Clock{}, storeTime.Observe))
	f.daemon, err = gatewayd.New(f.settings, clock, quiet, f.out, gatewayd.Ports{
		Transport: exchange, Protocol: wire.Protocol{},
		Source: func(sink *gatewayd.Daemon) follower.Source {
			return catalog.New(store, sink, quiet)
		},
		Table:  rowsclient.NewTable(store, "carawayspread"),
		Uptime: uptime.Clock{}, StoreTime: storeTime,
		Engine: func(endpoint carawayspread.Endpoint) carawayspread.Engine {
			return orders.New(exchange, endpoint, f.settings.ID())
		},
	})
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() { f.ended <- f.daemon.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-f.ended
	})
}

func (f *fleet) ready(t *testing.T) {
	t.Helper()
	until(t, f.daemon.Ready)
}

func until(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("not within 10 s"))
	}
}

// ask sends a request on a connection of its own.
func (f *fleet) ask(method, path, id, body string, headers ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(method, "http://"+f.daemon.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Host = "a.example"
	req.Header.Set("Carawayspread-Request-Id", id)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 8 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

const prompt = "Carawayspread-Token-Count"

// A caller sees its own whole answer, over both kinds of service: a prompt is
// read by one engine and answered by the other, event by event.
func TestRequestIsServedThroughTheWholePath(t *testing.T) {
	f := newFleet(t)
	plain := startWorker(t, "w-plain")
	reader, answerer := startWorker(t, "w-reader"), startWorker(t, "w-answerer")
	f.list(plain, "plain", "", "ready", 1)
	f.list(reader, "model", "prefill", "ready", 1)
	f.list(answerer, "model", "decode", "ready", 1)
	f.start(t)
	f.ready(t)

	resp, body, err := f.ask("POST", "/order/a%2Fb//c?x=1&y", "id-1", "text")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	qt.Check(t, body, qt.Equals, "w-plain answers id-1")
	seen := plain.Requests()
	qt.Assert(t, seen, qt.HasLen, 1)
	qt.Check(t, seen[0].Target, qt.Equals, "/order/a%2Fb//c?x=1&y")
	qt.Check(t, seen[0].Host, qt.Equals, "a.example")
	qt.Check(t, seen[0].Body, qt.Equals, "text")
	qt.Check(t, seen[0].Header.Get("User-Agent"), qt.Equals, "Go-http-client/1.1", qt.Commentf("the caller's own"))
	qt.Check(t, seen[0].Header.Get("Accept-Encoding"), qt.Equals, "")

	resp, body, err = f.ask("POST", "/stream/x", "id-2", "p", prompt, "9000,100",
		"Carawayspread-Prefix-Hash", "aa:8000,bb:1000", "Carawayspread-Kv-Source", "forged")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	qt.Check(t, resp.Header.Get("Carawayspread-Server-Seal"), qt.Equals, "w-answerer.id-2")
	qt.Check(t, strings.Count(body, "data: part"), qt.Equals, worker.Events)
	qt.Check(t, reader.Runs(), qt.Equals, 0)
	qt.Check(t, answerer.Runs(), qt.Equals, 1)
	qt.Check(t, answerer.Requests()[0].Header.Get("Carawayspread-Kv-Source"), qt.Equals, reader.Address()+"/h-id-2")
	until(t, func() bool { return strings.Contains(f.out.String(), "id=id-2 ") })
}

// A caller that meets a process which knows no routes is told to come back;
// none of its requests is called unknown. The platform's store is down when
// the process starts; it serves as soon as the store does.
func TestNoRoutesYetIsNoRefusalForGood(t *testing.T) {
	f := newFleet(t)
	f.list(startWorker(t, "w"), "plain", "", "ready", 1)
	f.store.FailWith(http.StatusServiceUnavailable)
	f.start(t)
	var resp *http.Response
	until(t, func() bool {
		var err error
		resp, _, err = f.ask("GET", "/lookup/x", "id-1", "")
		return err == nil
	})
	qt.Check(t, resp.StatusCode, qt.Equals, 503)
	qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Check(t, f.daemon.Ready(), qt.IsFalse)
	f.store.FailWith(0)
	f.ready(t)
	resp, _, err := f.ask("GET", "/lookup/x", "id-2", "")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
}

// Callers get what the newest accepted routes say, and never again what an
// older set said. The store drops its history while a change is made; the
// process reads everything anew and passes over an older version.
func TestRoutesNeverGoBack(t *testing.T) {
	f := newFleet(t)
	f.list(startWorker(t, "w"), "plain", "", "ready", 1)
	f.start(t)
	f.ready(t)
	f.store.Compact()
	f.routes(5, "model")
	until(t, func() bool { return strings.Contains(f.out.String(), "version=5") })
	f.routes(4, "model")
	f.routes(6, "model")
	until(t, func() bool { return strings.Contains(f.out.String(), "version=6") })
	qt.Check(t, f.out.String(), qt.Not(qt.Contains), "version=4")
}

// No request reaches a worker that has said that it leaves, and an entry that
// names no worker harms nobody. An older entry of the leaving worker turns up
// again; it does not bring the worker back.
func TestLeavingWorkerGetsNothing(t *testing.T) {
	f := newFleet(t)
	stays, leaves := startWorker(t, "w-stays"), startWorker(t, "w-leaves")
	f.list(leaves, "plain", "", "ready", 7)
	f.store.Put("servers", "broken", []byte(`{"service":"plain","address":"nowhere","seq":1}`))
	f.store.Put("servers", "torn", []byte(`{"service":"pl`))
	f.start(t)
	f.ready(t)
	_, _, err := f.ask("POST", "/order/x", "first", "") // it is known to be fast
	qt.Assert(t, err, qt.IsNil)
	f.list(stays, "plain", "", "ready", 1)
	f.list(leaves, "plain", "", "draining", 8)
	time.Sleep(1200 * time.Millisecond) // two reads of the list
	f.list(leaves, "plain", "", "ready", 7)
	time.Sleep(1200 * time.Millisecond)
	before := len(leaves.Requests())
	for i := range 20 {
		resp, _, err := f.ask("POST", "/order/x", fmt.Sprint("id-", i), fmt.Sprint("body ", i))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
	qt.Check(t, len(leaves.Requests()), qt.Equals, before)
	qt.Check(t, stays.Runs(), qt.Equals, 20)
}

// A caller whose request is running when its process is told to end gets the
// whole answer, and no caller's request is taken late and then given up.
// Requests keep coming after the order to end, some of which may take longer
// than is left: those are told to come back, the others are served.
func TestLeavingProcessTakesNothingItCannotAnswer(t *testing.T) {
	f := newFleet(t)
	slow := make([]worker.Behaviour, 4000)
	for i := range slow {
		slow[i] = worker.SlowEvents
	}
	f.list(startWorker(t, "w", slow...), "model", "decode", "ready", 1)
	f.list(startWorker(t, "w-holds", worker.Hang), "plain", "", "ready", 1)
	f.start(t)
	f.ready(t)
	f.stop()
	until(t, func() bool { return !f.daemon.Ready() })
	begun := time.Now()
	var callers sync.WaitGroup
	callers.Go(func() { // keeps the process from ending at once: it has two seconds from here
		time.Sleep(2700 * time.Millisecond)
		resp, _, err := f.ask("POST", "/order/x", "id-held", "")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 504)
	})
	var cut, short, long, comeBack atomic.Int64
	for n := range 4 {
		counts := []string{"10,10", "10,1000"}[n%2]
		callers.Go(func() {
			for i := 0; time.Since(begun) < 7500*time.Millisecond; i++ {
				asked := time.Since(begun)
				resp, body, err := f.ask("POST", "/stream/x", fmt.Sprint("id-", n, "-", i), "", prompt, counts)
				switch {
				case neverConnected(err):
					time.Sleep(10 * time.Millisecond)
				case err != nil || resp.StatusCode == 200 && strings.Count(body, "data:") != worker.Events:
					cut.Add(1)
					t.Logf("asked after %v, ended after %v: %v, %q", asked, time.Since(begun), err, body)
				case resp.StatusCode == 503 && resp.Header.Get("Retry-After") != "":
					comeBack.Add(1)
					time.Sleep(10 * time.Millisecond)
				case asked > 3500*time.Millisecond && n%2 == 0:
					short.Add(1)
				case asked > 3500*time.Millisecond:
					long.Add(1)
				}
			}
		})
	}
	callers.Wait()
	qt.Check(t, cut.Load(), qt.Equals, int64(0))
	qt.Check(t, short.Load() > 0, qt.IsTrue, qt.Commentf("what can be answered in time is"))
	qt.Check(t, long.Load(), qt.Equals, int64(0), qt.Commentf("what may take longer than is left is refused"))
	qt.Check(t, comeBack.Load() > 0, qt.IsTrue)
	qt.Check(t, <-f.ended, qt.IsNil)
	f.ended <- nil
}

// neverConnected reports whether a caller knows that its request was not sent.
// A port that closes in the middle of a handshake resets it, one closed before refuses.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" &&
		(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}

// A caller that keeps its connection gets its answer when the process is told to
// end just before its next request. The connection is idle at that moment; were it
// closed then, the request could have been read and passed on already, and its
// caller would learn neither its answer nor that it has not run. The answer asks
// the caller to open the next connection elsewhere.
func TestLeavingProcessAnswersOnConnectionsThatWereIdle(t *testing.T) {
	f := newFleet(t)
	f.list(startWorker(t, "w"), "plain", "", "ready", 1)
	f.start(t)
	f.ready(t)
	conn, err := net.Dial("tcp", f.daemon.CallerAddress())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	answers := bufio.NewReader(conn)
	ask := func(id string) (*http.Response, error) {
		_, err := fmt.Fprintf(conn, "GET /lookup/x HTTP/1.1\r\nHost: a.example\r\nCarawayspread-Request-Id: %s\r\n\r\n", id)
		if err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(answers, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		return resp, err
	}
	first, err := ask("id-1")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, first.Close, qt.IsFalse)
	f.stop()
	until(t, func() bool { return !f.daemon.Ready() })
	time.Sleep(100 * time.Millisecond) // whatever the order to end closes is closed by now
	second, err := ask("id-2")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, second.StatusCode, qt.Equals, 200)
	qt.Check(t, second.Close, qt.IsTrue)
}

// Callers are served although an endpoint holds what it is sent and says
// nothing: a prompt that is to be read, and a request that may be repeated, go
// elsewhere after a while.
func TestEndpointThatHoldsRequests(t *testing.T) {
	f := newFleet(t)
	reader, answerer := startWorker(t, "w-reader", worker.Hang), startWorker(t, "w-answerer")
	holds := startWorker(t, "w-holds", worker.Answer, worker.Hang, worker.Hang, worker.Hang, worker.Hang, worker.Hang, worker.Hang)
	f.list(reader, "model", "prefill", "ready", 1)
	f.list(answerer, "model", "decode", "ready", 1)
	f.list(holds, "plain", "", "ready", 1)
	f.start(t)
	f.ready(t)
	_, _, err := f.ask("GET", "/lookup/first", "id-0", "") // it is known to be fast
	qt.Assert(t, err, qt.IsNil)
	f.list(startWorker(t, "w-plain"), "plain", "", "ready", 1)
	time.Sleep(1200 * time.Millisecond) // two reads of the list
	begun := time.Now()
	resp, body, err := f.ask("POST", "/stream/x", "id-1", "p", prompt, "9000,100")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	qt.Check(t, strings.Count(body, "data: part"), qt.Equals, worker.Events)
	qt.Check(t, time.Since(begun) < 2*time.Second, qt.IsTrue)
	until(t, func() bool { return reader.CallerDisconnects() == 1 })
	for i := range 12 {
		resp, _, err := f.ask("GET", fmt.Sprint("/lookup/", i), fmt.Sprint("id-", i), "")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
	qt.Check(t, holds.Runs() > 1, qt.IsTrue)
}
