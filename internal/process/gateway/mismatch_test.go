package gateway

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// trackedBody records whether it was read to its end and whether it was closed.
type trackedBody struct {
	io.Reader
	ended  bool
	closed bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.ended = b.ended || err != nil
	return n, err
}

func (b *trackedBody) Close() error {
	b.closed = true
	return nil
}

// Guards against callers that receive the answer to another request: after an answer with a wrong
// request identifier, the answer that was due is still to come on that connection. The connection
// must be closed, and not read to its end, which would return it to the pool.
func TestAnswerToAnotherRequestClosesTheConnection(t *testing.T) {
	body := &trackedBody{Reader: strings.NewReader("another's")}
	b := newHarness(t, func(s sentAttempt) (*carawayspread.Reply, error) {
		r := reply(s, 200, "", io.EOF, "Carawayspread-Request-Id", "another")
		r.Body = body
		return r, nil
	})
	resp, text, err := b.post(t, "/safe/x", "mine")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	qt.Check(t, text, qt.Contains, "whole of")
	qt.Check(t, body.closed, qt.IsTrue)
	qt.Check(t, body.ended, qt.IsFalse)
}
