package framed_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/connection/engine"
	"carawayspread/internal/connection/framed"
	"carawayspread/internal/connection/instancelist"
	"carawayspread/internal/connection/knowledge"
	"carawayspread/internal/connection/s3"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/connection/transfer"
	"carawayspread/internal/connection/weights"
	"carawayspread/internal/standin/raw"
)

// answering serves these bytes as the answer to each request and then closes the connection.
func answering(t *testing.T, answer string) (url string) {
	t.Helper()
	server, err := raw.New(func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, answer) })
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	return "http://" + server.Address()
}

// The beginning of an object or of a message is taken for the whole, as its connection was closed in
// order and nothing else marks its end.
func TestAnswerWithoutAMarkedEndIsNotRead(t *testing.T) {
	clients := bytesClients()
	for framing, test := range map[string]struct {
		header, body string
		read         bool
	}{
		"unmarked":             {"", "", false},
		"a length":             {"Content-Length: 0\r\n", "", true},
		"chunks":               {"Transfer-Encoding: chunked\r\n", "0\r\n\r\n", true},
		"a length not reached": {"Content-Length: 5\r\n", "", false},
		"chunks not ended":     {"Transfer-Encoding: chunked\r\n", "", false},
	} {
		for name, get := range clients {
			t.Run(name+", "+framing, func(t *testing.T) {
				err := get(t.Context(), answering(t, "HTTP/1.1 200 OK\r\n"+test.header+"\r\n"+test.body))
				qt.Check(t, err == nil, qt.Equals, test.read, qt.Commentf("%v", err))
			})
		}
	}
}

// A head that is none of an answer is taken for one by a client of the project's own.
func TestMalformedAnswerIsNotRead(t *testing.T) {
	clients := bytesClients()
	clients["instance list"] = func(ctx context.Context, url string) error {
		list := instancelist.New(url)
		defer list.Close()
		_, _, err := list.List(ctx, "")
		return err
	}
	clients["engine"] = func(ctx context.Context, url string) error {
		client := &http.Client{Transport: framed.New(&http.Transport{}, framed.AllowUnmarked())}
		defer client.CloseIdleConnections()
		_, err := engine.New(strings.TrimPrefix(url, "http://"), client).State(ctx)
		return err
	}
	clients["sidecar"] = func(ctx context.Context, url string) error {
		client := sidecarhttp.NewClient(5 * time.Second)
		defer client.Close()
		answer, err := client.Do(ctx, sidecarhttp.Attempt{ID: "1", Endpoint: "e", Address: strings.TrimPrefix(url, "http://"), Method: http.MethodGet, Path: "/x", Header: http.Header{}})
		if err != nil {
			return err
		}
		_, err = io.ReadAll(answer.Body)
		return errors.Join(err, answer.Body.Close())
	}
	const sidecarFields = "Carawayspread-Attempt: 1\r\nCarawayspread-End: whole\r\n"
	for head, test := range map[string]struct {
		start, line string
		read        bool
	}{
		"well formed":         {"HTTP/1.1 200 OK", "", true},
		"another version":     {"HTTP/2.0 200 OK", "", false},
		"status 600":          {"HTTP/1.1 600 OK", "", false},
		"status 000":          {"HTTP/1.1 000 OK", "", false},
		"blank in a name":     {"HTTP/1.1 200 OK", "X Odd: 1\r\n", false},
		"blank before a name": {"HTTP/1.1 200 OK", " X-Odd: 1\r\n", false},
		"another length":      {"HTTP/1.1 200 OK", "Content-Length : 5\r\n", false},
	} {
		for name, get := range clients {
			t.Run(name+", "+head, func(t *testing.T) {
				body := map[string]string{"instance list": `{"instances":[]}`, "engine": "{}"}[name]
				err := get(t.Context(), answering(t, fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n%s\r\n%s", test.start, sidecarFields, len(body), test.line, body)))
				qt.Check(t, err == nil, qt.Equals, test.read, qt.Commentf("%v", err))
			})
		}
	}
}

// bytesClients are the clients of bytes that prove nothing by themselves; an empty answer is one to each of them.
func bytesClients() map[string]func(ctx context.Context, url string) error {
	peer := transfer.New(transfer.Limits{ConnectTimeout: time.Second, IdleTimeout: time.Second, TotalTimeout: 5 * time.Second, MaxBytes: 1 << 20})
	return map[string]func(ctx context.Context, url string) error{
		"transport": func(ctx context.Context, url string) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err != nil {
				return err
			}
			resp, err := framed.New(&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			if err != nil {
				return err
			}
			_, err = io.ReadAll(resp.Body)
			return errors.Join(err, resp.Body.Close())
		},
		"object": func(ctx context.Context, url string) error {
			client := s3.New(url)
			defer client.Close()
			_, err := client.Get(ctx, "answers/7")
			return err
		},
		"item": func(ctx context.Context, url string) error {
			client := dynamodb.New(url)
			defer client.Close()
			_, err := client.Get(ctx, carawayspread.Key{Partition: "p", Sort: "s"})
			if errors.Is(err, carawayspread.ErrNoItem) {
				return nil // an empty answer is one without the item
			}
			return err
		},
		"weights": func(ctx context.Context, url string) error {
			client := weights.New(url, clockwork.NewRealClock())
			defer client.Close()
			_, err := client.Fetch(ctx, "model", io.Discard)
			return err
		},
		"configuration of a peer": func(ctx context.Context, url string) error {
			_, err := control.NewControlProtobufClient(url, peer.Client()).Changes(ctx, &control.ChangesRequest{})
			return err
		},
		"routes of a peer": func(ctx context.Context, url string) error {
			_, err := knowledge.NewKnowledgeProtobufClient(url, peer.Client()).Newer(ctx, &knowledge.NewerRequest{})
			return err
		},
	}
}

// Guards against answers over TLS that are refused since their bytes are not those of HTTP/1 on the connection.
func TestAnswersOverTLSAreRead(t *testing.T) {
	for name, test := range map[string]struct {
		http2  bool
		header http.Header
	}{
		"a length":   {false, http.Header{"Content-Length": {"9"}}},
		"chunks":     {false, http.Header{}},
		"unmarked":   {false, http.Header{"Transfer-Encoding": {"identity"}}},
		"version 2":  {true, http.Header{}},
		"no content": {false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			want := "the whole"
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if test.header == nil {
					w.WriteHeader(http.StatusNoContent)
					return
				}
				maps.Copy(w.Header(), test.header)
				_, _ = io.WriteString(w, want[:4])
				_ = http.NewResponseController(w).Flush()
				_, _ = io.WriteString(w, want[4:])
			}))
			server.EnableHTTP2 = test.http2
			server.StartTLS()
			t.Cleanup(server.Close)
			next := server.Client().Transport.(*http.Transport)
			next.ForceAttemptHTTP2 = test.http2
			next.DialContext = nil // to the address of the server itself
			transport := framed.New(next, framed.AllowUnmarked())
			defer transport.CloseIdleConnections()
			for range 2 {
				req, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader(strings.Repeat("x", 1<<20)))
				qt.Assert(t, err, qt.IsNil)
				resp, err := transport.RoundTrip(req)
				qt.Assert(t, err, qt.IsNil)
				body, err := io.ReadAll(resp.Body)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, resp.Body.Close(), qt.IsNil)
				qt.Check(t, resp.ProtoMajor == 2, qt.Equals, test.http2)
				qt.Check(t, test.header == nil || string(body) == want, qt.IsTrue, qt.Commentf("%q", body))
			}
		})
	}
}
