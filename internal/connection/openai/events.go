package openai

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"carawayspread"
)

const (
	readBufferSize = 16 << 10
	maxEventBytes  = 1 << 20
	// maxIdleBytes bounds what a stream may hold between two events: comments and blank lines, which keep
	// the connection open.
	maxIdleBytes = 64 << 10
)

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// ErrInsideEvent means that a stream ended inside an event. Its sender has broken it off.
var ErrInsideEvent = errors.New("the stream ended inside an event")

// Events reads server-sent events one complete event at a time, so that a truncated event is never
// forwarded.
type Events struct {
	r      *bufio.Reader
	event  []byte                     // reused; valid until the next call of Next
	idle   int                        // bytes since the last event that belong to none
	memory carawayspread.MemoryBudget // of events that are longer than a buffer
	taken  int                        // of memory, for event
}

// EventsOption sets an optional part of Events.
type EventsOption func(*Events)

// WithMemory has the bytes of events that are longer than a buffer taken from the budget, until the next event or
// Close.
func WithMemory(memory carawayspread.MemoryBudget) EventsOption {
	return func(e *Events) { e.memory = memory }
}

// NewEvents returns Events that reads from the stream.
func NewEvents(r io.Reader, opts ...EventsOption) *Events {
	e := &Events{r: bufio.NewReaderSize(r, readBufferSize), memory: anyMemory{}}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// anyMemory is a budget without a bound.
type anyMemory struct{}

func (anyMemory) Take(int) bool { return true }
func (anyMemory) Release(int)   {}

// Close releases what was taken of the memory. No event is valid any more.
func (e *Events) Close() {
	if e.taken > 0 {
		e.memory.Release(e.taken)
		e.event, e.taken = nil, 0
	}
}

// add appends to the event. It returns an error if the event is too long, or if there is no memory for it.
func (e *Events) add(p []byte) error {
	size := len(e.event) + len(p)
	if size > maxEventBytes {
		return tooLong("an event of the answer is too long")
	}
	if size > max(cap(e.event), readBufferSize) {
		grown := max(size, 2*cap(e.event))
		if !e.memory.Take(grown - e.taken) {
			return carawayspread.NewError(carawayspread.CodeIncomplete, "an event of the answer is too long for now", carawayspread.CausedBy(carawayspread.ErrNoMemory))
		}
		e.event, e.taken = append(make([]byte, 0, grown), e.event...), grown
	}
	e.event = append(e.event, p...)
	return nil
}

// Rest returns the length in bytes of the incomplete event at the end of the stream, after Next has
// returned an error.
func (e *Events) Rest() int { return len(e.event) }

// Next returns the bytes of the next complete event, including its terminating blank line. They are
// valid until the next call. Comments and blank lines between events, and at the end of the stream, are
// returned in the same way; IsEvent tells them apart. If the stream ends within an event, that event is dropped, and Next returns the error of the
// stream, or ErrInsideEvent if that is io.EOF.
func (e *Events) Next() ([]byte, error) {
	e.Close()
	e.event = e.event[:0]
	lineStart := 0
	for {
		line, err := e.r.ReadSlice('\n') // or the beginning of a long line
		if err := e.add(line); err != nil {
			return nil, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return e.last()
		}
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimRight(e.event[lineStart:], "\r\n")) == 0 {
			return e.complete()
		}
		lineStart = len(e.event)
	}
}

// complete returns the bytes up to a blank line, unless too many belong to no event.
func (e *Events) complete() ([]byte, error) {
	if IsEvent(e.event) {
		e.idle = 0
	} else if e.idle += len(e.event); e.idle > maxIdleBytes {
		return nil, tooLong("there is too much between two events of the answer")
	}
	return e.event, nil
}

func tooLong(message string) error {
	return carawayspread.NewError(carawayspread.CodeIncomplete, message, carawayspread.CausedBy(carawayspread.ErrEndless))
}

// IsEvent reports whether the bytes that Next returned are more than comments and blank lines.
func IsEvent(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return true
		}
	}
	return false
}

// last returns what is left at the end of the stream.
func (e *Events) last() ([]byte, error) {
	switch {
	case len(e.event) == 0:
		return nil, io.EOF
	case onlyComments(e.event):
		return e.event, nil
	}
	return nil, ErrInsideEvent
}

// onlyComments reports whether the bytes are complete lines of comments, which are no part of an event.
func onlyComments(p []byte) bool {
	for line := range bytes.Lines(p) {
		if line[0] != ':' || line[len(line)-1] != '\n' {
			return false
		}
	}
	return true
}

// Data returns the content of the first data field of an event; nil if it has none.
func Data(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(rest)
		}
	}
	return nil
}

// Done reports whether the event is the [DONE] event that ends a stream.
func Done(event []byte) bool { return bytes.Equal(Data(event), doneMarker) }
