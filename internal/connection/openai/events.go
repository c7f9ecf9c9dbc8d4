package openai

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"carawayspread"
)

const (
	eventBuffer = 16 << 10
	eventLimit  = 1 << 20 // bytes of one event
)

var (
	dataField = []byte("data:")
	doneMark  = []byte("[DONE]")
)

// Events reads server-sent events one whole event at a time, so that an event
// that was cut in its middle is never passed on.
type Events struct {
	r     *bufio.Reader
	event []byte // reused; valid until the next call of Next
}

// NewEvents returns a reader of the events of a stream.
func NewEvents(r io.Reader) *Events { return &Events{r: bufio.NewReaderSize(r, eventBuffer)} }

// Next returns the bytes of the next whole event including its closing blank
// line. They are valid until the next call. An event that the stream's end
// cuts is dropped; the error is the stream's.
func (e *Events) Next() ([]byte, error) {
	e.event = e.event[:0]
	lineStart := 0
	for {
		part, err := e.r.ReadSlice('\n')
		e.event = append(e.event, part...)
		if len(e.event) > eventLimit {
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

// Data returns the data of an event; nil for comments and other fields.
func Data(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(rest)
		}
	}
	return nil
}

// Done reports whether the event closes the stream.
func Done(event []byte) bool { return bytes.Equal(Data(event), doneMark) }
