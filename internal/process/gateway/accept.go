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
	"carawayspread/internal/connection/callers"
	"carawayspread/internal/request/body"
)

// finishesInTime reports whether the request can be accepted in spite of a drain. The answer to a request that is
// passed on while the process drains must not be cut, however late it is, so only the deadline bounds its time.
func (c *call) finishesInTime() bool {
	window := c.g.drain.Load()
	return window == nil || c.g.clock.Now().Before(window.restrictFrom) || c.deadline.Add(drainMargin).Before(window.end)
}

// mayBegin reports whether a drain lets the next attempt be sent.
func (c *call) mayBegin() bool { return c.begun() || c.finishesInTime() }

// begun reports whether the request goes on in a drain, however late its answer is: nobody may be told that it has
// not run, or it is prefilled and its caller may send it again after an answer that is cut.
func (c *call) begun() bool {
	return c.ran > 0 || c.started || c.handover != nil && c.route.Retry != carawayspread.RetryNever
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

// makeUrgent gives the request the most urgent priority.
func (c *call) makeUrgent() {
	route := *c.route
	route.Priority = 0
	c.route = &route
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
	timeLeft := route.Timeout
	if c.metadata.TimeLeft > 0 {
		timeLeft = min(timeLeft, c.metadata.TimeLeft)
	}
	c.deadline = c.arrived.Add(timeLeft)
	if err := c.readBody(routing.Limits().BodyBytes); err != nil {
		return err
	}
	c.service, _ = routing.Service(pickService(route.Shares))
	if c.service.Name == "" {
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "the service of the route is not known",
			carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
	}
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

// errNotInTime says that a drain leaves no time to answer the request.
var errNotInTime = errors.New("the process ends before the deadline of the request")

// acceptedBody is the body of a request. Its reader gets errNotInTime as soon as the request can no longer be accepted.
type acceptedBody struct {
	io.Reader
	c *call
}

func (b acceptedBody) Read(p []byte) (int, error) {
	if !b.c.finishesInTime() {
		return 0, errNotInTime
	}
	return b.Reader.Read(p)
}

func (c *call) readBody(limit int64) *carawayspread.Error {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	defer c.stopReadingAtShutdown()()
	account := callers.AccountOf(c.r.Context())
	bounded := http.MaxBytesReader(c.w, c.r.Body, limit)
	text, err := body.Read(account, acceptedBody{bounded, c}, c.r.ContentLength, limit)
	if err == nil {
		err = account.Received()
	}
	switch {
	case errors.Is(err, carawayspread.ErrGivenUp):
		c.w.Header().Set("Connection", "close") // the rest of the body is not read
		return carawayspread.NewError(carawayspread.CodeOverloaded, err.Error(), carawayspread.NotRun(),
			carawayspread.RetryAfter(c.g.noRoomRetryDelay()))
	case errors.Is(err, errNotInTime):
		c.unread = bounded
		return c.drainingError()
	case err != nil && c.shuttingDown():
		return c.drainingError()
	case errors.As(err, &body.TooLargeError{}):
		c.w.Header().Set("Connection", "close")
		return carawayspread.NewError(carawayspread.CodeTooLarge, err.Error(), carawayspread.NotRun())
	case err != nil:
		c.connBroken = true
		return carawayspread.NewError(carawayspread.CodeMalformed, "the body cannot be read", carawayspread.NotRun(), carawayspread.CausedBy(err))
	}
	c.body = text
	return nil
}

// stopReadingAtShutdown interrupts a read of the body when the request is abandoned, which the end of its context
// does not do.
func (c *call) stopReadingAtShutdown() (stop func() bool) {
	return context.AfterFunc(c.r.Context(), func() {
		_ = http.NewResponseController(c.w).SetReadDeadline(c.g.clock.Now())
	})
}

// discardUnread reads what the caller still sends of a request that has been refused. Otherwise the connection would
// be reset while the caller sends, and the caller might not receive the refusal.
func (c *call) discardUnread() {
	if c.unread == nil || http.NewResponseController(c.w).Flush() != nil {
		return
	}
	defer c.stopReadingAtShutdown()()
	_, _ = io.Copy(io.Discard, c.unread)
}

func fingerprint(path string, body []byte) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, path)
	_, _ = h.Write(body)
	return h.Sum64()
}
