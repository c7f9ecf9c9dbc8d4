package gateway

import (
	"context"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/origin"
)

// lifetimeTimeouts is how long a stream may last with all tries of its caller, as a multiple of its
// route's timeout.
const lifetimeTimeouts = 2

// aloneOrigins is the carawayspread.PeerOrigins of a process without peers.
type aloneOrigins struct{}

func (aloneOrigins) TellOrigins([]carawayspread.StreamOrigin) {}
func (aloneOrigins) FindOrigin(context.Context, carawayspread.StreamID, string, time.Duration) carawayspread.OriginAnswer {
	return carawayspread.OriginAnswer{}
}

// WithOrigins sets what is known of the builds at which streams began, and how peers are told and asked.
func WithOrigins(o *origin.Origins, peers carawayspread.PeerOrigins) Option {
	return func(g *Gateway) { g.origins, g.peerOrigins = o, peers }
}

// How the build of a resumed stream was found, in logs and metrics.
const (
	originOwn     = "own"  // it began here, or this process was told
	originPeer    = "peer" // a peer knew it
	originSole    = "sole" // there is only one build
	originUnknown = "unknown"
	originGone    = "gone" // no endpoint of the build serves
)

// TellUntold tells peers of streams that began here and whose build they might not know any more.
func (g *Gateway) TellUntold() {
	if untold := g.origins.Untold(); len(untold) > 0 {
		g.peerOrigins.TellOrigins(untold)
	}
}

// findBuild finds the build at which a stream began that its caller takes up, and refuses the request
// if that is not known or no endpoint of the build serves.
func (c *call) findBuild() *carawayspread.Error {
	if !c.route.Stream || c.metadata.LastEventID == "" {
		return nil
	}
	build, how := c.lookUpBuild()
	if build == 0 {
		c.countResumption(originUnknown)
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "it is not known which software version began the stream",
			carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
	}
	service, ok := c.serviceOf(build)
	if !ok {
		c.countResumption(originGone)
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "no endpoint runs the software version that began the stream",
			carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
	}
	c.countResumption(how)
	c.service, c.build = service, build
	return nil
}

func (c *call) lookUpBuild() (build carawayspread.BuildID, how string) {
	first := c.metadata.Resumes
	if first == "" { // a caller that names none: only a build that was the only one is certain
		first = c.metadata.ID
	}
	id, lifetime := carawayspread.NewStreamID(first), streamLifetime(c.route)
	if build, ok := c.g.origins.Build(id); ok {
		return build, originOwn
	}
	if c.g.origins.LedElsewhere(c.route, lifetime) { // the only build of a service is not that of the route
		return c.g.peerOrigins.FindOrigin(c.r.Context(), id, "", lifetime).Build, originPeer
	}
	answer := c.g.peerOrigins.FindOrigin(c.r.Context(), id, c.service.Name, lifetime)
	how = originPeer
	if answer.Build == 0 {
		how = originSole
	}
	return c.g.origins.Resolve(c.service.Name, lifetime, answer), how
}

// serviceOf returns the service of the route whose endpoints run the build, if one of them takes requests.
func (c *call) serviceOf(build carawayspread.BuildID) (carawayspread.RoutedService, bool) {
	endpoints := *c.g.endpoints.Load()
	for _, share := range c.route.Shares {
		for _, e := range endpoints[share.Service] {
			if e.Build() == build && !e.Leaving() {
				return c.routing.Service(share.Service)
			}
		}
	}
	return carawayspread.RoutedService{}, false
}

func (c *call) countResumption(how string) {
	c.line.Text("origin", how)
	c.g.set.GetOrCreateCounter(`gateway_resumptions_total{origin="` + how + `"}`).Inc()
}

// tooNew returns the endpoints at which the stream may not begin yet, as its caller may take it up at a process
// that does not list their build.
func (c *call) tooNew() []carawayspread.EndpointID {
	if !c.route.Stream || c.route.Retry != carawayspread.RetryResume || c.started || c.build != 0 || c.metadata.LastEventID != "" {
		return nil
	}
	return c.g.origins.TooNew(c.service.Name, (*c.g.endpoints.Load())[c.service.Name])
}

// beginStream records at which build the stream begins, before its caller gets the first event.
func (c *call) beginStream(at carawayspread.Endpoint) {
	if c.metadata.LastEventID != "" {
		return // it began in an earlier try
	}
	c.build = at.Build()
	if c.route.Retry != carawayspread.RetryResume {
		return
	}
	stream := carawayspread.StreamOrigin{Stream: carawayspread.NewStreamID(c.metadata.ID), Build: c.build}
	lifetime := streamLifetime(c.route)
	tell := c.g.origins.Began(stream, origin.NewRouteID(c.route), c.service.Name, lifetime)
	if tell || c.g.origins.LedElsewhere(c.route, lifetime) {
		c.g.peerOrigins.TellOrigins([]carawayspread.StreamOrigin{stream})
	}
}

// streamLifetime returns how long a stream of the route may last, with all tries of its caller.
func streamLifetime(route *carawayspread.Route) time.Duration {
	return lifetimeTimeouts * route.Timeout
}
