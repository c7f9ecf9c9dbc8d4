package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/worker"
)

// BenchmarkRequest compares a request of 600 bytes through a gateway with the
// same request sent straight to the endpoint, over kept connections.
func BenchmarkRequest(b *testing.B) {
	for _, path := range []string{"straight", "gateway"} {
		b.Run(path, func(b *testing.B) {
			w, err := worker.New("w")
			qt.Assert(b, err, qt.IsNil)
			defer w.Close()
			address := w.Address()
			if path == "gateway" {
				f := newFleet(b)
				f.putServer(w, "plain", "", "ready", 1)
				f.start(b)
				for !f.daemon.Ready() {
					time.Sleep(time.Millisecond)
				}
				address = f.daemon.CallerAddress()
			}
			body := strings.Repeat("x", 600)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req, err := http.NewRequest(http.MethodPost, "http://"+address+"/order/x", strings.NewReader(body))
				qt.Assert(b, err, qt.IsNil)
				req.Host = "a.example"
				req.Header.Set("Carawayspread-Request-Id", fmt.Sprint("id-", i))
				resp, err := http.DefaultClient.Do(req)
				qt.Assert(b, err, qt.IsNil)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				qt.Assert(b, resp.StatusCode, qt.Equals, 200)
			}
		})
	}
}
