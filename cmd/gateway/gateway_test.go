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

// logBuffer collects the log of a daemon under test.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// fleet is a gateway daemon in this process, with stand-ins of the store and of the workers.
type fleet struct {
	store    *rows.Store
	settings *gatewaysettings.Settings
	daemon   *gatewayd.Daemon
	out      *logBuffer
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

func (f *fleet) putServer(w *worker.Worker, service, stage, state string, seq int) {
	_ = f.store.PutServer(w.ID(), rows.Server{
		Service: service, Address: w.Address(), Zone: "z", Slots: 8, State: state, Stage: stage, Seq: seq,
	})
}

func (f *fleet) publishRoutes(version int, model string) {
	f.store.Publish(version, model)
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	return newFleetWith(t, "")
}

// newFleetWith returns a fleet whose gateway has further fields in its settings.
func newFleetWith(t testing.TB, fields string) *fleet {
	t.Helper()
	f := &fleet{store: rows.New(), out: &logBuffer{}, ended: make(chan error, 1)}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.publishRoutes(1, "model")
	f.settings = parseSettings(t, strings.TrimPrefix(server.URL, "http://"), fields)
	return f
}

// parseSettings returns the settings of a gateway without seeds, with further fields.
func parseSettings(t testing.TB, store, fields string) *gatewaysettings.Settings {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	text := fmt.Sprintf(`{"instance":{"id":"g","zone":"z"},"addresses":{"listen":%q,"health":%q,"peer":%q,"metrics":%q},
		"store":%q,"seeds":[],"grace":"8s","memoryMegabytes":100,"retries":{"ratio":0.2,"slack":50,"window":"10s"}%s}`,
		anyPort, anyPort, anyPort, anyPort, store, fields)
	settings, err := gatewaysettings.Parse("test", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	return settings
}

func (f *fleet) start(t testing.TB) {
	t.Helper()
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	clock, transport := carawayspread.SystemClock(), direct.New()
	var err error
	storeTime := storetime.New(uptime.Clock{})
	store := rowsclient.New(transport, f.settings.Store(), rowsclient.WithClockObserver(uptime.Clock{}, storeTime.Observe))
	f.daemon, err = gatewayd.New(f.settings, clock, quiet, f.out, gatewayd.Ports{
		Transport: transport, Prober: transport, Protocol: wire.Protocol{}, Mover: orders.NewMover(transport),
		Source: func(sink *gatewayd.Daemon) follower.Source {
			return catalog.New(store, sink, quiet)
		},
		Table:  rowsclient.NewTable(store, "carawayspread"),
		Uptime: uptime.Clock{}, StoreTime: storeTime,
		Engine: func(endpoint carawayspread.Endpoint) carawayspread.Engine {
			return orders.New(transport, endpoint, f.settings.ID())
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

func (f *fleet) waitReady(t *testing.T) {
	t.Helper()
	waitUntil(t, f.daemon.Ready)
}

func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("not within 10 s"))
	}
}

// send sends a request on a new connection.
func (f *fleet) send(method, path, id, body string, headers ...string) (*http.Response, string, error) {
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

const tokenCountHeader = "Carawayspread-Token-Count"

// Guards against a caller that gets a wrong or incomplete answer. A plain service is called, and
// a prompt is prefilled by one engine and decoded by another, as a stream of events.
func TestRequestIsServedThroughTheWholePath(t *testing.T) {
	f := newFleet(t)
	plain := startWorker(t, "w-plain")
	prefillEngine, decodeEngine := startWorker(t, "w-reader"), startWorker(t, "w-answerer")
	f.putServer(plain, "plain", "", "ready", 1)
	f.putServer(prefillEngine, "model", "prefill", "ready", 1)
	f.putServer(decodeEngine, "model", "decode", "ready", 1)
	f.start(t)
	f.waitReady(t)

	resp, body, err := f.send("POST", "/order/a%2Fb//c?x=1&y", "id-1", "text")
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

	resp, body, err = f.send("POST", "/stream/x", "id-2", "p", tokenCountHeader, "9000,100",
		"Carawayspread-Prefix-Hash", "aa:8000,bb:1000", "Carawayspread-Kv-Source", "forged")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	qt.Check(t, resp.Header.Get("Carawayspread-Server-Seal"), qt.Equals, "w-answerer.id-2")
	qt.Check(t, strings.Count(body, "data: part"), qt.Equals, worker.Events)
	qt.Check(t, prefillEngine.Runs(), qt.Equals, 0)
	qt.Check(t, decodeEngine.Runs(), qt.Equals, 1)
	qt.Check(t, decodeEngine.Requests()[0].Header.Get("Carawayspread-Kv-Source"), qt.Equals, prefillEngine.Address()+"/h-id-2")
	waitUntil(t, func() bool { return strings.Contains(f.out.String(), "id=id-2 ") })
}

// Guards against a request that is refused as unknown by a process that has no routes yet. The
// platform's store is down when the process starts: requests are refused with a Retry-After, and
// are served as soon as the store is up.
func TestRequestsBeforeTheFirstRoutesMayBeRetried(t *testing.T) {
	f := newFleet(t)
	f.putServer(startWorker(t, "w"), "plain", "", "ready", 1)
	f.store.FailWith(http.StatusServiceUnavailable)
	f.start(t)
	var resp *http.Response
	waitUntil(t, func() bool {
		var err error
		resp, _, err = f.send("GET", "/lookup/x", "id-1", "")
		return err == nil
	})
	qt.Check(t, resp.StatusCode, qt.Equals, 503)
	qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Check(t, f.daemon.Ready(), qt.IsFalse)
	f.store.FailWith(0)
	f.waitReady(t)
	resp, _, err := f.send("GET", "/lookup/x", "id-2", "")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
}

// Guards against requests that are routed by an older version of the routes than one adopted
// before. The store drops its history while a change is made; the process reads everything again
// and ignores an older version.
func TestRoutesNeverRevert(t *testing.T) {
	f := newFleet(t)
	f.putServer(startWorker(t, "w"), "plain", "", "ready", 1)
	f.start(t)
	f.waitReady(t)
	f.store.Compact()
	f.publishRoutes(5, "model")
	waitUntil(t, func() bool { return strings.Contains(f.out.String(), "version=5") })
	f.publishRoutes(4, "model")
	f.publishRoutes(6, "model")
	waitUntil(t, func() bool { return strings.Contains(f.out.String(), "version=6") })
	qt.Check(t, f.out.String(), qt.Not(qt.Contains), "version=4")
}

// Guards against a request that is sent to a worker which has reported that it drains. An older
// row of the worker shows up again and must not make it available. Rows that cannot be parsed are
// skipped.
func TestDrainingWorkerGetsNoRequests(t *testing.T) {
	f := newFleet(t)
	staying, draining := startWorker(t, "w-stays"), startWorker(t, "w-leaves")
	f.putServer(draining, "plain", "", "ready", 7)
	f.store.Put("servers", "broken", []byte(`{"service":"plain","address":"nowhere","seq":1}`))
	f.store.Put("servers", "torn", []byte(`{"service":"pl`))
	f.start(t)
	f.waitReady(t)
	_, _, err := f.send("POST", "/order/x", "first", "") // the gateway learns that the worker is fast
	qt.Assert(t, err, qt.IsNil)
	f.putServer(staying, "plain", "", "ready", 1)
	f.putServer(draining, "plain", "", "draining", 8)
	time.Sleep(1200 * time.Millisecond) // two reads of the list
	f.putServer(draining, "plain", "", "ready", 7)
	time.Sleep(1200 * time.Millisecond)
	before := len(draining.Requests())
	for i := range 20 {
		resp, _, err := f.send("POST", "/order/x", fmt.Sprint("id-", i), fmt.Sprint("body ", i))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
	qt.Check(t, len(draining.Requests()), qt.Equals, before)
	qt.Check(t, staying.Runs(), qt.Equals, 20)
}

// Guards against a request that is accepted during shutdown and not answered in full. Requests
// keep arriving after the signal to end, and some may take longer than the remaining time: those
// are refused with a Retry-After, the others are served, and running ones are finished.
func TestDrainingGatewayRefusesWhatItCannotAnswer(t *testing.T) {
	f := newFleet(t)
	slow := make([]worker.Behaviour, 4000)
	for i := range slow {
		slow[i] = worker.SlowEvents
	}
	f.putServer(startWorker(t, "w", slow...), "model", "decode", "ready", 1)
	f.putServer(startWorker(t, "w-holds", worker.Hang), "plain", "", "ready", 1)
	f.start(t)
	f.waitReady(t)
	f.stop()
	waitUntil(t, func() bool { return !f.daemon.Ready() })
	begun := time.Now()
	var callers sync.WaitGroup
	callers.Go(func() { // keeps the process from ending at once: the request has two seconds
		time.Sleep(2700 * time.Millisecond)
		resp, _, err := f.send("POST", "/order/x", "id-held", "")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 504)
	})
	var cut, short, long, retryLater atomic.Int64
	for n := range 4 {
		headers := [][]string{
			{tokenCountHeader, "10,1000", "Carawayspread-Deadline-Ms", "2500"},
			{tokenCountHeader, "10,10"}, // the route allows four seconds
		}[n%2]
		callers.Go(func() {
			for i := 0; time.Since(begun) < 7500*time.Millisecond; i++ {
				sentAt := time.Since(begun)
				resp, body, err := f.send("POST", "/stream/x", fmt.Sprint("id-", n, "-", i), "", headers...)
				switch {
				case neverConnected(err):
					time.Sleep(10 * time.Millisecond)
				case err != nil || resp.StatusCode == 200 && strings.Count(body, "data:") != worker.Events:
					cut.Add(1)
					t.Logf("sent after %v, ended after %v: %v, %q", sentAt, time.Since(begun), err, body)
				case resp.StatusCode == 503 && resp.Header.Get("Retry-After") != "":
					retryLater.Add(1)
					time.Sleep(10 * time.Millisecond)
				case sentAt > 3500*time.Millisecond && n%2 == 0:
					short.Add(1)
				case sentAt > 3500*time.Millisecond:
					long.Add(1)
				}
			}
		})
	}
	callers.Wait()
	qt.Check(t, cut.Load(), qt.Equals, int64(0))
	qt.Check(t, short.Load() > 0, qt.IsTrue, qt.Commentf("requests that can be answered in time are served"))
	qt.Check(t, long.Load(), qt.Equals, int64(0), qt.Commentf("requests that may take longer than the remaining time are refused"))
	qt.Check(t, retryLater.Load() > 0, qt.IsTrue)
	qt.Check(t, <-f.ended, qt.IsNil)
	f.ended <- nil
}

// neverConnected reports whether a caller knows that its request was not sent. A port that closes
// during a handshake resets the connection, one that is closed already refuses it.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" &&
		(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}

// Guards against a kept connection that is closed without an answer, as the process is told to end
// just before the caller's next request. The connection is idle at that moment. If it were closed
// then, the request could have been read and forwarded already, and the caller would learn neither
// its answer nor that it has not run. The answer closes the connection, so that the caller opens its
// next one elsewhere.
func TestDrainingGatewayAnswersOnIdleConnections(t *testing.T) {
	f := newFleet(t)
	f.putServer(startWorker(t, "w"), "plain", "", "ready", 1)
	f.start(t)
	f.waitReady(t)
	conn, err := net.Dial("tcp", f.daemon.CallerAddress())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	answers := bufio.NewReader(conn)
	send := func(id string) (*http.Response, error) {
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
	first, err := send("id-1")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, first.Close, qt.IsFalse)
	f.stop()
	waitUntil(t, func() bool { return !f.daemon.Ready() })
	time.Sleep(100 * time.Millisecond) // time for the shutdown to close connections, if it does
	second, err := send("id-2")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, second.StatusCode, qt.Equals, 200)
	qt.Check(t, second.Close, qt.IsTrue)
}

// Guards against callers that wait for an endpoint which accepts requests and never answers. A
// prefill and a request that may be retried are sent to another endpoint after a while.
func TestStalledEndpointDelaysNoCaller(t *testing.T) {
	f := newFleet(t)
	prefillEngine, decodeEngine := startWorker(t, "w-reader", worker.Hang), startWorker(t, "w-answerer")
	stalled := startWorker(t, "w-holds", worker.Answer, worker.Hang, worker.Hang, worker.Hang, worker.Hang, worker.Hang, worker.Hang)
	f.putServer(prefillEngine, "model", "prefill", "ready", 1)
	f.putServer(decodeEngine, "model", "decode", "ready", 1)
	f.putServer(stalled, "plain", "", "ready", 1)
	f.start(t)
	f.waitReady(t)
	_, _, err := f.send("GET", "/lookup/first", "id-0", "") // the gateway learns that the worker is fast
	qt.Assert(t, err, qt.IsNil)
	f.putServer(startWorker(t, "w-plain"), "plain", "", "ready", 1)
	time.Sleep(1200 * time.Millisecond) // two reads of the list
	begun := time.Now()
	resp, body, err := f.send("POST", "/stream/x", "id-1", "p", tokenCountHeader, "9000,100")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	qt.Check(t, strings.Count(body, "data: part"), qt.Equals, worker.Events)
	qt.Check(t, time.Since(begun) < 2*time.Second, qt.IsTrue)
	waitUntil(t, func() bool { return prefillEngine.CallerDisconnects() == 1 })
	for i := range 12 {
		resp, _, err := f.send("GET", fmt.Sprint("/lookup/", i), fmt.Sprint("id-", i), "")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
	qt.Check(t, stalled.Runs() > 1, qt.IsTrue)
}
