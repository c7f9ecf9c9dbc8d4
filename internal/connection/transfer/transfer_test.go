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

var bounds = Limits{ConnectTimeout: time.Second, IdleTimeout: 200 * time.Millisecond, TotalTimeout: 10 * time.Second, MaxBytes: 1 << 20}

// pieces answers in pieces, with a pause before each.
func pieces(t *testing.T, n, size int, pause time.Duration) string {
	t.Helper()
	stop := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range n {
			select {
			case <-stop:
				return
			case <-time.After(pause):
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

func (t *Transfer) fetch(url string) (int, error) {
	resp, err := t.Client().Get(url)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return len(body), err
}

// Guards against a transfer that is given up while it arrives, since it takes longer than
// a small one.
func TestTransferThatArrivesIsNotGivenUp(t *testing.T) {
	way := New(bounds)
	n, err := way.fetch(pieces(t, 10, 1000, bounds.IdleTimeout/2))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, n, qt.Equals, 10_000)
	qt.Check(t, way.Received() > 10_000, qt.IsTrue)
}

// Guards against a process that waits for a peer that has fallen silent, and learns from
// no other meanwhile.
func TestSilentTransferEnds(t *testing.T) {
	for name, url := range map[string]string{
		"from the beginning": pieces(t, 1, 1, time.Minute),
		"in the midst":       pieces(t, 2, 1000, 2*bounds.IdleTimeout),
	} {
		t.Run(name, func(t *testing.T) {
			begun := time.Now()
			_, err := New(bounds).fetch(url)
			var timeout net.Error
			qt.Check(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, time.Since(begun) < 10*bounds.IdleTimeout, qt.IsTrue)
		})
	}
}

// Guards against a peer that never ends: by time, and by bytes.
func TestEndlessTransferEnds(t *testing.T) {
	slow := bounds
	slow.TotalTimeout = 5 * bounds.IdleTimeout
	_, err := New(slow).fetch(pieces(t, 1<<20, 1, bounds.IdleTimeout/10))
	qt.Check(t, err, qt.IsNotNil)
	_, err = New(bounds).fetch(pieces(t, 1<<20, 64<<10, 0))
	qt.Check(t, errors.Is(err, ErrTooLarge), qt.IsTrue, qt.Commentf("%v", err))
}
