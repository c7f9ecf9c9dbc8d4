package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/direct"
	"carawayspread/internal/connection/knowledge"
	"carawayspread/internal/connection/storetime"
	"carawayspread/internal/connection/uptime"
	"carawayspread/internal/decision/zonereader"
	"carawayspread/internal/process/follower"
	"carawayspread/internal/soak/relay"
	"carawayspread/internal/standin/rows"
	"carawayspread/platform/catalog"
	rowsclient "carawayspread/platform/rows"
)

const (
	// narrow is the link of the smallest instances, in bits a second.
	narrow = 10e6
	// inForce is the shortest time in which a change must be in force everywhere.
	inForce = 2 * time.Second
	// changeBytes bounds what a process is sent for a change of one route.
	changeBytes = 4 << 10
)

// configuration is one of that many routes, of which the first goes to the service.
func configuration(version, routes int, service string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for n := range routes {
		if n > 0 {
			b.WriteByte(',')
			service = "plain"
		}
		fmt.Fprintf(&b, `{"name":"r-%06d","host":"host%d.example","prefix":"/path%d/","kind":"safe","timeout_ms":2000,`+
			`"target_latency_ms":300,"priority":2,"service":%q,"max_attempts":2}`, n, n%97, n, service)
	}
	b.WriteString(`],"services":[{"name":"plain"},{"name":"other"}],"tenants":[{"name":"a","api_keys":["k"]}],"limits":{"max_body_bytes":1000}}`)
	return b.Bytes()
}

// routed is a catalog's sink that keeps what it takes.
type routed struct {
	mu        sync.Mutex
	routing   *carawayspread.Routing
	endpoints int
}

func (r *routed) Adopt(t *carawayspread.Routing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routing = t
}

func (r *routed) SetEndpoints(all []carawayspread.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = len(all)
}

func (r *routed) listed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints
}

// holds returns the service of the first route.
func (r *routed) holds() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routing == nil {
		return ""
	}
	route, ok := r.routing.Find("host0.example", "/path0/x")
	if !ok {
		return ""
	}
	return route.Shares[0].Service
}

// peer is a process's knowledge, which others reach over a link of its own.
type peer struct {
	*catalog.Catalog
	sink    *routed
	learner *knowledge.Learner
	link    *relay.Relay
}

func (p *peer) Stale() bool { return false }

func newPeer(t *testing.T, store string) *peer {
	t.Helper()
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	p := &peer{sink: &routed{}}
	p.Catalog = catalog.New(rowsclient.New(direct.New(), store), p.sink, quiet)
	clock := carawayspread.SystemClock()
	p.learner = knowledge.New(p, func() []string { return nil }, clock, quiet, metrics.NewSet())
	server := httptest.NewServer(p.learner.Handler())
	t.Cleanup(server.Close)
	p.link = newLink(t, server)
	return p
}

func newLink(t *testing.T, server *httptest.Server) *relay.Relay {
	t.Helper()
	link, err := relay.New(strings.TrimPrefix(server.URL, "http://"), carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(link.Close)
	link.LimitBandwidth(narrow)
	return link
}

func (p *peer) take(t *testing.T, version int, body []byte) {
	t.Helper()
	_, err := p.Learn(carawayspread.Knowledge{Routes: carawayspread.Document{Version: uint64(version), Body: body}})
	qt.Assert(t, err, qt.IsNil)
}

// asks has the process ask the other until it holds what is expected.
func (p *peer) asks(t *testing.T, other *peer, want string, within time.Duration) {
	t.Helper()
	begun := time.Now()
	for p.sink.holds() != want {
		_ = p.learner.Pull(context.Background(), other.link.Address(), carawayspread.ResourceRoutes)
		if p.sink.holds() != want {
			qt.Assert(t, time.Since(begun) < within, qt.IsTrue, qt.Commentf("not in force after %v, %d bytes", time.Since(begun), other.link.ResponseBytes()))
		}
	}
}

// Guards against a change of one route that is not in force in time, as it moves the
// whole configuration over the link of a small instance.
func TestChangeOfALargeConfigurationIsInForceInTime(t *testing.T) {
	for _, routes := range []int{49, 2859, 14009} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			from, to := newPeer(t, "127.0.0.1:1"), newPeer(t, "127.0.0.1:1")
			for _, p := range []*peer{from, to} {
				p.take(t, 7, configuration(7, routes, "plain"))
			}
			from.take(t, 9, configuration(9, routes, "other"))
			to.asks(t, from, "other", inForce)
			qt.Check(t, to.sink.routing.Version(), qt.Equals, carawayspread.Version(9))
			qt.Check(t, from.link.ResponseBytes() < changeBytes, qt.IsTrue, qt.Commentf("%d bytes", from.link.ResponseBytes()))
		})
	}
}

