// Package caller is a stand-in for the callers of a gateway. It reuses connections and never retries
// a request by itself.
package caller

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Kind is a kind of route.
type Kind string

// Kinds. The value is also the beginning of the path of its requests.
const (
	Safe   Kind = "lookup"
	Unsafe Kind = "order"
	Stream Kind = "stream"
	Once   Kind = "once/stream" // a stream that must not run twice
)

// Streams reports whether the answers are streams.
func (k Kind) Streams() bool { return k == Stream || k == Once }

const (
	// requestTimeout exceeds the timeouts of all routes, so that the gateway's own timeout comes first.
	requestTimeout = 10 * time.Second
	dialTimeout    = time.Second // the connect timeout of the platform's callers
	// tokenCount has the number of prompt tokens and the maximum number of output tokens of a stream
	// request.
	tokenCount = "900,20"
	// firstPart and commonPart are parts of the prompts of all streams, but for those that state another
	// second part. The last part is the request's own.
	firstPart  = "aa"
	commonPart = "bb"
)

// Answer is the result of one request.
type Answer struct {
	ID              string
	Kind            Kind
	SentAt, EndedAt time.Time
	Status          int // zero without a response
	Seal            string
	HasRetryAfter   bool // the response has Retry-After
	ServerLeaving   bool // the worker announces that it is leaving
	HasServerLimit  bool // the worker reports its rate limit
	Unframed        bool // the response has neither a length nor chunks
	Body            string
	Part            string // the second part of the prompt of a stream, if it is not the common one
	Resumes         string // the attempt that began the stream which this one takes up; empty if none
	After           int    // the last event that the caller had
	Unnamed         bool   // the request did not name the attempt that it resumes
	Pace            Pace
	Err             error // why there is no response, or why its body is incomplete
}

// Connected reports whether any part of the request may have been sent.
func (a Answer) Connected() bool {
	var op *net.OpError
	return !errors.As(a.Err, &op) || op.Op != "dial"
}

// Caller sends requests to one gateway.
type Caller struct {
	address string
	client  *http.Client
}

// New returns a caller of the gateway at address, an IP address and port.
func New(address string) *Caller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Caller{address: address, client: &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}, Timeout: requestTimeout,
	}}
}

// Send sends one request and waits for the complete answer.
func (c *Caller) Send(ctx context.Context, kind Kind, id string) Answer {
	return c.SendBody(ctx, kind, id, id)
}

// SendBody is Send with a body that other requests may have too. Safe requests have none.
func (c *Caller) SendBody(ctx context.Context, kind Kind, id, text string) Answer {
	a := Answer{ID: id, Kind: kind, SentAt: time.Now()}
	a.Err = c.send(ctx, &a, text)
	a.EndedAt = time.Now()
	return a
}

// SendPart sends a stream request whose prompt has this second part.
func (c *Caller) SendPart(ctx context.Context, id, part string) Answer {
	a := Answer{ID: id, Kind: Stream, Part: part, SentAt: time.Now()}
	a.Err = c.send(ctx, &a, id)
	a.EndedAt = time.Now()
	return a
}

// unnamedShare is the reciprocal of the share of streams that are taken up without a word of which they are.
const unnamedShare = 4

// Resume takes up a stream that broke, under a new id. tries are the attempts so far, the first one first. Some
// callers do not name it.
func (c *Caller) Resume(ctx context.Context, id string, tries []Answer) Answer {
	a := Answer{ID: id, Kind: Stream, Resumes: tries[0].ID, SentAt: time.Now()}
	a.Unnamed = crc32.ChecksumIEEE([]byte(id))%unnamedShare == 0
	for _, try := range tries {
		a.After = max(a.After, try.LastEvent())
	}
	a.Err = c.send(ctx, &a, tries[0].ID)
	a.EndedAt = time.Now()
	return a
}

// LastEvent returns the number of the last complete event of a stream; zero if there is none.
func (a Answer) LastEvent() int {
	last := 0
	whole := a.Body[:max(0, strings.LastIndex(a.Body, "\n\n"))]
	for event := range strings.SplitSeq(whole, "\n\n") {
		if text, ok := strings.CutPrefix(event, "id: "); ok && strings.Contains(event, "data: ") {
			number, _, _ := strings.Cut(text, "\n")
			if n, err := strconv.Atoi(number); err == nil {
				last = n
			}
		}
	}
	return last
}

func (c *Caller) send(ctx context.Context, a *Answer, text string) error {
	method, body := http.MethodPost, io.Reader(strings.NewReader(text))
	if a.Kind == Safe {
		method, body = http.MethodGet, nil
	}
	if a.Pace.Body > 0 {
		method, body = http.MethodPost, &pacedReader{text: text, pause: a.Pace.Body / time.Duration(len(text))}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+"/"+string(a.Kind)+"/x", body)
	if err != nil {
		return err
	}
	if body != nil {
		req.ContentLength = int64(len(text))
	}
	if a.Pace.Left > 0 {
		req.Header.Set("Carawayspread-Deadline-Ms", strconv.FormatInt(a.Pace.Left.Milliseconds(), 10))
	}
	req.GetBody = nil // net/http retries a request whose body it can rewind
	req.Host = "a.example"
	req.Header.Set("Carawayspread-Request-Id", a.ID)
	if a.Kind.Streams() {
		req.Header.Set("Carawayspread-Token-Count", tokenCount)
		req.Header.Set("Carawayspread-Prefix-Hash", fmt.Sprintf("%s:300,%s:300,%x:300", firstPart, cmp.Or(a.Part, commonPart), crc32.ChecksumIEEE([]byte(text))))
	}
	if a.Resumes != "" {
		if !a.Unnamed {
			req.Header.Set("Resumes", a.Resumes)
		}
		req.Header.Set("Last-Event-Id", strconv.Itoa(a.After))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status, a.Seal, a.HasRetryAfter = resp.StatusCode, resp.Header.Get("Carawayspread-Server-Seal"), resp.Header.Get("Retry-After") != ""
	a.ServerLeaving, a.HasServerLimit = resp.Header.Get("Server-Leaving") != "", resp.Header.Get("Server-Limit") != ""
	a.Unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if a.Pace.Events > 0 && a.Status == http.StatusOK {
		a.Body, err = readEvents(resp.Body, a.Pace.Events)
		return err
	}
	answer, err := io.ReadAll(resp.Body)
	a.Body = string(answer)
	return err
}
