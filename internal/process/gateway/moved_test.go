package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// toldOrigins is a carawayspread.PeerOrigins of a process whose peers know the streams that they were told of.
type toldOrigins struct {
	told []carawayspread.StreamOrigin
}

func (o *toldOrigins) TellOrigins(streams []carawayspread.StreamOrigin) {
	o.told = append(o.told, streams...)
}

func (o *toldOrigins) FindOrigin(context.Context, carawayspread.StreamID, string, time.Duration) carawayspread.OriginAnswer {
	return carawayspread.OriginAnswer{}
}

// leads adopts routes for streams that lead to these services, in pairs of prefix and shares.
func (b *harness) leads(version carawayspread.Version, routes map[string][]carawayspread.Share) {
	var all []*carawayspread.Route
	for prefix, shares := range routes {
		r := route("resume", carawayspread.RetryResume, true, 2)
		r.Prefix, r.Shares = prefix, shares
		all = append(all, r)
	}
	services := map[string]carawayspread.RoutedService{}
	for _, service := range []string{"here", "there"} {
		services[service] = carawayspread.RoutedService{Name: service, Engine: &carawayspread.EngineTraits{Slots: 8, KVTokens: 1e6, KVBytesPerToken: 1}}
	}
	b.gateway.Adopt(carawayspread.NewRouting(version, all, services, carawayspread.CallerLimits{}))
	var endpoints []carawayspread.Endpoint
	for service := range services {
		endpoints = append(endpoints, carawayspread.NewEndpoint(carawayspread.EndpointID(service), service, "z", "10.0.0.1:100", false,
			carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithSlots(8), carawayspread.WithVersion("v1")))
	}
	b.gateway.SetEndpoints(endpoints)
}

// A stream of which nobody knows where it began goes on at the only build of another service: its route leads to
// two services, of which one is picked by chance, or has been moved since the stream began. Or it is refused
// although its route has led to one service only.
func TestUnknownStreamOfARouteOfSeveralServices(t *testing.T) {
	here, there := carawayspread.Share{Service: "here", Weight: 1}, carawayspread.Share{Service: "there", Weight: 1000}
	for name, test := range map[string]struct {
		before, now map[string][]carawayspread.Share
		then        time.Duration
		status      int
	}{
		"one service":                       {now: map[string][]carawayspread.Share{"/resume/": {here}}, status: http.StatusOK},
		"two services":                      {now: map[string][]carawayspread.Share{"/resume/": {here, there}}, then: time.Hour, status: http.StatusServiceUnavailable},
		"one of two has no weight":          {now: map[string][]carawayspread.Share{"/resume/": {here, {Service: "there"}}}, status: http.StatusOK},
		"moved":                             {before: map[string][]carawayspread.Share{"/resume/": {here}}, now: map[string][]carawayspread.Share{"/resume/": {there}}, status: http.StatusServiceUnavailable},
		"moved a lifetime ago":              {before: map[string][]carawayspread.Share{"/resume/": {here}}, now: map[string][]carawayspread.Share{"/resume/": {there}}, then: 16 * time.Second, status: http.StatusOK},
		"no longer split":                   {before: map[string][]carawayspread.Share{"/resume/": {here, there}}, now: map[string][]carawayspread.Share{"/resume/": {there}}, status: http.StatusServiceUnavailable},
		"another weight":                    {before: map[string][]carawayspread.Share{"/resume/": {here}}, now: map[string][]carawayspread.Share{"/resume/": {{Service: "here", Weight: 7}}}, status: http.StatusOK},
		"a part of the route moved":         {before: map[string][]carawayspread.Share{"/resume/": {here}}, now: map[string][]carawayspread.Share{"/resume/": {here}, "/resume/a/": {there}}, status: http.StatusServiceUnavailable},
		"a part of the route joined it":     {before: map[string][]carawayspread.Share{"/resume/": {here}, "/resume/a/": {there}}, now: map[string][]carawayspread.Share{"/resume/": {here}}, status: http.StatusServiceUnavailable},
		"another part of the route was new": {before: map[string][]carawayspread.Share{"/resume/": {here}}, now: map[string][]carawayspread.Share{"/resume/": {here}, "/resume/b/": {there}}, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, events(3, 4, io.EOF))
			if test.before != nil {
				b.leads(2, test.before)
			} else {
				b.leads(2, test.now)
			}
			b.clock.Advance(time.Hour)
			if test.before != nil {
				b.leads(3, test.now)
			}
			b.clock.Advance(test.then)
			resp, body, err := b.post(t, "/resume/a/x", "body", tokens, "100,50", "Last-Event-Id", "2", "Resumes", "first")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			if test.status != http.StatusOK {
				qt.Check(t, body, qt.Contains, `"notRun":true`)
				qt.Check(t, b.transport.all(), qt.HasLen, 0)
			}
		})
	}
}

// A stream of a route that leads to two services, or that was moved since, is lost with its process, as no peer was
// told of it. Or peers are told of each stream of a route that always led to one service.
func TestPeersAreToldOfStreamsOfARouteOfSeveralServices(t *testing.T) {
	here, there := carawayspread.Share{Service: "here", Weight: 1}, carawayspread.Share{Service: "there", Weight: 1}
	for name, test := range map[string]struct {
		before, then []carawayspread.Share // as the stream begins, and later
		told         bool
	}{
		"one service":  {before: []carawayspread.Share{here}, then: []carawayspread.Share{here}},
		"two services": {before: []carawayspread.Share{here, there}, then: []carawayspread.Share{here, there}, told: true},
		"moved later":  {before: []carawayspread.Share{here}, then: []carawayspread.Share{there}, told: true},
		"split later":  {before: []carawayspread.Share{here}, then: []carawayspread.Share{here, there}, told: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, events(1, 4, io.EOF))
			peers := &toldOrigins{}
			b.gateway.peerOrigins = peers
			b.leads(2, map[string][]carawayspread.Share{"/resume/": test.before})
			b.clock.Advance(time.Hour)
			_, _, err := b.post(t, "/resume/x", "body", tokens, "100,50")
			qt.Assert(t, err, qt.IsNil)
			b.leads(3, map[string][]carawayspread.Share{"/resume/": test.then})
			told := map[carawayspread.StreamID]bool{}
			for _, stream := range peers.told {
				told[stream.Stream] = true
			}
			qt.Check(t, told[carawayspread.NewStreamID("id-1")], qt.Equals, test.told)
		})
	}
}
