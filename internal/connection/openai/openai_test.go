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
		field string // named by the error; empty if no error is expected
	}{
		"chat":          {body: `{"model":"m","messages":[{"role":"user","content":"1234"}],"max_tokens":7}`, cost: carawayspread.Cost{Prefill: 9, Decode: 7}},
		"default limit": {body: `{"model":"m","prompt":"12"}`, cost: carawayspread.Cost{Prefill: 2, Decode: defaultMaxTokens}},
		"both limits":   {body: `{"model":"m","prompt":"12","max_tokens":1,"max_completion_tokens":9}`, cost: carawayspread.Cost{Prefill: 2, Decode: 9}},
		"no model":      {body: `{"prompt":"x"}`, field: "model"},
		"no prompt":     {body: `{"model":"m"}`, field: "messages or prompt"},
		"bad limit":     {body: `{"model":"m","prompt":"x","max_tokens":0.5}`, field: "max_tokens"},
		"not an object": {body: `[]`, field: "body"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := Decode([]byte(test.body))
			if test.field != "" {
				failure, ok := carawayspread.AsError(err)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Check(t, failure.Code(), qt.Equals, carawayspread.CodeMalformed)
				qt.Check(t, failure.NotRun(), qt.IsTrue)
				qt.Check(t, failure.Message(), qt.Contains, test.field)
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
			t.Fatalf("accepted without a model or cost: %+v", got)
		}
		if _, typed := carawayspread.AsError(err); err != nil && !typed {
			t.Fatalf("untyped error: %v", err)
		}
	})
}

// For any stream and any chunking, the events returned by Events are a prefix of the stream that ends
// with a complete event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: 1\n\n: note\n\ndata: [DONE]\n\n"), 3)
	f.Add([]byte("data: 1\r\n\r\nda"), 1)
	f.Add([]byte(strings.Repeat("x", 2*readBufferSize)+"\n\n"), 100)
	f.Fuzz(func(t *testing.T, stream []byte, chunk int) {
		events := NewEvents(&chunked{rest: stream, size: max(1, chunk%64)})
		var forwarded []byte
		for {
			event, err := events.Next()
			if err != nil {
				break
			}
			if len(bytes.TrimRight(event, "\r\n")) == len(event) {
				t.Fatalf("event without its terminator: %q", event)
			}
			forwarded = append(forwarded, event...)
		}
		if !bytes.HasPrefix(stream, forwarded) {
			t.Fatalf("events %q are not a prefix of the stream %q", forwarded, stream)
		}
	})
}

// A stream that was broken off inside an event is taken for complete.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	const whole = "id: 1\ndata: a\n\n"
	for name, test := range map[string]struct {
		stream string
		events int
		end    error
	}{
		"empty":                              {"", 0, io.EOF},
		"whole":                              {whole, 1, io.EOF},
		"whole, two line breaks more":        {whole + "\n\r\n", 3, io.EOF},
		"a comment at the end":               {whole + ": a\n: b\n", 2, io.EOF},
		"an incomplete comment at the end":   {whole + ": a", 1, ErrInsideEvent},
		"a comment, then a field":            {whole + ": a\nid: 2\n", 1, ErrInsideEvent},
		"in a name":                          {whole + "da", 1, ErrInsideEvent},
		"in a value":                         {whole + "data: b", 1, ErrInsideEvent},
		"before its blank line":              {whole + "data: b\n", 1, ErrInsideEvent},
		"in the last line break":             {whole + "data: b\r\n\r", 1, ErrInsideEvent},
		"without any event":                  {"id: 1\ndata: a\n", 0, ErrInsideEvent},
		"in an event longer than the buffer": {whole + "data: " + strings.Repeat("x", 2*readBufferSize), 1, ErrInsideEvent},
	} {
		t.Run(name, func(t *testing.T) {
			events := NewEvents(strings.NewReader(test.stream))
			for range test.events {
				_, err := events.Next()
				qt.Assert(t, err, qt.IsNil)
			}
			_, err := events.Next()
			qt.Check(t, err, qt.Equals, test.end)
		})
	}
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

// Guards against a stream that keeps its caller waiting without an event, and is held: blank lines or comments
// without end.
func TestTooMuchBetweenEventsHasNoEnd(t *testing.T) {
	for name, line := range map[string]string{"blank lines": "\n", "comments": ": waiting\n\n"} {
		t.Run(name, func(t *testing.T) {
			events := NewEvents(strings.NewReader("data: 1\n\n" + strings.Repeat(line, 128<<10)))
			var err error
			for err == nil {
				_, err = events.Next()
			}
			qt.Check(t, err, qt.ErrorIs, carawayspread.ErrEndless)
		})
	}
}