// Guards against a version that adds many routes at once and is not in force in time.
func TestManyRoutesAddedAreInForceInTime(t *testing.T) {
	from, to := newPeer(t, "127.0.0.1:1"), newPeer(t, "127.0.0.1:1")
	for _, p := range []*peer{from, to} {
		p.take(t, 7, configuration(7, 1460, "plain"))
	}
	from.take(t, 9, configuration(9, 2860, "other"))
	to.asks(t, from, "other", inForce)
	qt.Check(t, to.sink.routing.Len(), qt.Equals, 2860)
	t.Logf("%d bytes", from.link.ResponseBytes())
}

// whole bounds the time in which a process without a configuration has the largest
// over a narrow link.
const whole = 5 * time.Second

// Guards against a process that never has a configuration, since the transfer of a large
// one is given up while it arrives.
func TestLargeConfigurationArrivesOverANarrowLink(t *testing.T) {
	from, to := newPeer(t, "127.0.0.1:1"), newPeer(t, "127.0.0.1:1")
	from.take(t, 7, configuration(7, 14009, "other"))
	to.asks(t, from, "other", whole)
	qt.Check(t, to.sink.routing.Len(), qt.Equals, 14009)
}

// Guards against the same where it comes from the store.
func TestLargeConfigurationIsReadOverANarrowLink(t *testing.T) {
	store := rows.New()
	store.Put("op", "config", configuration(7, 14009, "other"))
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	p := newPeer(t, newLink(t, server).Address())
	qt.Assert(t, p.Read(context.Background(), carawayspread.ResourceRoutes), qt.IsNil)
	qt.Check(t, p.sink.holds(), qt.Equals, "other")
}

// Guards against an endpoint that leaves and is still sent requests, since the list of
// endpoints waits for a large configuration that is on its way.
func TestEndpointsDoNotWaitForALargeConfiguration(t *testing.T) {
	store := rows.New()
	store.Put("op", "config", configuration(7, 14009, "other"))
	qt.Assert(t, store.PutServer("w", rows.Server{Service: "plain", Address: "127.0.0.1:1", Zone: "z", Slots: 8, State: "ready", Seq: 1}), qt.IsNil)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	from, to := newPeer(t, strings.TrimPrefix(server.URL, "http://")), newPeer(t, "127.0.0.1:1")
	clock, terms := carawayspread.SystemClock(), zonereader.Bounds{Drain: inForce, ConfigApply: inForce}
	rota := zonereader.New(2, "z", 1, terms, clock)
	f := follower.New(to, rota, "z", 1, func() {}, clock, storetime.New(uptime.Clock{}))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.RunPulls(ctx, to.learner) }()
	t.Cleanup(func() { stop(); <-ended })
	says := carawayspread.PeerStatus{Zone: "z", Capacity: 2, CanReadStore: true}
	for of := range carawayspread.ResourceCount {
		qt.Assert(t, from.Read(t.Context(), of), qt.IsNil)
		says.Resources[of] = from.Status(of)
	}
	for begun := time.Now(); to.sink.listed() == 0; time.Sleep(50 * time.Millisecond) {
		f.ObservePeer(1, from.link.Address(), says)
		qt.Assert(t, time.Since(begun) < inForce, qt.IsTrue, qt.Commentf("no endpoints after %v", time.Since(begun)))
	}
}
