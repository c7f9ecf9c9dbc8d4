package fleet

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/standin/raw"
)

// Guards against an entry that runs out of memory as an operator asks for the state of the fleet: something else runs
// at an address, and sends bytes without end.
func TestAnswerWithoutEndOfAnInstanceIsNotHeld(t *testing.T) {
	const tooMany = 256 << 20
	for name, head := range map[string]string{
		"a head":           "HTTP/1.1 200 OK\r\nX-More: ",
		"chunks":           "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n\r\n",
		"a long body":      "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 9000000000\r\n\r\n",
		"a long error":     "HTTP/1.1 500 X\r\nContent-Type: application/json\r\nContent-Length: 9000000000\r\n\r\n",
		"an unframed body": "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			part := append(append([]byte("10000\r\n"), make([]byte, 64<<10)...), "\r\n"...)
			other, err := raw.New(func(conn *net.TCPConn, _ *http.Request) {
				_, err := conn.Write([]byte(head))
				for n := 0; err == nil && sent.Load() < tooMany; sent.Add(int64(n)) {
					n, err = conn.Write(part)
				}
			})
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(other.Close)
			f := New(func(context.Context) ([]carawayspread.Instance, error) {
				return []carawayspread.Instance{{ID: "sidecar-1", Control: other.Address()}}, nil
			}, Dial)
			states, err := f.Status(context.Background(), 1)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, states[0].Answered, qt.IsFalse)
			// Buffers of sockets take some.
			qt.Check(t, sent.Load() < 16<<20, qt.IsTrue, qt.Commentf("%d MB", sent.Load()>>20))
		})
	}
}
