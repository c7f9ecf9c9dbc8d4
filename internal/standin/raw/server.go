// Package raw is a stand-in for servers whose answers net/http would not write.
package raw

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Server answers each request on a connection of its own, which ends with the answer.
type Server struct {
	listener net.Listener
	unread   bool // requests are answered before their bodies have been read
	answer   func(conn *net.TCPConn, req *http.Request)
	held     []net.Conn // open until the test ends
}

// New starts a server on a loopback address that no other process uses. Others send to addresses of servers
// that they have lost, and a port that was theirs may be the next one to be given out. answer writes an answer to a request whose body has been
// read; the connection is closed after it.
func New(answer func(conn *net.TCPConn, req *http.Request)) (*Server, error) {
	return start(&Server{answer: answer})
}

// unreadBuffer is what the kernel receives for a connection whose request is not read, in bytes.
const unreadBuffer = 8 << 10

// NewUnread starts a server like New, whose answer gets requests before their bodies have been read. Most of a long
// body stays with its sender until answer reads it.
func NewUnread(answer func(conn *net.TCPConn, req *http.Request)) (*Server, error) {
	return start(&Server{unread: true, answer: answer})
}

func start(s *Server) (*Server, error) {
	var config net.ListenConfig
	if s.unread {
		config.Control = boundReceiveBuffers
	}
	var err error
	if s.listener, err = config.Listen(context.Background(), "tcp4", ownAddress()); err != nil {
		return nil, err
	}
	go s.serve()
	return s, nil
}

// boundReceiveBuffers bounds what the kernel receives for each connection of a listener.
func boundReceiveBuffers(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, unreadBuffer) })
	return errors.Join(err, failed)
}

// ownAddress returns a loopback address for this process, with any port.
func ownAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, 1+pid%254)
}

// Address returns the IP address and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening. Open connections go on.
func (s *Server) Close() { _ = s.listener.Close() }

// Hang makes the address answer no connection any more, like a machine that is lost: neither accepted nor refused.
func (s *Server) Hang() error {
	listener := s.listener.(*net.TCPListener)
	if err := listener.SetDeadline(time.Unix(1, 0)); err != nil { // ends serve
		return err
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), 0) }) // room for one connection, which is not accepted
	for range 2 {
		if conn, err := net.DialTimeout("tcp4", s.Address(), 50*time.Millisecond); err == nil {
			s.held = append(s.held, conn)
		}
	}
	return errors.Join(err, failed)
}

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn.(*net.TCPConn))
	}
}

func (s *Server) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !s.unread {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
	s.answer(conn, req)
}
