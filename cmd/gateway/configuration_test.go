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
	// linkBitsPerSecond is the bandwidth of the smallest instances.
	linkBitsPerSecond = 10e6
	// applyBound is the shortest time in which a change must be in force everywhere.
	applyBound = 2 * time.Second
	// maxChangeBytes bounds the bytes that a process is sent for a change of one route.
	maxChangeBytes = 4 << 10
)

// configuration returns a configuration with that many routes, the first of which leads to the
// service.
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

// recordingSink is a catalog's sink that records the routing and the number of endpoints.
type recordingSink struct {
	mu        sync.Mutex
	routing   *carawayspread.Routing
	endpoints int
}

func (r *recordingSink) Adopt(t *carawayspread.Routing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routing = t
}

func (r *recordingSink) SetEndpoints(all []carawayspread.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = len(all)
}

func (r *recordingSink) endpointCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints
}

// firstService returns the service of the first route; empty if there is none.
func (r *recordingSink) firstService() string {
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

// peer is the catalog of one process, which others reach over a link with limited bandwidth.
type peer struct {
	*catalog.Catalog
	sink    *recordingSink
	learner *knowledge.Learner
	link    *relay.Relay
}

func (p *peer) Stale() bool { return false }

func newPeer(t *testing.T, store string) *peer {
	t.Helper()
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	p := &peer{sink: &recordingSink{}}
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
	link.LimitBandwidth(linkBitsPerSecond)
	return link
}

func (p *peer) learn(t *testing.T, version int, body []byte) {
	t.Helper()
	_, err := p.Learn(carawayspread.Knowledge{Routes: carawayspread.Document{Version: uint64(version), Body: body}})
	qt.Assert(t, err, qt.IsNil)
}

// pullUntil has the process pull from the other until its first route leads to the wanted service.
func (p *peer) pullUntil(t *testing.T, other *peer, want string, within time.Duration) {
	t.Helper()
	begun := time.Now()
	for p.sink.firstService() != want {
		_ = p.learner.Pull(context.Background(), other.link.Address(), carawayspread.ResourceRoutes)
		if p.sink.firstService() != want {
			qt.Assert(t, time.Since(begun) < within, qt.IsTrue, qt.Commentf("not in force after %v, %d bytes", time.Since(begun), other.link.ResponseBytes()))
		}
	}
}

// Guards against a change of one route that is not in force in time, because it transfers the
// whole configuration over the link of a small instance.
func TestChangeOfALargeConfigurationIsInForceInTime(t *testing.T) {
	for _, routes := range []int{49, 2859, 14009} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			from, to := newPeer(t, "127.0.0.1:1"), newPeer(t, "127.0.0.1:1")
			for _, p := range []*peer{from, to} {
				p.learn(t, 7, configuration(7, routes, "plain"))
			}
			from.learn(t, 9, configuration(9, routes, "other"))
			to.pullUntil(t, from, "other", applyBound)
			qt.Check(t, to.sink.routing.Version(), qt.Equals, carawayspread.Version(9))
			qt.Check(t, from.link.ResponseBytes() < maxChangeBytes, qt.IsTrue, qt.Commentf("%d bytes", from.link.ResponseBytes()))
		})
	}
}

// Guards against a version that adds many routes at once and is not in force in time.
func TestManyRoutesAddedAreInForceInTime(t *testing.T) {
	from, to := newPeer(t, "127.0.0.1:1"), newPeer(t, "127.0.0.1:1")
	for _, p := range []*peer{from, to} {
		p.learn(t, 7, configuration(7, 1460, "plain"))
	}
	from.learn(t, 9, configuration(9, 2860, "other"))
	to.pullUntil(t, from, "other", applyBound)
	qt.Check(t, to.sink.routing.Len(), qt.Equals, 2860)
	t.Logf("%d bytes", from.link.ResponseBytes())
}

// transferBound bounds the time in which a process without a configuration receives the largest one
// over a link with limited bandwidth.
const transferBound = 5 * time.Second

// Guards against a process that never gets a configuration, because the transfer of a large one is
// aborted while it makes progress.
func TestLargeConfigurationArrivesOverANarrowLink(t *testing.T) {
	from, to := newPeer(t, "127.0.0.1:1"), newPeer(t, "127.0.0.1:1")
	from.learn(t, 7, configuration(7, 14009, "other"))
	to.pullUntil(t, from, "other", transferBound)
	qt.Check(t, to.sink.routing.Len(), qt.Equals, 14009)
}

// Guards against the same failure where the configuration is read from the store.
func TestLargeConfigurationIsReadOverANarrowLink(t *testing.T) {
	store := rows.New()
	store.Put("op", "config", configuration(7, 14009, "other"))
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	p := newPeer(t, newLink(t, server).Address())
	qt.Assert(t, p.Read(context.Background(), carawayspread.ResourceRoutes), qt.IsNil)
	qt.Check(t, p.sink.firstService(), qt.Equals, "other")
}

// Guards against a draining endpoint that is still sent requests, because the list of endpoints
// waits for the transfer of a large configuration.
func TestEndpointsDoNotWaitForALargeConfiguration(t *testing.T) {
	store := rows.New()
	store.Put("op", "config", configuration(7, 14009, "other"))
	qt.Assert(t, store.PutServer("w", rows.Server{Service: "plain", Address: "127.0.0.1:1", Zone: "z", Slots: 8, State: "ready", Seq: 1}), qt.IsNil)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	from, to := newPeer(t, strings.TrimPrefix(server.URL, "http://")), newPeer(t, "127.0.0.1:1")
	clock, bounds := carawayspread.SystemClock(), zonereader.Bounds{Drain: applyBound, ConfigApply: applyBound}
	election := zonereader.New(2, "z", 1, bounds, clock)
	f := follower.New(to, election, "z", 1, func() {}, clock, storetime.New(uptime.Clock{}))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.RunPulls(ctx, to.learner) }()
	t.Cleanup(func() { stop(); <-ended })
	status := carawayspread.PeerStatus{Zone: "z", Capacity: 2, CanReadStore: true}
	for resource := range carawayspread.ResourceCount {
		qt.Assert(t, from.Read(t.Context(), resource), qt.IsNil)
		status.Resources[resource] = from.Status(resource)
	}
	for begun := time.Now(); to.sink.endpointCount() == 0; time.Sleep(50 * time.Millisecond) {
		f.ObservePeer(1, from.link.Address(), status)
		qt.Assert(t, time.Since(begun) < applyBound, qt.IsTrue, qt.Commentf("no endpoints after %v", time.Since(begun)))
	}
}
