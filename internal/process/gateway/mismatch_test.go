package gateway

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// trackedBody is a body that must not be read to its end.
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

// Callers after one that met another's answer get their own: the connection is
// not used again, on which the answer that was due is still to come.
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
