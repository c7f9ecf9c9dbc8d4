package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/connection/callers"
	"carawayspread/internal/connection/sidecarhttp"
)

// closingBody closes the connection to the caller at its end, as the kernel does when the process is killed.
type closingBody struct {
	io.Reader
	conn net.Conn
}

func (b closingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && b.conn != nil {
		_ = b.conn.Close()
	}
	return n, err
}

// An entry is killed while it passes on an answer that ends with its connection, and its caller takes what it has
// for the whole; or a whole answer is reset.
func TestAnswerOfALostEntryIsReset(t *testing.T) {
	for name, test := range map[string]struct {
		proto    string
		unmarked bool
		lost     bool
	}{
		"nothing marks its end":             {"HTTP/1.1", true, true},
		"a caller without chunks":           {"HTTP/1.0", false, true},
		"whole, nothing marks its end":      {"HTTP/1.1", true, false},
		"whole, to a caller without chunks": {"HTTP/1.0", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			conns := make(chan net.Conn, 1)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				answer := newRelay(w, newCall(t), New(nil, nil).clock).withCaller(r)
				body := closingBody{Reader: strings.NewReader(strings.Repeat("x", 2*maxHeldBack))}
				if test.lost {
					body.conn = <-conns
				}
				err := answer.forward(&sidecarhttp.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Unmarked: test.unmarked, Body: io.NopCloser(body)})
				if err == nil && !test.lost {
					answer.markComplete()
				}
			}))
			server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
				conns <- conn
				return callers.ConnContext(ctx, conn)
			}
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET / "+test.proto+"\r\nHost: a.example\r\n\r\n")
			qt.Assert(t, err, qt.IsNil)
			_, err = io.Copy(io.Discard, conn)
			qt.Assert(t, errors.Is(err, syscall.ECONNRESET), qt.Equals, test.lost, qt.Commentf("%v", err))
		})
	}
}
