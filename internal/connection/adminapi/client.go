package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"carawayspread"
)

const maxAnswer = 64 << 20

// Client calls the administration API of one entry. It sends each request once.
type Client struct {
	base  string // URL before Prefix
	actor string
	http  *http.Client
}

// NewClient returns a client of the API at a base URL such as
// http://127.0.0.1:8081, on behalf of an actor.
func NewClient(base, actor string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), actor: actor, http: client}
}

// Do sends one request and decodes the answer into into. A Fault of the server
// is returned as *RemoteError.
func (c *Client) Do(ctx context.Context, method, path string, query url.Values, body []byte, into any) error {
	target := c.base + Prefix + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return local(carawayspread.CodeMalformed, err.Error(), err)
	}
	r.Header.Set(HeaderActor, c.actor)
	r.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(r)
	if err != nil {
		return lost(method, err)
	}
	defer answer.Body.Close()
	return decode(method, answer, into)
}

func decode(method string, answer *http.Response, into any) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return lost(method, err)
	}
	if answer.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, into); err != nil {
			return lost(method, err)
		}
		return nil
	}
	var fault Fault
	if err := json.Unmarshal(body, &fault); err != nil || fault.Error.Code == "" {
		return lost(method, fmt.Errorf("status %s without a typed error", answer.Status))
	}
	return &RemoteError{fault: fault.Error}
}

// lost tells a request that was never sent from one whose answer is missing:
// only the former is proved to have had no effect.
func lost(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return local(carawayspread.CodeNoEndpoint, "the administration API cannot be reached; nothing was sent", err)
	}
	if method == http.MethodGet {
		return local(carawayspread.CodeIncomplete, "the answer was lost; ask again", err)
	}
	return local(carawayspread.CodeUnknownOutcome,
		"the answer was lost and the request may have taken effect; look at 'config history' and 'audit'", err)
}

func local(code carawayspread.Code, message string, cause error) error {
	notRun := code != carawayspread.CodeUnknownOutcome
	return &RemoteError{fault: FaultDetail{Code: code, Message: message, NotRun: notRun}, cause: cause}
}

// RemoteError is a failed call.
type RemoteError struct {
	fault FaultDetail
	cause error // of a call that got no answer; nil otherwise
}

// Fault returns what the server said, or what the client makes of the lack of
// an answer.
func (e *RemoteError) Fault() FaultDetail { return e.fault }

// Unwrap returns the underlying error.
func (e *RemoteError) Unwrap() error { return e.cause }

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s: %s", e.fault.Code, e.fault.Message)
}
