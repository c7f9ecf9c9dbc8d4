package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// listVersions lists one engine of each version; empty if its entry states none.
func (b *harness) listVersions(service string, versions ...string) {
	var endpoints []carawayspread.Endpoint
	for n, version := range versions {
		endpoints = append(endpoints, carawayspread.NewEndpoint(carawayspread.EndpointID(string(rune('a'+n))+"-"+version), service, "z", "10.0.0.1:100", false,
			carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithSlots(8), carawayspread.WithVersion(version)))
	}
	b.gateway.SetEndpoints(endpoints)
}

// A caller that names no attempt, since there was one build only when it was written, is refused its
// stream; or its stream goes on at any of several builds, or at the only one that is left of them.
func TestStreamOfACallerThatNamesNoAttempt(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		short    bool // they have been listed for less than a stream may last
		status   int
	}{
		"one build":               {versions: []string{"v1", "v1"}, status: http.StatusOK},
		"one build just now":      {versions: []string{"v1", "v1"}, short: true, status: http.StatusServiceUnavailable},
		"two builds":              {versions: []string{"v1", "v2"}, status: http.StatusServiceUnavailable},
		"a version is not stated": {versions: []string{"v1", ""}, status: http.StatusServiceUnavailable},
		"none is stated":          {versions: []string{""}, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, events(3, 4, io.EOF))
			b.listVersions("s", test.versions...)
			route, _ := b.gateway.Routing().Find("a.example", "/resume/x")
			left := time.Duration(0)
			if test.short {
				left = 1
			}
			b.clock.Advance(streamLifetime(route) - left)
			resp, body, _ := b.post(t, "/resume/x", "body", tokens, "100,50", "Last-Event-Id", "2")
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			if test.status != http.StatusOK {
				qt.Check(t, body, qt.Contains, `"notRun":true`)
				qt.Check(t, resp.Header.Get("Retry-After"), qt.Equals, "0.500")
				qt.Check(t, b.transport.all(), qt.HasLen, 0)
			}
		})
	}
}

// A stream goes on at the service that the route picks by chance, at another build, or is refused
// although the route still leads to its service.
func TestStreamGoesOnAtItsService(t *testing.T) {
	for name, test := range map[string]struct {
		shares []carawayspread.Share
		status int
	}{
		"one of two services":    {[]carawayspread.Share{{Service: "other", Weight: 1000000}, {Service: "s", Weight: 1}}, http.StatusOK},
		"no longer of the route": {[]carawayspread.Share{{Service: "other", Weight: 1}}, http.StatusServiceUnavailable},
		"still its only service": {[]carawayspread.Share{{Service: "s", Weight: 1}}, http.StatusOK},
		"its service has gone":   {[]carawayspread.Share{{Service: "gone", Weight: 1}}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, events(3, 4, io.EOF))
			old, _ := b.gateway.Routing().Find("a.example", "/resume/x")
			moved := *old
			moved.Shares = test.shares
			services := map[string]carawayspread.RoutedService{}
			for _, service := range []string{"s", "other"} {
				services[service] = carawayspread.RoutedService{Name: service, Engine: b.gateway.Routing().Services()["s"].Engine}
			}
			b.gateway.Adopt(carawayspread.NewRouting(2, []*carawayspread.Route{&moved}, services, carawayspread.CallerLimits{}))
			engine := func(id carawayspread.EndpointID, service string) carawayspread.Endpoint {
				return carawayspread.NewEndpoint(id, service, "z", "10.0.0.1:100", false,
					carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithSlots(8), carawayspread.WithVersion("v1"))
			}
			b.gateway.SetEndpoints([]carawayspread.Endpoint{engine("here", "s"), engine("there", "other")})
			b.gateway.origins.Learn([]carawayspread.StreamOrigin{{Stream: carawayspread.NewStreamID("first"), Build: carawayspread.NewBuildID("s", "v1")}})
			resp, _, _ := b.post(t, "/resume/x", "body", tokens, "100,50", "Last-Event-Id", "2", "Resumes", "first")
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			for _, sent := range b.transport.all() {
				qt.Check(t, sent.to, qt.Equals, carawayspread.EndpointID("here"))
			}
		})
	}
}

// A stream begins at a build that has just appeared, and goes on at another one at a process that does not list it
// yet; or requests that nobody takes up get no engines of a new build.
func TestStreamBeginsWhereAllProcessesMayKnowTheBuild(t *testing.T) {
	refusedOnce := []step{notRun(503), events(1, 4, io.EOF)}
	for name, test := range map[string]struct {
		path     string
		versions []string
		then     time.Duration
		steps    []step
		status   int
		sends    int
	}{
		"another build":                {path: "/resume/x", versions: []string{"v1", "v2"}, steps: refusedOnce, status: http.StatusServiceUnavailable, sends: 1},
		"another build, seconds later": {path: "/resume/x", versions: []string{"v1", "v2"}, then: 2 * time.Second, steps: refusedOnce, status: http.StatusOK, sends: 2},
		"not to be taken up":           {path: "/once/x", versions: []string{"v1", "v2"}, steps: refusedOnce, status: http.StatusOK, sends: 2},
		"no stream":                    {path: "/safe/x", versions: []string{"v1", "v2"}, steps: []step{notRun(503), answer(200)}, status: http.StatusOK, sends: 2},
		"one build":                    {path: "/resume/x", versions: []string{"v1", "v1"}, steps: refusedOnce, status: http.StatusOK, sends: 2},
		"only new ones":                {path: "/resume/x", versions: []string{"v2", "v2"}, steps: refusedOnce, status: http.StatusOK, sends: 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, test.steps...)
			b.listVersions("s", "v1")
			b.clock.Advance(time.Minute)
			b.listVersions("s", test.versions...)
			b.clock.Advance(test.then)
			resp, body, err := b.post(t, test.path, "body", tokens, "100,50")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			qt.Check(t, b.transport.all(), qt.HasLen, test.sends)
			if test.status != http.StatusOK {
				qt.Check(t, body, qt.Contains, `"notRun":true`)
				qt.Check(t, b.transport.all()[0].to, qt.Equals, carawayspread.EndpointID("a-v1"))
			}
		})
	}
}
