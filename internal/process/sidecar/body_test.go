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

// servedBody is the body of a served request: whoever reads on behind its end
// once the answer has begun gets an error.
type servedBody struct {
	io.Reader
	answering chan struct{}
}

func (b *servedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 || err == nil {
		return n, err
	}
	<-b.answering
	return 0, errors.New("read on a closed body")
}

func (b *servedBody) Close() error { return nil }

// The caller sees a whole answer. The endpoint answers as soon as it has the
// announced bytes, while the transport has yet to see the end of the body; the
// connection must not be closed under the answer.
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
	r := httptest.NewRequest(http.MethodPost, "/run/engine-1/x", &servedBody{Reader: strings.NewReader("body"), answering: answering})
	r.ContentLength = 4
	w := &watched{ResponseRecorder: httptest.NewRecorder(), begun: finish}
	s.ServeHTTP(w, r)
	qt.Check(t, w.Body.String(), qt.Equals, "begun ended")
	qt.Check(t, w.Header().Get(http.TrailerPrefix+sidecarhttp.TrailerEnd), qt.Equals, sidecarhttp.EndWhole)
}

// watched lets the endpoint finish once the sidecar has passed on its beginning.
type watched struct {
	*httptest.ResponseRecorder
	begun chan struct{}
}

func (w *watched) Write(p []byte) (int, error) {
	if w.Body.Len() == 0 && len(p) > 0 {
		close(w.begun)
	}
	return w.ResponseRecorder.Write(p)
}
