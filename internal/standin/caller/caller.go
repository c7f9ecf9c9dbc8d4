// Package caller is a stand-in of the users' callers: it asks a gateway on
// connections that it keeps, and never sends a request twice by itself.
package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Kind is a kind of route.
type Kind string

// Kinds. Each is also how the paths of its requests begin.
const (
	Safe   Kind = "lookup"
	Unsafe Kind = "order"
	Stream Kind = "stream"
)

const (
	// patience exceeds what every route allows: the gateway has to answer before.
	patience = 10 * time.Second
	dialTime = time.Second // as callers of the platform wait for a connection
	// promptTokens are those of each stream's prompt and the most of its answer.
	promptTokens = "900,20"
)

// Answer is what a caller got.
type Answer struct {
	ID              string
	Kind            Kind
	SentAt, EndedAt time.Time
	Status          int // zero where no answer began
	Seal            string
	HasRetryAfter   bool // it is told when
	ServerLeaving   bool // the worker says that it leaves
	HasServerLimit  bool // the worker names the rate that it takes
	Body            string
	Err             error // why no answer began, or why it broke off
}

// Connected reports whether anything of the request can have been sent.
func (a Answer) Connected() bool {
	var op *net.OpError
	return !errors.As(a.Err, &op) || op.Op != "dial"
}

// Caller asks one gateway.
type Caller struct {
	address string
	client  *http.Client
}

// New returns a caller of the gateway at IP number and port.
func New(address string) *Caller {
	dialer := &net.Dialer{Timeout: dialTime}
	return &Caller{address: address, client: &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}, Timeout: patience,
	}}
}

// Send sends one request and waits for its answer.
func (c *Caller) Send(ctx context.Context, kind Kind, id string) Answer {
	a := Answer{ID: id, Kind: kind, SentAt: time.Now()}
	a.Err = c.ask(ctx, &a)
	a.EndedAt = time.Now()
	return a
}

func (c *Caller) ask(ctx context.Context, a *Answer) error {
	method, body := http.MethodPost, io.Reader(strings.NewReader(a.ID))
	if a.Kind == Safe {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+"/"+string(a.Kind)+"/x", body)
	if err != nil {
		return err
	}
	req.GetBody = nil // net/http sends again what it can rewind
	req.Host = "a.example"
	req.Header.Set("Carawayspread-Request-Id", a.ID)
	if a.Kind == Stream {
		req.Header.Set("Carawayspread-Token-Count", promptTokens)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status, a.Seal, a.HasRetryAfter = resp.StatusCode, resp.Header.Get("Carawayspread-Server-Seal"), resp.Header.Get("Retry-After") != ""
	a.ServerLeaving, a.HasServerLimit = resp.Header.Get("Server-Leaving") != "", resp.Header.Get("Server-Limit") != ""
	text, err := io.ReadAll(resp.Body)
	a.Body = string(text)
	return err
}
