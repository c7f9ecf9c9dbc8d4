package main

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// link is a network path that can be cut: bytes are then dropped in both directions and connections
// stay open, as when a switch fails.
type link struct {
	address string
	cut     atomic.Bool
}

func newLink(t testing.TB, to string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	l := &link{address: listener.Addr().String()}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to)
			if err != nil {
				_ = client.Close()
				continue
			}
			go l.copy(server, client)
			go l.copy(client, server)
		}
	}()
	return l
}

func (l *link) copy(to, from net.Conn) {
	_, _ = io.Copy(lossy{link: l, to: to}, from)
	if !l.cut.Load() {
		_ = to.Close()
		_ = from.Close()
	}
}

type lossy struct {
	link *link
	to   net.Conn
}

func (w lossy) Write(p []byte) (int, error) {
	if w.link.cut.Load() {
		return len(p), nil
	}
	return w.to.Write(p)
}

// insertLink puts a link between the entries and a sidecar.
func (f *fleet) insertLink(sidecar *process) *link {
	l := newLink(f.t, sidecar.row.Address)
	row := sidecar.row
	row.Address = l.address
	f.list.Put(row)
	return l
}
