package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/callers"
)

const (
	// maxHeldBytes bounds the part of an answer that is held in memory until the answer is complete, and
	// defaultHeldBytes that of all answers where the memory of the process is not known.
	maxHeldBytes     = 8 << 20
	defaultHeldBytes = 48 << 20
	// defaultReadAheadBytes bounds what is read ahead of streams where the memory of the process is not known.
	defaultReadAheadBytes = 8 << 20
	// heldShare and readAheadShare are the parts of the memory of the process that these may take, beside those
	// of connections and requests.
	heldShare      = 0.1
	readAheadShare = 0.05
	// copyBytes is the size of the buffer for the rest of a longer answer.
	copyBytes = 32 << 10
)

// relayBuffered relays an answer once it is complete, so that one that breaks off can be tried again.
// An answer of more than maxHeldBytes is relayed as it arrives.
func (c *call) relayBuffered(ctx context.Context, reply *carawayspread.Reply, at carawayspread.Endpoint, tracker carawayspread.AttemptTracker, sentAt time.Time) (carawayspread.Outcome, error) {
	defer func() { _ = reply.Body.Close() }()
	if reply.Length < 0 {
		reply.Body = &boundedBody{Reader: reply.Body, left: maxBodyBytes(reply.Status)}
	}
	body, whole, err := c.g.hold(reply.Body)
	defer c.g.release(body)
	if isEndless(err) {
		return c.rejectEndless(at, err)
	}
	held := whole || err != nil
	if held {
		if err := c.endBody(ctx, reply, at, err); err != nil {
			return carawayspread.OutcomeFailed, err
		}
	}
	tracker.Answered()
	c.countUsage(c.g.clock.Now().Sub(sentAt))
	outcome := carawayspread.OutcomeServed
	if reply.Status >= http.StatusInternalServerError {
		outcome = carawayspread.OutcomeFailed
		if c.route.Retry == carawayspread.RetryIdempotent && c.mayRetry() && c.spendRetry(ctx) {
			return outcome, errServerError
		}
	}
	if c.started {
		return carawayspread.OutcomeFailed, errIncomplete // no second answer within a stream
	}
	c.started, c.status = true, reply.Status
	c.timeToFirstEvent = c.g.clock.Now().Sub(c.arrived)
	length := int64(len(body))
	if !held {
		length = reply.Length
	}
	c.sendHeader(reply, length)
	_, _ = c.w.Write(body)
	if held {
		return outcome, nil
	}
	if err := c.relayRest(ctx, reply, at); isEndless(err) {
		return c.rejectEndless(at, err)
	} else if err != nil {
		return outcome, err
	}
	return outcome, nil
}

// relayRest relays what has not arrived yet of an answer whose beginning was sent.
func (c *call) relayRest(ctx context.Context, reply *carawayspread.Reply, at carawayspread.Endpoint) error {
	buffer := make([]byte, copyBytes)
	for {
		n, err := reply.Body.Read(buffer)
		if _, err := c.w.Write(buffer[:n]); err != nil {
			return err
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.endBody(ctx, reply, at, nil)
		case isEndless(err):
			return err
		case err != nil:
			return c.endBody(ctx, reply, at, err)
		}
	}
}

// endBody returns nil if nothing shows that an answer was broken off whose reader returned err.
func (c *call) endBody(ctx context.Context, reply *carawayspread.Reply, at carawayspread.Endpoint, err error) error {
	if err == nil {
		err = c.checkEnd(ctx, reply, at)
	}
	c.recordEnd(reply, 0, err)
	if err != nil {
		return brokenOffError{err}
	}
	return nil
}

// sendHeader sends the header of an answer with a body of that length in bytes; -1 if unknown. Its
// framing proves no more than that of the endpoint's answer: one that ends with its connection is
// passed on as such.
func (c *call) sendHeader(reply *carawayspread.Reply, length int64) {
	c.copyHeader(reply)
	h := c.w.Header()
	if c.r.Method == http.MethodHead {
		length = reply.Length // of the body that is not sent
	}
	switch {
	case reply.Framing == carawayspread.FramingClose:
		c.framing = carawayspread.FramingClose
		c.resetOnLoss()
		h.Set("Transfer-Encoding", "identity") // net/http sends neither chunks nor a length
	case length >= 0:
		c.framing = carawayspread.FramingLength
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	case !c.r.ProtoAtLeast(1, 1):
		c.framing = carawayspread.FramingClose
		c.resetOnLoss()
	}
	c.w.WriteHeader(reply.Status)
}

// resetOnLoss has the connection to the caller reset if this process is lost before the answer, which
// ends with its connection, is complete.
func (c *call) resetOnLoss() {
	complete, err := callers.ResetOnLoss(c.r.Context())
	if err != nil {
		c.line.Text("linger", err.Error())
	}
	c.complete = complete
}

// markComplete lets the connection to the caller end in order.
func (c *call) markComplete() {
	if c.complete == nil {
		return
	}
	_ = http.NewResponseController(c.w).Flush() // an error shows at the caller
	c.complete()
}
