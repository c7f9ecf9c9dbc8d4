// Package crowd is a stand-in for clients that do not behave: each sends one request that does not end, or
// that is too large, and keeps its connection open. It also reads what a process holds for them.
package crowd

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sendBufferBytes bounds what the kernel holds for a client that the process does not read from.
	sendBufferBytes = 64 << 10
	// quiet is how long a client makes no progress before it counts as done.
	quiet        = time.Second
	settlePoll   = 50 * time.Millisecond
	dialTimeout  = 5 * time.Second
	pieceBytes   = 16 << 10
	chunkBytes   = 64 << 10
	smallBytes   = 8
	overFactor   = 16 // a body over the limit is as many times as long
	headerBytes  = 15 << 10
	trailerBytes = 1 << 20
)

// Target is where the clients send their requests.
type Target struct {
	Address string // IP address and port
	Head    string // request line and headers without those that frame the body, each line with its end; {n} is the client's number
	Limit   int    // of a body, in bytes
}

// Client sends one request on the connection. It returns when all is sent that it sends, or an error of the
// connection.
type Client func(w io.Writer, t Target) error

// Clients are the kinds of clients by name.
var Clients = map[string]Client{
	"length, at once":         func(w io.Writer, t Target) error { return sendLength(w, t, t.Limit, t.Limit-1, t.Limit) },
	"length, piece by piece":  func(w io.Writer, t Target) error { return sendLength(w, t, t.Limit, t.Limit-1, pieceBytes) },
	"a third of the length":   func(w io.Writer, t Target) error { return sendLength(w, t, t.Limit, t.Limit/3, t.Limit) },
	"whole":                   func(w io.Writer, t Target) error { return sendLength(w, t, t.Limit, t.Limit, t.Limit) },
	"announced, nothing sent": func(w io.Writer, t Target) error { return sendLength(w, t, t.Limit, 0, t.Limit) },
	"large chunks":            func(w io.Writer, t Target) error { return sendChunks(w, t, t.Limit-1, chunkBytes, "") },
	"small chunks":            func(w io.Writer, t Target) error { return sendChunks(w, t, t.Limit-1, smallBytes, "") },
	"chunk extensions":        sendExtensions,
	"over the limit, stated": func(w io.Writer, t Target) error {
		return sendLength(w, t, overFactor*t.Limit, overFactor*t.Limit, chunkBytes)
	},
	"over the limit, in parts": func(w io.Writer, t Target) error { return sendChunks(w, t, overFactor*t.Limit, chunkBytes, "") },
	"many headers":             sendHeaders,
	"endless trailer":          sendTrailer,
	"head without an end":      func(w io.Writer, t Target) error { return write(w, t.Head+manyHeaders(headerBytes)) },
	"nothing":                  func(io.Writer, Target) error { return nil },
	"more after the request":   sendMore,
	"idle after an answer":     func(w io.Writer, t Target) error { return sendLength(w, t, 0, 0, 1) },
}

// Mix returns the clients of all kinds, in the order of their names.
func Mix() []Client {
	var all []Client
	for _, name := range slices.Sorted(maps.Keys(Clients)) {
		all = append(all, Clients[name])
	}
	return all
}

// complete are the clients that send a whole request.
var complete = []string{"whole", "idle after an answer", "more after the request"}

// Unfinished returns the clients whose requests are never complete, in the order of their names.
func Unfinished() []Client {
	var all []Client
	for _, name := range slices.Sorted(maps.Keys(Clients)) {
		if !slices.Contains(complete, name) {
			all = append(all, Clients[name])
		}
	}
	return all
}

func write(w io.Writer, text string) error {
	_, err := io.WriteString(w, text)
	return err
}

// sendLength states a length and sends part of the body in pieces.
func sendLength(w io.Writer, t Target, length, sent, piece int) error {
	if err := write(w, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", t.Head, length)); err != nil {
		return err
	}
	for body := strings.Repeat("x", min(piece, sent)); sent > 0; sent -= len(body) {
		body = body[:min(len(body), sent)]
		if err := write(w, body); err != nil {
			return err
		}
	}
	return nil
}

// sendChunks sends a body in chunks, without the last one.
func sendChunks(w io.Writer, t Target, sent, chunk int, extension string) error {
	if err := write(w, t.Head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	one := fmt.Sprintf("%x%s\r\n%s\r\n", chunk, extension, strings.Repeat("x", chunk))
	batch := max(1, chunkBytes/len(one))
	for text := strings.Repeat(one, batch); sent > 0; sent -= batch * chunk {
		if err := write(w, text); err != nil {
			return err
		}
	}
	return nil
}

func sendExtensions(w io.Writer, t Target) error {
	return sendChunks(w, t, t.Limit/64, smallBytes, ";e="+strings.Repeat("x", 1<<10))
}

// manyHeaders returns header lines with as many names as fit in that many bytes.
func manyHeaders(bytes int) string {
	var text strings.Builder
	for n := 0; text.Len() < bytes; n++ {
		fmt.Fprintf(&text, "%x:\r\n", n)
	}
	return text.String()
}

func sendHeaders(w io.Writer, t Target) error {
	t.Head += manyHeaders(headerBytes)
	return sendLength(w, t, 2, 1, 1)
}

func sendTrailer(w io.Writer, t Target) error {
	if err := sendChunks(w, t, chunkBytes, chunkBytes, ""); err != nil {
		return err
	}
	return write(w, "0\r\n"+manyHeaders(trailerBytes))
}

// sendMore sends a whole request and, while it is served, bytes without end.
func sendMore(w io.Writer, t Target) error {
	if err := sendLength(w, t, 1, 1, 1); err != nil {
		return err
	}
	for range overFactor {
		if err := write(w, strings.Repeat("x", t.Limit)); err != nil {
			return err
		}
	}
	return nil
}

// Crowd is a number of clients with their connections.
type Crowd struct {
	mu        sync.Mutex
	conns     []net.Conn
	sent      atomic.Int64
	unsettled atomic.Int64 // clients that have not returned
}

// counted counts the bytes that a client sends.
type counted struct {
	net.Conn
	sent *atomic.Int64
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// Start has n clients connect and send at once; the kinds take turns.
func Start(t Target, n int, kinds ...Client) *Crowd {
	c := &Crowd{}
	c.unsettled.Store(int64(n))
	for i := range n {
		go func() {
			defer c.unsettled.Add(-1)
			conn, err := net.DialTimeout("tcp4", t.Address, dialTimeout)
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetWriteBuffer(sendBufferBytes)
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			own := t
			own.Head = strings.ReplaceAll(t.Head, "{n}", strconv.Itoa(i))
			_ = kinds[i%len(kinds)](counted{conn, &c.sent}, own) // it stays open, refused or not
		}()
	}
	return c
}

// Settle returns when all clients have sent all, or none makes progress any more.
func (c *Crowd) Settle() {
	sent, since := c.sent.Load(), time.Now()
	for c.unsettled.Load() > 0 && time.Since(since) < quiet {
		time.Sleep(settlePoll)
		if now := c.sent.Load(); now != sent {
			sent, since = now, time.Now()
		}
	}
}

// Sent returns how many bytes the clients have sent.
func (c *Crowd) Sent() int64 { return c.sent.Load() }

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
