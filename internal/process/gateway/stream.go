package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"

	"carawayspread"
	"carawayspread/internal/connection/openai"
	"carawayspread/internal/decision/eventorder"
	"carawayspread/internal/process/decisionlog"
	"carawayspread/internal/request/readahead"
)

// eventID returns the identifier of an event as callers read it; empty if it has none.
func eventID(event []byte) string {
	var id []byte
	for line := range bytes.FieldsFuncSeq(event, isLineEnd) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if string(name) == "id" && bytes.IndexByte(value, 0) < 0 {
			id = bytes.TrimSpace(value)
		}
	}
	return string(id)
}

func isLineEnd(r rune) bool { return r == '\r' || r == '\n' }

const eventStreamType = "text/event-stream"

// isStream reports whether an answer is relayed event by event.
func (c *call) isStream(reply *carawayspread.Reply) bool {
	return c.route.Stream && (reply.Status == http.StatusOK || carawayspread.Succeeded(reply.Status) && mediaType(reply.Header) == eventStreamType)
}

// mediaType returns the type of a body; empty if none is stated.
func mediaType(h http.Header) string {
	stated, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return stated
}

// relayStream relays an answer event by event. An incomplete event at the end of a broken answer
// never reaches the caller.
func (c *call) relayStream(ctx context.Context, reply *carawayspread.Reply, at carawayspread.Endpoint, tracker carawayspread.AttemptTracker) (carawayspread.Outcome, error) {
	ahead := readahead.New(reply.Body, c.g.readAhead)
	defer func() { _ = ahead.Close() }()
	defer func() { _ = reply.Body.Close() }()
	if err := c.checkType(reply); err != nil {
		return carawayspread.OutcomeFailed, err
	}
	body := &boundedBody{Reader: ahead, left: c.maxStreamBytes(reply)}
	memory := heldMemory{c.g}
	events := openai.NewEvents(body, openai.WithMemory(memory))
	defer events.Close()
	var early []byte // comments before the first event
	defer func() { memory.Release(len(early)) }()
	if c.order.Last() != "" {
		c.order.Join()
		defer c.countContinuation()
	}
	for {
		event, err := events.Next()
		if err != nil {
			return c.endStream(ctx, reply, at, events.Rest(), err)
		}
		if !c.started && !openai.IsEvent(event) {
			if !memory.Take(len(event)) {
				return c.endStream(ctx, reply, at, 0, carawayspread.ErrNoMemory)
			}
			early = append(early, event...)
			continue
		}
		if len(early) > 0 {
			memory.Release(len(early))
			event, early = append(early, event...), nil
		}
		if openai.IsEvent(event) {
			if err := c.checkOrder(event, at); err != nil {
				return carawayspread.OutcomeFailed, err
			}
		}
		if !c.started {
			c.started, c.status = true, reply.Status
			c.countUsage(0)
			c.beginStream(at)
			c.timeToFirstEvent = c.g.clock.Now().Sub(c.arrived)
			c.sendHeader(reply, -1)
		}
		if openai.IsEvent(event) {
			c.recordEvent(tracker)
			c.offerMove(ctx, reply, at)
		}
		if err := c.writeEvent(event, ahead); err != nil {
			return carawayspread.OutcomeCancelled, err
		}
	}
}

// checkType returns an error if an answer is to continue a stream and is of another type.
func (c *call) checkType(reply *carawayspread.Reply) error {
	begun, next := mediaType(c.w.Header()), mediaType(reply.Header)
	if !c.started || begun == "" || next == "" || begun == next {
		return nil
	}
	return errors.Join(errIncomplete, fmt.Errorf("an answer of type %q continues none of type %q", next, begun))
}

// checkOrder returns an error if an event does not follow the last one that the caller has, and takes it for
// the last one otherwise.
func (c *call) checkOrder(event []byte, at carawayspread.Endpoint) error {
	id, after := eventID(event), c.order.Last()
	if c.verdict = c.order.Judge(id); c.verdict == eventorder.Follows {
		if id != "" || openai.Data(event) != nil {
			c.order.Take(id)
		}
		return nil
	}
	c.g.log.Write(decisionlog.Start("order").Text("id", c.metadata.ID).Text("endpoint", string(at.ID())).
		Text("event", id).Text("after", after).Text("verdict", c.verdict.String()))
	c.g.checkAbandoned(at, c.broken())
	return errors.Join(errIncomplete, eventorder.OutOfOrderError{Verdict: c.verdict, ID: id, After: after})
}

// countContinuation counts how the events followed of an answer that continues a stream.
func (c *call) countContinuation() {
	c.g.set.GetOrCreateCounter(`gateway_continuations_total{order="` + c.verdict.String() + `"}`).Inc()
	c.verdict = eventorder.Follows
}

// writeEvent sends an event to the caller. The answer is read ahead while its caller does not take it.
func (c *call) writeEvent(event []byte, ahead *readahead.Reader) error {
	ahead.BeginWrite()
	defer ahead.EndWrite()
	if _, err := c.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// recordEvent records the arrival of an event.
func (c *call) recordEvent(tracker carawayspread.AttemptTracker) {
	now := c.g.clock.Now()
	if !c.lastEventAt.IsZero() {
		tracker.Event()
		c.maxEventGap = max(c.maxEventGap, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	tracker.Answered()
	c.events++
	c.heard.Store(int64(c.events))
}

// endStream returns how an answer ended whose reader returned err, rest bytes behind its last complete
// event. Where its framing does not prove that no event is missing, it ends as one that another
// endpoint may resume, unless the caller's answer is framed in the same way.
func (c *call) endStream(ctx context.Context, reply *carawayspread.Reply, at carawayspread.Endpoint, rest int, err error) (carawayspread.Outcome, error) {
	if errors.Is(err, io.EOF) {
		err = c.checkEnd(ctx, reply, at)
	}
	if err == nil && (!c.started || c.metadata.LastEventID == "" && c.events < c.made) {
		err = io.ErrUnexpectedEOF
	}
	c.recordEnd(reply, rest, err)
	switch {
	case isEndless(err):
		return c.rejectEndless(at, err)
	case errors.Is(err, carawayspread.ErrNoMemory): // the endpoint runs
		return carawayspread.OutcomeFailed, errors.Join(errIncomplete, err)
	case err != nil:
		return carawayspread.OutcomeFailed, brokenOffError{err}
	case reply.Framing == carawayspread.FramingClose && c.framing != carawayspread.FramingClose:
		return carawayspread.OutcomeFailed, errUnmarkedEnd
	}
	return carawayspread.OutcomeServed, nil
}
