package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/plain"
)

// unframed serves a plain service. Its answers at /raw are these bytes, up to the end of the connection.
type unframed struct {
	*plain.Service
	answer string
}

func (u unframed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/raw") {
		u.Service.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, u.answer)
}

// rawCall returns the header of the answer and its body up to the end of the connection.
func rawCall(t *testing.T, p *process, proto, header string) (*http.Response, string, error) {
	t.Helper()
	conn, err := net.Dial("tcp4", p.row.Address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	qt.Assert(t, conn.SetDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
	_, err = fmt.Fprintf(conn, "POST /services/records/raw %s\r\nHost: a\r\nX-Workspace: demo\r\nX-Class: interactive\r\n%sContent-Length: 4\r\n\r\nbody", proto, header)
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// An answer without a length and chunks never reaches its caller through entry and sidecar, or
// reaches it with a proof that its endpoint did not give, also when it is replayed.
func TestUnframedAnswerReachesItsCaller(t *testing.T) {
	for name, body := range map[string]string{"empty": "", "short": "the whole answer", "long": strings.Repeat("0123456789abcdef", 1<<20/16)} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.sidecar("sidecar-1", endpoint{"records-1", "records", "plain", unframed{plain.New(0), "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + body}})
			entries := []*process{f.entry("entry-1"), f.entry("entry-2")}
			for i, header := range []string{"", "Idempotency-Key: one\r\n", "Idempotency-Key: one\r\n"} {
				resp, got, err := rawCall(t, entries[i%2], "HTTP/1.1", header)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
				qt.Check(t, got == body, qt.IsTrue, qt.Commentf("%d of %d bytes", len(got), len(body)))
				qt.Check(t, resp.ContentLength, qt.Equals, int64(-1))
				qt.Check(t, resp.TransferEncoding, qt.HasLen, 0)
				qt.Check(t, resp.Header.Get("Idempotent-Replayed") != "", qt.Equals, i == 2)
			}
		})
	}
}

// A long answer that breaks off after its beginning was passed on looks complete to callers whose
// answer ends with its connection.
func TestBrokenAnswerIsResetByTheEntry(t *testing.T) {
	part := strings.Repeat("0123456789abcdef", 1<<20/16)
	f := newFleet(t)
	broken := unframed{plain.New(0), fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part)}
	f.sidecar("sidecar-1", endpoint{"records-1", "records", "plain", broken})
	entry := f.entry("entry-1")
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		resp, _, err := rawCall(t, entry, proto, "")
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s, status %d", proto, resp.StatusCode))
	}
}
