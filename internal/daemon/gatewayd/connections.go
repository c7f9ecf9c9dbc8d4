package gatewayd

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// connections tracks the states of the callers' connections. It is safe for concurrent use.
//
// A connection becomes idle only when its answer has been written, which is after the handler of the
// request has returned.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState // of the open connections
}

func newConnections() *connections { return &connections{states: map[net.Conn]http.ConnState{}} }

// setState is the ConnState hook of an http.Server.
func (c *connections) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.states, conn)
	default:
		c.states[conn] = state
	}
}

// open returns the number of open connections.
func (c *connections) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.states)
}

// active returns the number of connections with a request that is not completely answered.
func (c *connections) active() int { return c.count(http.StateActive) }

// unanswered returns the number of connections that are active or new. A caller with a new
// connection may have sent a request that was not read yet.
func (c *connections) unanswered() int { return c.count(http.StateNew, http.StateActive) }

func (c *connections) count(states ...http.ConnState) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, state := range c.states {
		if slices.Contains(states, state) {
			n++
		}
	}
	return n
}
