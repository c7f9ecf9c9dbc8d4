package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// stuckTransport is a carawayspread.EndpointTransport to endpoints that send the text and do not go on.
type stuckTransport struct {
	text   string
	head   string // a field of the header
	mu     sync.Mutex
	closed bool // answers that come now end at once
	bodies []*stuckBody
}

func (s *stuckTransport) Send(_ context.Context, to carawayspread.Endpoint, out carawayspread.Outbound) (*carawayspread.Reply, error) {
	answer := reply(sentAttempt{to.ID(), out}, http.StatusOK, "", io.EOF, "X-More", s.head)
	body := &stuckBody{head: int64(len(s.head)), text: strings.NewReader(s.text), closed: make(chan struct{})}
	answer.Body = body
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies = append(s.bodies, body)
	if s.closed {
		_ = body.Close()
	}
	return answer, nil
}

// read returns how many answers there were, how many bytes were read of them and how many of those that are open.
func (s *stuckTransport) read() (answers int, all, open int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.bodies {
		n := b.head + b.read.Load()
		all += n
		select {
		case <-b.closed:
		default:
			open += n
		}
	}
	return len(s.bodies), all, open
}

func (s *stuckTransport) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, b := range s.bodies {
		_ = b.Close()
	}
}

// stuckBody gives its text, and then nothing until it is closed.
type stuckBody struct {
	text   *strings.Reader
	head   int64
	read   atomic.Int64
	once   sync.Once
	closed chan struct{}
}

func (b *stuckBody) Read(p []byte) (int, error) {
	n, err := b.text.Read(p)
	b.read.Add(int64(n))
	if err == nil {
		return n, nil
	}
	<-b.closed
	return 0, io.ErrClosedPipe
}

func (b *stuckBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// Guards against a process that runs out of memory: many endpoints, or one, send an answer to each of many requests
// that is just short of what one answer may have, and do not go on. What the process holds of all of them together
// is a share of its memory.
func TestAnswersAtOnceAreHeldWithinTheMemory(t *testing.T) {
	const memory, requests = 100 << 20, 150
	for name, c := range map[string]struct {
		path, text string
		head       int
	}{
		"one event":           {"/once/x", "data: " + strings.Repeat("x", 1<<20-100), 0},
		"lines of one event":  {"/resume/x", strings.Repeat("data: more\n", 90<<10), 0},
		"an event after many": {"/once/x", "id: 1\ndata: part 1\n\ndata: " + strings.Repeat("x", 1<<20-100), 0},
		"comments":            {"/once/x", strings.Repeat(": waiting\n\n", 5900), 0},
		"one comment":         {"/once/x", ": " + strings.Repeat("x", 1<<20-100), 0},
		"long heads":          {"/never/x", "", 300 << 10},
		"bodies":              {"/never/x", strings.Repeat("x", 1<<20-100), 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			WithMemory(memory)(b.gateway)
			b.gateway.maxWaiting = requests
			transport := &stuckTransport{text: c.text, head: strings.Repeat("x", c.head)}
			b.gateway.transport = transport
			endpoints := make([]carawayspread.Endpoint, 40)
			for i := range endpoints {
				endpoints[i] = carawayspread.NewEndpoint(carawayspread.EndpointID(fmt.Sprint("w", i)), "s", "z", fmt.Sprint("10.0.0.1:", 100+i), false,
					carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithSlots(64), carawayspread.WithVersion("v1"))
			}
			b.gateway.SetEndpoints(endpoints)
			var running sync.WaitGroup
			var received atomic.Int64
			for i := range requests {
				running.Go(func() {
					req, _ := http.NewRequest(http.MethodPost, b.server.URL+c.path, strings.NewReader("x"))
					req.Host = "a.example"
					req.Header.Set("Carawayspread-Request-Id", fmt.Sprint("id-", i))
					if resp, err := http.DefaultClient.Do(req); err == nil {
						buffer := make([]byte, 64<<10)
						for n, err := resp.Body.Read(buffer); ; n, err = resp.Body.Read(buffer) {
							if received.Add(int64(n)); err != nil {
								break
							}
						}
						_ = resp.Body.Close()
					}
				})
			}
			// All that will be read has been read once all are answered and nothing more is for a while. Looks are
			// counted, since one may take longer than that on a busy machine.
			deadline := time.Now().Add(time.Minute)
			for last, quiet := int64(-1), 0; quiet < 30 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
				answers, now, _ := transport.read()
				if quiet++; now+received.Load() != last || answers < requests {
					last, quiet = now+received.Load(), 0
				}
			}
			answers, all, open := transport.read()
			open -= received.Load()
			t.Logf("%d answers, %d MB read, %d MB of them held", answers, all>>20, open>>20)
			qt.Check(t, answers >= requests, qt.IsTrue, qt.Commentf("%d", answers))
			// Each reader has a buffer besides.
			qt.Check(t, open <= int64(heldShare*memory)+requests*(64<<10), qt.IsTrue, qt.Commentf("%d MB", open>>20))
			qt.Check(t, b.gateway.quarantine.Len(), qt.Equals, 0)
			qt.Check(t, b.gateway.parts.Empty(), qt.IsTrue)
			transport.close()
			running.Wait()
			qt.Check(t, b.gateway.held.Load(), qt.Equals, int64(0))
		})
	}
}
