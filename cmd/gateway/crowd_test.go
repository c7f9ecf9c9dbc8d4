//go:build crowds

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/crowd"
	"carawayspread/internal/standin/rows"
)

// The crowd, and what the process under it is granted.
const (
	crowdSize          = 300
	crowdBody          = 2 << 20 // the limit of a body
	grantedMegabytes   = 144
	grantedDescriptors = 1024
	fewDescriptors     = 256 // a crowd of connections has more
	crowdConfiguration = `{"version":1,"routes":[
	{"name":"lookup","host":"a.example","prefix":"/lookup/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":2},
	{"name":"order","host":"a.example","prefix":"/order/","kind":"unsafe","timeout_ms":60000,"target_latency_ms":300,"service":"plain","max_attempts":1},
	{"name":"stream","host":"a.example","prefix":"/stream/","kind":"stream","timeout_ms":60000,"target_latency_ms":600,"service":"model","max_attempts":1,"sticky":true,"target_gap_ms":300}],
	"services":[{"name":"plain"},{"name":"model","engine":{"slots":512,"kv_capacity":10000000,"kv_token_bytes":1000,"link_mbps":100000,"handle_ttl_s":5}}],
	"limits":{"max_body_bytes":%d,"max_header_bytes":16384,"header_timeout_ms":5000,"idle_timeout_ms":30000}}`
)

// crowdGateway is a gateway process that a crowd calls, with its workers.
type crowdGateway struct {
	*process
	address     string
	others      map[string]string // addresses of its other listeners, by name
	descriptors int
	requests    int
}

func startCrowdGateway(t *testing.T, descriptors int) *crowdGateway {
	t.Helper()
	store := rows.New()
	store.Put("op", "config", fmt.Appendf(nil, crowdConfiguration, crowdBody))
	for id, service := range map[string]string{"w-plain": "plain", "w-model": "model"} {
		w := startWorker(t, id)
		w.SetEvents(100)
		w.SetEventDelay(100 * time.Millisecond)
		_ = store.PutServer(id, rows.Server{Service: service, Address: w.Address(), Zone: "z", Slots: 512, State: "ready", Stage: "decode", Seq: 1})
	}
	g := &crowdGateway{process: startProcess(t, store), descriptors: descriptors}
	g.text = strings.Replace(g.text, `"memoryMegabytes":100`, fmt.Sprintf(`"memoryMegabytes":%d,
		"limits":{"cores":1,"linkMegabits":1000,"descriptors":%d}`, grantedMegabytes, descriptors), 1)
	g.others = map[string]string{}
	for _, name := range []string{"health", "peer", "metrics"} {
		g.others[name] = freeAddress(t)
		g.text = strings.Replace(g.text, fmt.Sprintf(`"%s":"127.0.0.1:0"`, name), fmt.Sprintf(`"%s":"%s"`, name, g.others[name]), 1)
	}
	g.begin(t)
	g.address = <-g.listen
	go func() {
		for range g.listen { // it announces no other address
		}
	}()
	return g
}

// freeAddress returns an address of loopback on which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// ordinary returns a request of a client that behaves.
func (g *crowdGateway) ordinary() *http.Request {
	return g.request(http.MethodGet, "/lookup/x", http.NoBody)
}

// withBody returns a request of a client that behaves, with a body of a stated length and in chunks in turn.
func (g *crowdGateway) withBody() *http.Request {
	return g.request(http.MethodPost, "/order/x", crowd.OrdinaryBody(g.requests%2 == 0))
}

func (g *crowdGateway) request(method, path string, body io.Reader) *http.Request {
	g.requests++
	r, err := http.NewRequest(method, "http://"+g.address+path, body)
	if err != nil {
		panic(err)
	}
	r.Host = "a.example"
	r.Header.Set("Carawayspread-Request-Id", fmt.Sprint("ordinary-", g.requests))
	return r
}

func (g *crowdGateway) target(path string) crowd.Target {
	return crowd.Target{Address: g.address, Limit: crowdBody, Head: "POST " + path + " HTTP/1.1\r\nHost: a.example\r\n" +
		"Carawayspread-Request-Id: crowd-{n}\r\nCarawayspread-Token-Count: 10,100\r\n"}
}

// check has a crowd call the process, and checks that it lives, stays within what it is granted and serves ordinary
// requests while the crowd is there and when it has gone.
func (g *crowdGateway) check(t *testing.T, path string, keptLives bool, kinds ...crowd.Client) {
	t.Helper()
	g.checkTarget(t, g.target(path), keptLives, kinds...)
}

