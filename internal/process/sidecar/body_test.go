package sidecar

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
)

// serverBody behaves as the body of a request at a server: a read past its end fails
// once the answer has begun.
type serverBody struct {
	io.Reader
	answering chan struct{}
}

func (b *serverBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 || err == nil {
		return n, err
	}
	<-b.answering
	return 0, errors.New("read on a closed body")
}

func (b *serverBody) Close() error { return nil }

// The endpoint answers as soon as it has received Content-Length bytes, before the
// transport has read the end of the body. The transport must not close the connection
// then, as the caller would get an incomplete answer.
func TestAnswerBeforeEndOfBody(t *testing.T) {
	answering, finish := make(chan struct{}), make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 4))
		_, _ = io.WriteString(w, "begun ")
		_ = http.NewResponseController(w).Flush()
		close(answering)
		select {
		case <-finish:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "ended")
	}))
	t.Cleanup(endpoint.Close)
	worker := Worker{ID: "engine-1", Kind: carawayspread.KindPlain, Address: strings.TrimPrefix(endpoint.URL, "http://")}
	s := New([]Worker{worker})
	t.Cleanup(s.Close)
	r := httptest.NewRequest(http.MethodPost, "/run/engine-1/x", &serverBody{Reader: strings.NewReader("body"), answering: answering})
	r.ContentLength = 4
	w := &watchedRecorder{ResponseRecorder: httptest.NewRecorder(), begun: finish}
	s.ServeHTTP(w, r)
	qt.Check(t, w.Body.String(), qt.Equals, "begun ended")
	qt.Check(t, w.Header().Get(http.TrailerPrefix+sidecarhttp.TrailerEnd), qt.Equals, sidecarhttp.EndWhole)
}

// watchedRecorder lets the endpoint finish once the sidecar has forwarded the first bytes.
type watchedRecorder struct {
	*httptest.ResponseRecorder
	begun chan struct{}
}

func (w *watchedRecorder) Write(p []byte) (int, error) {
	if w.Body.Len() == 0 && len(p) > 0 {
		close(w.begun)
	}
	return w.ResponseRecorder.Write(p)
}
