package server_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/connection/callers"
	"carawayspread/internal/daemon/server"
)

// A daemon is killed while it passes on an answer that ends with its connection, which the kernel closes in order.
func TestConnectionOfALostServerIsReset(t *testing.T) {
	s, err := server.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := callers.ResetOnLoss(r.Context())
		qt.Check(t, err, qt.IsNil)
		conn, _, err := http.NewResponseController(w).Hijack()
		qt.Check(t, err, qt.IsNil)
		_ = conn.Close() // as the kernel does
	}))
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = s.Run() }()
	defer func() { _ = s.Shutdown(t.Context()) }()
	conn, err := net.Dial("tcp", s.Address())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadAll(conn)
	qt.Assert(t, errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}
