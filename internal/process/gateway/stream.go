package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"carawayspread"
	"carawayspread/internal/connection/openai"
	"carawayspread/internal/request/readahead"
)

var idField = []byte("id:")

// eventID returns the identifier of an event; empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// relayStream relays an answer event by event. An incomplete event at the end of a broken answer
// never reaches the caller.
func (c *call) relayStream(ctx context.Context, reply *carawayspread.Reply, at carawayspread.Endpoint, tracker carawayspread.AttemptTracker) (carawayspread.Outcome, error) {
	ahead := readahead.New(reply.Body, c.g.readAhead)
	defer func() { _ = ahead.Close() }()
	defer func() { _ = reply.Body.Close() }()
	body := &boundedBody{Reader: ahead, left: c.maxStreamBytes(reply)}
	memory := heldMemory{c.g}
	events := openai.NewEvents(body, openai.WithMemory(memory))
	defer events.Close()
	var early []byte // comments before the first event
	defer func() { memory.Release(len(early)) }()
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
		if !c.started {
			c.started, c.status = true, reply.Status
			c.countUsage(0)
			c.beginStream(at)
			c.timeToFirstEvent = c.g.clock.Now().Sub(c.arrived)
			c.sendHeader(reply, -1)
		}
		if openai.IsEvent(event) {
			c.recordEvent(event, tracker)
			c.offerMove(ctx, reply, at)
		}
		if err := c.writeEvent(event, ahead); err != nil {
			return carawayspread.OutcomeCancelled, err
		}
	}
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
func (c *call) recordEvent(event []byte, tracker carawayspread.AttemptTracker) {
	now := c.g.clock.Now()
	if !c.lastEventAt.IsZero() {
		tracker.Event()
		c.maxEventGap = max(c.maxEventGap, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	tracker.Answered()
	if id := eventID(event); id != "" {
		c.lastEventID = id
	}
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
	if err == nil && !c.started {
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