// checkTarget is check for a crowd at any listener of the process.
func (g *crowdGateway) checkTarget(t *testing.T, target crowd.Target, keptLives bool, kinds ...crowd.Client) {
	t.Helper()
	waitUntil(t, func() bool { return crowd.NewOrdinary(false).Served(g.ordinary) })
	trial := crowd.Trial{
		Target: target, Size: crowdSize,
		PID: g.cmd.Process.Pid, Ports: crowd.Ports(g.address, target.Address), Ordinary: g.ordinary, WithBody: g.withBody,
		Megabytes: grantedMegabytes, Descriptors: g.descriptors, KeptLives: keptLives,
	}
	result, begun := trial.Run(kinds...)
	qt.Assert(t, begun, qt.IsTrue)
	t.Logf("%s; granted %d MB and %d descriptors", result, grantedMegabytes, g.descriptors)
	qt.Check(t, trial.Violations(result), qt.HasLen, 0)
	select {
	case err := <-g.ended:
		t.Errorf("the process has ended: %v", err)
	default:
	}
}

// Guards against a process that runs out of memory under many requests which do not end or are too large, or that
// serves nobody else meanwhile.
func TestCrowdOfBodiesAtTheGateway(t *testing.T) {
	for name, client := range crowd.Clients {
		t.Run(name, func(t *testing.T) {
			startCrowdGateway(t, grantedDescriptors).check(t, "/order/x", true, client)
		})
	}
	t.Run("all kinds", func(t *testing.T) {
		startCrowdGateway(t, grantedDescriptors).check(t, "/order/x", true, crowd.Mix()...)
	})
	t.Run("more after a request that is served", func(t *testing.T) {
		startCrowdGateway(t, grantedDescriptors).check(t, "/stream/x", true, crowd.Clients["more after the request"])
	})
}

// Guards against a process that runs out of memory by requests at its listeners for health, metrics and other
// processes, or no longer tells its health.
func TestCrowdOfBodiesAtOtherListenersOfTheGateway(t *testing.T) {
	for _, name := range []string{"health", "peer", "metrics"} {
		for kind, clients := range map[string][]crowd.Client{
			"over the limit, stated": {crowd.Clients["over the limit, stated"]}, "small chunks": {crowd.Clients["small chunks"]}, "all kinds": crowd.Mix(),
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				g := startCrowdGateway(t, grantedDescriptors)
				target := crowd.Target{Address: g.others[name], Limit: crowdBody, Head: "POST /x HTTP/1.1\r\nHost: a.example\r\nX-Number: {n}\r\n"}
				g.checkTarget(t, target, true, clients...)
				qt.Check(t, crowd.NewOrdinary(false).Served(func() *http.Request {
					r, _ := http.NewRequest(http.MethodGet, "http://"+g.others["health"]+"/", http.NoBody)
					return r
				}), qt.IsTrue, qt.Commentf("the health of the process"))
			})
		}
	}
}

// Guards against a process that turns ordinary clients away, since others hold all connections that it may have open.
func TestCrowdOfConnectionsAtTheGateway(t *testing.T) {
	for _, name := range []string{"nothing", "head without an end", "idle after an answer", "length, at once", "announced, nothing sent"} {
		t.Run(name, func(t *testing.T) {
			startCrowdGateway(t, fewDescriptors).check(t, "/order/x", false, crowd.Clients[name])
		})
	}
	t.Run("all kinds", func(t *testing.T) {
		startCrowdGateway(t, fewDescriptors).check(t, "/order/x", false, crowd.Mix()...)
	})
}

// Guards against limits that refuse a single request which keeps them.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	g := startCrowdGateway(t, grantedDescriptors)
	fresh := crowd.NewOrdinary(false)
	waitUntil(t, func() bool { return fresh.Served(g.ordinary) })
	for name, body := range map[string]io.Reader{
		"length": strings.NewReader(strings.Repeat("x", crowdBody)),
		"chunks": io.MultiReader(strings.NewReader(strings.Repeat("x", crowdBody))),
	} {
		r, err := http.NewRequest(http.MethodPost, "http://"+g.address+"/order/x", body)
		qt.Assert(t, err, qt.IsNil)
		r.Host = "a.example"
		r.Header.Set("Carawayspread-Request-Id", name)
		resp, err := http.DefaultClient.Do(r)
		qt.Assert(t, err, qt.IsNil)
		_ = resp.Body.Close()
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", name))
	}
}
