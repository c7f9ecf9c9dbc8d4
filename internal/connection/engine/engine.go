// Package engine is the client of a model engine's control protocol: orders and state, as JSON over
// HTTP.
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

const maxStateBytes = 1 << 20 // longer answers are cut off

// Client is a carawayspread.Engine that is reached over HTTP.
type Client struct {
	base string // scheme, IP address and port
	http *http.Client
}

var _ carawayspread.Engine = (*Client)(nil)

// New returns the client of the engine at an IP address and port.
func New(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client}
}

// Order sends one order and returns the state of the engine after it. The outcome of an order whose
// answer did not arrive is unknown.
func (c *Client) Order(ctx context.Context, order carawayspread.Order) (carawayspread.EngineState, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return carawayspread.EngineState{}, trace.Wrap(err)
	}
	return c.call(ctx, http.MethodPost, "/orders", body)
}

// State reads the state that the engine reports.
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
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
