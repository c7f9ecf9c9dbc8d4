package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Guards against an answer that counts as complete since its endpoint, asked whether it runs, does not answer: the
// kernel of a process that is lost ends its connections in order, and then its machine is gone.
func TestAnswerOfAnUnreachableEndpointIsNotComplete(t *testing.T) {
	for _, path := range uploadPaths {
		t.Run(path, func(t *testing.T) {
			sent := wholeBody[:9]
			if isStreamPath(path) {
				sent = wholeStream[:40]
			}
			b, _ := framingHarness(t, func(e *rawEndpoint) { e.framing, e.end, e.sent = carawayspread.FramingClose, endFIN, sent })
			b.gateway.prober = unreachableProber
			got := receive(t, b, "HTTP/1.1", path)
			qt.Check(t, got.status == http.StatusBadGateway || got.end == endReset, qt.IsTrue, qt.Commentf("%+v", got))
		})
	}
}

// Guards against a whole answer that is refused for one lost probe.
func TestAnswerOutlastsOneLostProbe(t *testing.T) {
	for _, path := range uploadPaths {
		t.Run(path, func(t *testing.T) {
			whole := wholeBody
			if isStreamPath(path) {
				whole = wholeStream
			}
			b, _ := framingHarness(t, func(e *rawEndpoint) { e.framing, e.end, e.sent = carawayspread.FramingClose, endFIN, whole })
			b.gateway.prober = firstFails()
			got := receive(t, b, "HTTP/1.1", path)
			qt.Check(t, got, qt.Equals, received{status: http.StatusOK, framing: carawayspread.FramingClose, end: endFIN, body: whole})
		})
	}
}

// Guards against an answer that counts as complete since the time of its request is over before its endpoint was asked.
func TestAnswerNotCheckedInTimeIsNotComplete(t *testing.T) {
	const timeout = time.Second
	for _, path := range uploadPaths {
		t.Run(path, func(t *testing.T) {
			head, sent := "Connection: close\r\n", wholeBody[:9]
			if isStreamPath(path) {
				sent = wholeStream[:40]
			}
			b, arrived := uploadHarness(t, head, sent, func(_ *net.TCPConn, upload io.Reader) {
				_, _ = io.Copy(io.Discard, upload)
				time.Sleep(timeout - checkDelay/2)
			})
			b.adopt(4, timeout)
			got := receive(t, b, "HTTP/1.1", path)
			qt.Check(t, arrived.Load(), qt.Equals, int32(1))
			qt.Check(t, got.status == http.StatusGatewayTimeout || got.end == endReset, qt.IsTrue, qt.Commentf("%+v", got))
		})
	}
}
