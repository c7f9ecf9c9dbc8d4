// Package engine speaks the order protocol of a model engine: orders and
// state, as JSON over HTTP.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"carawayspread"
)

const stateLimit = 1 << 20 // bytes of a state that are read

// Client is a carawayspread.Engine at an address.
type Client struct {
	base string // scheme, IP number and port
	http *http.Client
}

var _ carawayspread.Engine = (*Client)(nil)

// New returns the client of the engine at that IP number and port.
func New(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client}
}

// Order carries out one order and returns the state after it. The outcome of
// an order whose answer did not arrive is unknown.
func (c *Client) Order(ctx context.Context, order carawayspread.Order) (carawayspread.EngineState, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return carawayspread.EngineState{}, trace.Wrap(err)
	}
	return c.call(ctx, http.MethodPost, "/orders", body)
}

// State reads the engine's account of itself.
func (c *Client) State(ctx context.Context) (carawayspread.EngineState, error) {
	return c.call(ctx, http.MethodGet, "/state", nil)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) (state carawayspread.EngineState, err error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return state, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return state, trace.ConnectionProblem(err, "engine does not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, stateLimit))
	if err != nil {
		return state, trace.Wrap(err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return state, trace.Wrap(json.Unmarshal(answer, &state))
	case http.StatusPreconditionFailed:
		return state, carawayspread.NewError(carawayspread.CodeStale, "the engine has seen a newer fencing number")
	default:
		return state, trace.BadParameter("engine answers %s", fmt.Sprint(resp.StatusCode))
	}
}
