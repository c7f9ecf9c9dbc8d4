package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"

	"carawayspread"
)

// finishesInTime reports whether the request can be accepted in spite of a drain. The answer to a request that is
// passed on while the process drains must not be cut, however late it is, so only the deadline bounds its time.
func (c *call) finishesInTime() bool {
	window := c.g.drain.Load()
	return window == nil || c.g.clock.Now().Before(window.restrictFrom) || c.deadline.Add(drainMargin).Before(window.end)
}

// path returns the escaped path as the caller sent it.
func path(r *http.Request) string {
	target, _, _ := strings.Cut(r.RequestURI, "?")
	return target
}

func host(r *http.Request) string {
	if name, _, err := net.SplitHostPort(r.Host); err == nil {
		return name
	}
	return r.Host
}

// findRoute finds the route of the request in the routes in force.
func (c *call) findRoute() *carawayspread.Error {
	c.routing = c.g.routing.Load()
	if c.routing == nil {
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "no routes are known yet",
			carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
	}
	route, ok := c.routing.Find(host(c.r), path(c.r))
	if !ok {
		return carawayspread.NewError(carawayspread.CodeNotFound, "no route takes this host and path", carawayspread.NotRun())
	}
	c.route = route
	return nil
}

// applyPriority gives the request the priority of its workspace, where that has one.
func (c *call) applyPriority() {
	if priority := c.workspace.Priority(c.route.Priority); priority != c.route.Priority {
		route := *c.route
		route.Priority = priority
		c.route = &route
	}
}

// accept reads the request, and finds its route, workspace, service and deadline.
func (c *call) accept() *carawayspread.Error {
	g := c.g
	c.metadata = g.protocol.ParseRequest(c.r.Header)
	c.line.Text("id", c.metadata.ID)
	if err := c.routeAndAuthenticate(); err != nil {
		return err
	}
	c.applyPriority()
	routing, route := c.routing, c.route
	c.line.Int("version", int64(routing.Version())).Text("route", route.Name).Text("workspace", c.workspace.Name())
	if err := c.readBody(routing.Limits().BodyBytes); err != nil {
		return err
	}
	c.service, _ = routing.Service(pickService(route.Shares))
	if c.service.Name == "" {
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "the service of the route is not known",
			carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
	}
	timeLeft := route.Timeout
	if c.metadata.TimeLeft > 0 {
		timeLeft = min(timeLeft, c.metadata.TimeLeft)
	}
	c.deadline = c.arrived.Add(timeLeft)
	if !c.finishesInTime() {
		return c.drainingError()
	}
	c.fingerprint = fingerprint(path(c.r), c.body)
	if refusal := c.checkQuarantine(); refusal != nil {
		return refusal
	}
	if refusal := c.checkParts(); refusal != nil {
		return refusal
	}
	return c.findBuild()
}

func (c *call) readBody(limit int64) *carawayspread.Error {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	// The end of a request's context does not interrupt a read of its body; a read deadline does.
	defer context.AfterFunc(c.r.Context(), func() {
		_ = http.NewResponseController(c.w).SetReadDeadline(c.g.clock.Now())
	})()
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err != nil && c.shuttingDown():
		return c.drainingError()
	case errors.As(err, &tooLarge):
		return carawayspread.NewError(carawayspread.CodeTooLarge, "the body is larger than the limit", carawayspread.NotRun())
	case err != nil:
		c.connBroken = true
		return carawayspread.NewError(carawayspread.CodeMalformed, "the body cannot be read", carawayspread.NotRun(), carawayspread.CausedBy(err))
	}
	c.body = body
	return nil
}

func fingerprint(path string, body []byte) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, path)
	_, _ = h.Write(body)
	return h.Sum64()
}
