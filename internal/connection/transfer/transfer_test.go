package transfer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var limits = Limits{ConnectTimeout: time.Second, IdleTimeout: 200 * time.Millisecond, TotalTimeout: 10 * time.Second, MaxBytes: 1 << 20}

// serveChunks serves answers of n chunks of that size, with a delay before each chunk.
func serveChunks(t *testing.T, n, size int, delay time.Duration) string {
	t.Helper()
	stop := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range n {
			select {
			case <-stop:
				return
			case <-time.After(delay):
			}
			if _, err := w.Write(make([]byte, size)); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(stop) })
	return server.URL
}

func (t *Transfer) get(url string) (int, error) {
	resp, err := t.Client().Get(url)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return len(body), err
}

// Guards against a transfer that is aborted while data still arrives, because it takes longer than a
// small one.
func TestProgressingTransferIsNotAborted(t *testing.T) {
	fetch := New(limits)
	n, err := fetch.get(serveChunks(t, 10, 1000, limits.IdleTimeout/2))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, n, qt.Equals, 10_000)
	qt.Check(t, fetch.Received() > 10_000, qt.IsTrue)
}

// Guards against a process that keeps waiting for a silent peer and does not query another one
// meanwhile.
func TestSilentTransferIsAborted(t *testing.T) {
	for name, url := range map[string]string{
		"from the start":  serveChunks(t, 1, 1, time.Minute),
		"after some data": serveChunks(t, 2, 1000, 2*limits.IdleTimeout),
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			_, err := New(limits).get(url)
			var timeout net.Error
			qt.Check(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, time.Since(start) < 10*limits.IdleTimeout, qt.IsTrue)
		})
	}
}

// Guards against an answer that never ends: a slow one by the total timeout, a fast one by the number
// of bytes.
func TestEndlessTransferIsAborted(t *testing.T) {
	short := limits
	short.TotalTimeout = 5 * limits.IdleTimeout
	_, err := New(short).get(serveChunks(t, 1<<20, 1, limits.IdleTimeout/10))
	qt.Check(t, err, qt.IsNotNil)
	_, err = New(limits).get(serveChunks(t, 1<<20, 64<<10, 0))
	qt.Check(t, errors.Is(err, ErrTooLarge), qt.IsTrue, qt.Commentf("%v", err))
}
