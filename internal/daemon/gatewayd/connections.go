package gatewayd

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// connections follows the connections of callers. It is safe for concurrent use.
//
// The state of a connection changes when an answer has been written, which is later than
// the end of the handler that made it.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState // of those that are open
}

func newConnections() *connections { return &connections{states: map[net.Conn]http.ConnState{}} }

// changed is the ConnState of an http.Server.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.states, conn)
	default:
		c.states[conn] = state
	}
}

// open returns how many connections there are.
func (c *connections) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.states)
}

// answering returns how many connections have a request without its whole answer.
func (c *connections) answering() int { return c.count(http.StateActive) }

// owed returns how many connections have, or had no time to send, a request without its
// whole answer.
func (c *connections) owed() int { return c.count(http.StateNew, http.StateActive) }

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
