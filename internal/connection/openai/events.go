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
)

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// Events reads server-sent events one complete event at a time, so that a truncated event is never
// forwarded.
type Events struct {
	r     *bufio.Reader
	event []byte // reused; valid until the next call of Next
}

// NewEvents returns Events that reads from the stream.
func NewEvents(r io.Reader) *Events { return &Events{r: bufio.NewReaderSize(r, readBufferSize)} }

// Rest returns the length in bytes of the incomplete event at the end of the stream, after Next has
// returned an error.
func (e *Events) Rest() int { return len(e.event) }

// Next returns the bytes of the next complete event, including its terminating blank line. They are
// valid until the next call. If the stream ends within an event, that event is dropped and Next
// returns the error of the stream.
func (e *Events) Next() ([]byte, error) {
	e.event = e.event[:0]
	lineStart := 0
	for {
		line, err := e.r.ReadSlice('\n') // or the beginning of a long line
		e.event = append(e.event, line...)
		if len(e.event) > maxEventBytes {
			return nil, carawayspread.NewError(carawayspread.CodeIncomplete, "an event of the answer is too long")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimRight(e.event[lineStart:], "\r\n")) == 0 {
			return e.event, nil
		}
		lineStart = len(e.event)
	}
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
