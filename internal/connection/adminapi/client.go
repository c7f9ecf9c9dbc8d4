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

const maxAnswerBytes = 64 << 20

// Client calls the administration API of one entry. It sends each request once.
type Client struct {
	base  string // URL before Prefix
	actor string
	http  *http.Client
}

// NewClient returns a client of the API at a base URL such as http://127.0.0.1:8081 that sends
// requests on behalf of an actor.
func NewClient(base, actor string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), actor: actor, http: client}
}

// Do sends one request and decodes the answer into result. Every failure, a Fault of the server
// among them, is returned as *RemoteError.
func (c *Client) Do(ctx context.Context, method, path string, query url.Values, body []byte, result any) error {
	target := c.base + Prefix + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return clientError(carawayspread.CodeMalformed, err.Error(), err)
	}
	r.Header.Set(HeaderActor, c.actor)
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return transportError(method, err)
	}
	defer resp.Body.Close()
	return decode(method, resp, result)
}

func decode(method string, resp *http.Response, result any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return transportError(method, err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, result); err != nil {
			return transportError(method, err)
		}
		return nil
	}
	var fault Fault
	if err := json.Unmarshal(body, &fault); err != nil || fault.Error.Code == "" {
		return transportError(method, fmt.Errorf("status %s without an error code in the body", resp.Status))
	}
	return &RemoteError{fault: fault.Error}
}

// transportError distinguishes a request that was never sent from one whose answer is missing. Of
// requests other than GET, only one that was never sent provably had no effect.
func transportError(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return clientError(carawayspread.CodeNoEndpoint, "the administration API cannot be reached; nothing was sent", err)
	}
	if method == http.MethodGet {
		return clientError(carawayspread.CodeIncomplete, "the answer was lost; ask again", err)
	}
	return clientError(carawayspread.CodeUnknownOutcome,
		"the answer was lost and the request may have taken effect; look at 'config history' and 'audit'", err)
}

func clientError(code carawayspread.Code, message string, cause error) error {
	notRun := code != carawayspread.CodeUnknownOutcome
	return &RemoteError{fault: FaultDetail{Code: code, Message: message, NotRun: notRun}, cause: cause}
}

// RemoteError is a failed call.
type RemoteError struct {
	fault FaultDetail
	cause error // of a call without a valid answer; nil otherwise
}

// Fault returns the error that the server sent or, without a valid answer, the one that the client
// derived from the failure.
func (e *RemoteError) Fault() FaultDetail { return e.fault }

// Unwrap returns the underlying error.
func (e *RemoteError) Unwrap() error { return e.cause }

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s: %s", e.fault.Code, e.fault.Message)
}
