package gateway

import (
	"errors"
	"io"
	"math"
	"net/http"

	"carawayspread"
)

const (
	// maxUnboundedBytes bounds a body without a stated length, and maxErrorBytes that of an error.
	maxUnboundedBytes = 64 << 20
	maxErrorBytes     = 1 << 20
	// baseStreamBytes and bytesPerToken bound a stream, by the tokens that its request allows. An event has
	// a few hundred bytes.
	baseStreamBytes = 1 << 20
	bytesPerToken   = 4 << 10
	// freeHeadBytes is the part of a header that counts towards the memory of its connection.
	freeHeadBytes = 4 << 10
)

// boundedBody returns carawayspread.ErrEndless once more bytes have been read than an answer may have.
//
// An endpoint may write without end until its caller closes the connection. Relayed, that takes the
// processor, the link and the memory of this process until the time of each such request is over.
type boundedBody struct {
	io.Reader
	left int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, carawayspread.ErrEndless
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// Close closes the body.
func (b *boundedBody) Close() error {
	if closer, ok := b.Reader.(io.Closer); ok {
		return closer.Close()
	}
	return nil
}

// maxBodyBytes returns the bound of a body without a stated length.
func maxBodyBytes(status int) int64 {
	if status >= http.StatusBadRequest {
		return maxErrorBytes
	}
	return maxUnboundedBytes
}

// maxStreamBytes returns the bound of a stream.
func (c *call) maxStreamBytes(reply *carawayspread.Reply) int64 {
	switch prompt := c.metadata.Prompt; {
	case reply.Length >= 0:
		return math.MaxInt64 // it is bounded
	case prompt != nil && prompt.MaxOutputTokens > 0:
		return baseStreamBytes + int64(prompt.MaxOutputTokens)*bytesPerToken
	}
	return maxUnboundedBytes
}

func isEndless(err error) bool { return errors.Is(err, carawayspread.ErrEndless) }

// rejectEndless gives up an answer without end. The endpoint is at fault and gets no requests for a while;
// it has not crashed, so that the request and the parts of its prompt are no suspects.
func (c *call) rejectEndless(at carawayspread.Endpoint, err error) (carawayspread.Outcome, error) {
	c.g.placer.MarkStale(at.ID())
	c.g.set.GetOrCreateCounter(`gateway_endless_answers_total`).Inc()
	return carawayspread.OutcomeFailed, errors.Join(errIncomplete, err)
}

// hold reads a body into memory, and reports whether that is all of it. It stops at maxHeldBytes, and where
// all answers together take too much. The bytes must be released.
func (g *Gateway) hold(r io.Reader) (body []byte, whole bool, err error) {
	for len(body) <= maxHeldBytes && (len(body) == 0 || g.held.Load() <= g.maxAllHeld) {
		if len(body) == cap(body) {
			body = append(body, make([]byte, copyBytes)...)[:len(body)]
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		g.held.Add(int64(n))
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return body, false, err
		}
	}
	return body, false, nil
}

func (g *Gateway) release(body []byte) { g.held.Add(-int64(len(body))) }

// takeHead takes the memory of a header until the request is over; false if there is none.
func (c *call) takeHead(reply *carawayspread.Reply) bool {
	n := max(0, reply.HeadBytes()-freeHeadBytes)
	if n > 0 && !(heldMemory{c.g}).Take(n) {
		return false
	}
	c.headBytes += n
	return true
}

// heldMemory is the memory for what the gateway holds of answers, as a carawayspread.MemoryBudget.
type heldMemory struct{ *Gateway }

func (m heldMemory) Take(n int) bool {
	if m.held.Add(int64(n)) <= m.maxAllHeld {
		return true
	}
	m.Release(n)
	return false
}

func (m heldMemory) Release(n int) { m.held.Add(-int64(n)) }
