package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/framed"
)

const empty = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// recorder answers every request without a body and keeps the request lines.
type recorder struct {
	mu    sync.Mutex
	lines map[string]int
}

func (a *recorder) handle(_ int64, conn net.Conn, r *bufio.Reader) {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := readHead(r); err != nil {
			return
		}
		a.mu.Lock()
		a.lines[line]++
		a.mu.Unlock()
		_, _ = io.WriteString(conn, empty)
	}
}

// Guards against a request that is lost, or sent twice, since the connection that it was given was retired
// after the answer before it: others take retired connections from the pool at the same moment.
func TestRetiredConnectionsLoseNoRequest(t *testing.T) {
	const senders, each = 8, 60
	a := &recorder{lines: map[string]int{}}
	to := listen(t, a.handle)
	c := New()
	defer c.Close()
	var all sync.WaitGroup
	for sender := range senders {
		all.Go(func() {
			for n := range each {
				reply, err := c.Send(context.Background(), to, get(fmt.Sprintf("/%d/%d", sender, n)))
				if !qt.Check(t, err, qt.IsNil) {
					return
				}
				_ = reply.Body.Close()
				if n%2 == 0 {
					reply.Retire()
				}
			}
		})
	}
	all.Wait()
	qt.Check(t, a.lines, qt.HasLen, senders*each)
	for line, times := range a.lines {
		qt.Check(t, times, qt.Equals, 1, qt.Commentf("%q", line))
	}
}

// Guards against a request that fails as possibly run although its connection was closed before its first
// byte: it takes another connection.
func TestClosedConnectionIsReplaced(t *testing.T) {
	a := &recorder{lines: map[string]int{}}
	to := listen(t, a.handle)
	c := New()
	defer c.Close()
	first, err := c.Send(context.Background(), to, get("/first"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, first.EarlierAnswers, qt.Equals, 0)
	second, err := c.Send(context.Background(), to, get("/second"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, second.Connection, qt.Equals, first.Connection)
	qt.Check(t, second.EarlierAnswers, qt.Equals, 1)
	second.Retire()
	third, err := c.Send(context.Background(), to, get("/third"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, third.Connection, qt.Not(qt.Equals), first.Connection)
	qt.Check(t, third.EarlierAnswers, qt.Equals, 0)
	qt.Check(t, a.lines, qt.HasLen, 3)
}

// An answer without a body is lost, and its request counts as one that may have run, since the write of the
// next request on its connection is withheld a moment before the answer is handed over.
func TestWithheldRequestLeavesTheAnswerBeforeIt(t *testing.T) {
	for name, release := range map[string]func(c *conn, before *delivery){
		"answered": func(_ *conn, before *delivery) { close(before.returned) },
		"closed":   func(c *conn, _ *delivery) { _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			here, there := net.Pipe()
			defer func() { _ = there.Close() }()
			c := &conn{Conn: framed.Watch(here, carawayspread.SystemClock()), closed: make(chan struct{})}
			before := newDelivery(nil)
			c.give(before)
			c.give(newDelivery(func() bool { return false }))
			failed := make(chan error)
			go func() {
				_, err := c.Write([]byte("next"))
				failed <- err
			}()
			select {
			case err := <-failed:
				t.Fatalf("the write returned %v before the answer", err)
			case <-time.After(50 * time.Millisecond):
			}
			release(c, before)
			qt.Assert(t, <-failed, qt.ErrorIs, errWithheld)
		})
	}
}

// A request is given up as not sent although its endpoint takes requests, since it was given many connections that
// others had retired.
func TestRequestOutlastsRetiredConnections(t *testing.T) {
	const many = maxReconnects + 2
	a := &recorder{lines: map[string]int{}}
	to := listen(t, a.handle)
	c := New()
	defer c.Close()
	c.transport.MaxIdleConnsPerHost = many
	var mu sync.Mutex
	var open []*conn
	var dialed sync.WaitGroup
	dialed.Add(many)
	c.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		next, err := c.dial(ctx, network, address)
		mu.Lock()
		defer mu.Unlock()
		if open = append(open, next.(*conn)); len(open) <= many {
			dialed.Done()
		}
		return next, err
	}
	var all sync.WaitGroup
	for n := range many {
		all.Go(func() {
			out := get(fmt.Sprint("/", n))
			out.Proceed = func() bool { dialed.Wait(); return true } // all have a connection of their own
			_, err := c.Send(context.Background(), to, out)
			qt.Check(t, err, qt.IsNil)
		})
	}
	all.Wait()
	for _, idle := range open {
		idle.retired.Store(true)
	}
	_, err := c.Send(context.Background(), to, get("/last"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.lines["GET /last HTTP/1.1\r\n"], qt.Equals, 1)
}

// slowBody is an empty body whose end takes longer to read than net/http waits.
type slowBody struct{ io.ReadCloser }

func (slowBody) Read([]byte) (int, error) {
	time.Sleep(300 * time.Millisecond)
	return 0, io.EOF
}

// A request without a body arrives with chunks, the last of which its endpoint takes for the next request, since the
// machine was too busy to see in time that the body is empty.
func TestRequestWithoutABodyHasNoChunks(t *testing.T) {
	for _, method := range bodilessMethods {
		t.Run(method, func(t *testing.T) {
			out := get("/x")
			out.Method = method
			req := newRequest(carawayspread.NewEndpoint("w", "s", "z", "10.0.0.1:1", false), out)
			req.Body = slowBody{req.Body}
			var sent strings.Builder
			qt.Assert(t, req.Write(&sent), qt.IsNil)
			qt.Assert(t, sent.String(), qt.Equals, method+" /x HTTP/1.1\r\nHost: a.example\r\nX-A: 1\r\n\r\n")
		})
	}
}

// A delivery is either begun or withheld, whoever comes first.
func TestDelivery(t *testing.T) {
	for name, c := range map[string]struct {
		use            func(d *delivery) bool
		want, withheld bool
	}{
		"written":                       {func(d *delivery) bool { return d.begin(false) }, true, false},
		"written before the retirement": {func(d *delivery) bool { return d.begin(false) && d.begin(true) }, true, false},
		"retired before":                {func(d *delivery) bool { return d.begin(true) }, false, true},
		"withheld before":               {func(d *delivery) bool { d.withhold(); return d.begin(false) }, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := &delivery{}
			qt.Check(t, c.use(d), qt.Equals, c.want)
			qt.Check(t, d.withhold(), qt.Equals, c.withheld)
		})
	}
}

var _ carawayspread.EndpointTransport = (*Client)(nil)
