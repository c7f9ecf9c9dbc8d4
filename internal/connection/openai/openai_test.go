package openai

import (
	"bytes"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

func TestDecode(t *testing.T) {
	tests := map[string]struct {
		body  string
		cost  carawayspread.Cost
		place string // named by the error; empty when there is none
	}{
		"chat":          {body: `{"model":"m","messages":[{"role":"user","content":"1234"}],"max_tokens":7}`, cost: carawayspread.Cost{Prefill: 9, Decode: 7}},
		"default limit": {body: `{"model":"m","prompt":"12"}`, cost: carawayspread.Cost{Prefill: 2, Decode: defaultTokens}},
		"newer limit":   {body: `{"model":"m","prompt":"12","max_tokens":1,"max_completion_tokens":9}`, cost: carawayspread.Cost{Prefill: 2, Decode: 9}},
		"no model":      {body: `{"prompt":"x"}`, place: "model"},
		"no prompt":     {body: `{"model":"m"}`, place: "messages or prompt"},
		"bad limit":     {body: `{"model":"m","prompt":"x","max_tokens":0.5}`, place: "max_tokens"},
		"not an object": {body: `[]`, place: "body"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := Decode([]byte(test.body))
			if test.place != "" {
				failure, ok := carawayspread.AsError(err)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Check(t, failure.Code(), qt.Equals, carawayspread.CodeMalformed)
				qt.Check(t, failure.NotRun(), qt.IsTrue)
				qt.Check(t, failure.Message(), qt.Contains, test.place)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, got.Cost(), qt.Equals, test.cost)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":1e9,"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := Decode(body)
		if err == nil && (got.Model() == "" || got.Cost().Decode < 1 || got.Cost().Prefill < 1) {
			t.Fatalf("accepted without a model or work: %+v", got)
		}
		if _, typed := carawayspread.AsError(err); err != nil && !typed {
			t.Fatalf("untyped error: %v", err)
		}
	})
}

// Whatever the stream is and however it is cut, Events passes on a prefix of
// its bytes that ends with a whole event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: 1\n\n: note\n\ndata: [DONE]\n\n"), 3)
	f.Add([]byte("data: 1\r\n\r\nda"), 1)
	f.Add([]byte(strings.Repeat("x", 2*eventBuffer)+"\n\n"), 100)
	f.Fuzz(func(t *testing.T, stream []byte, chunk int) {
		events := NewEvents(&chunked{rest: stream, size: max(1, chunk%64)})
		var passed []byte
		for {
			event, err := events.Next()
			if err != nil {
				break
			}
			if len(bytes.TrimRight(event, "\r\n")) == len(event) {
				t.Fatalf("event without an end: %q", event)
			}
			passed = append(passed, event...)
		}
		if !bytes.HasPrefix(stream, passed) {
			t.Fatalf("passed on %q of %q", passed, stream)
		}
	})
}

type chunked struct {
	rest []byte
	size int
}

func (c *chunked) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.size)], c.rest)
	c.rest = c.rest[n:]
	return n, nil
}
