package dev

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"carawayspread"
)

// start runs a fleet and returns the base URL for callers.
func start(t *testing.T) string {
	t.Helper()
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	fleet, err := New(Options{Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0"}, carawayspread.SystemClock(), logger)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- fleet.Run(ctx, io.Discard) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
	qt.Assert(t, fleet.Ready(ctx), qt.IsNil)
	return "http://" + fleet.CallerAddress()
}

func client(base string) openai.Client {
	return openai.NewClient(option.WithBaseURL(base+"/v1/"), option.WithAPIKey("unused"),
		option.WithHeader("X-Workspace", "demo"), option.WithHeader("X-Class", "interactive"), option.WithMaxRetries(0))
}

func chat(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "stand-in",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(12),
	}
}

// Guards against answers that an unmodified OpenAI client library cannot use: completions, streams, the
// list of models and typed errors.
func TestClientLibrary(t *testing.T) {
	base := start(t)
	c := client(base)
	ctx := context.Background()

	whole, err := c.Chat.Completions.New(ctx, chat("Is Chía one place?"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, strings.Fields(whole.Choices[0].Message.Content), qt.HasLen, 12)

	stream := c.Chat.Completions.NewStreaming(ctx, chat("Is Chía one place?"))
	var text strings.Builder
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	qt.Assert(t, stream.Err(), qt.IsNil)
	qt.Check(t, text.String(), qt.Equals, whole.Choices[0].Message.Content)

	models, err := c.Models.List(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, models.Data[0].ID, qt.Equals, "stand-in")

	unknown := chat("x")
	unknown.Model = "no-such-model"
	_, err = c.Chat.Completions.New(ctx, unknown)
	var failure *openai.Error
	qt.Assert(t, err, qt.ErrorAs, &failure)
	qt.Check(t, failure.Code, qt.Equals, string(carawayspread.CodeUnknownModel))
	qt.Check(t, failure.StatusCode, qt.Equals, http.StatusNotFound)
}

// Guards against a bad request that gets the wrong error, is reported as having run, or makes the fleet
// fail the next request.
func TestBadRequests(t *testing.T) {
	base := start(t)
	good := `{"model":"stand-in","prompt":"x","max_tokens":1}`
	tests := map[string]struct {
		method, path, body string
		header             map[string]string
		status             int
		code               carawayspread.Code
	}{
		"malformed body":    {path: "/v1/completions", body: `{"model":`, status: 400, code: carawayspread.CodeMalformed},
		"wrong type":        {path: "/v1/completions", body: `{"model":7}`, status: 400, code: carawayspread.CodeMalformed},
		"no prompt":         {path: "/v1/completions", body: `{"model":"stand-in"}`, status: 400, code: carawayspread.CodeMalformed},
		"unknown class":     {path: "/v1/completions", body: good, header: map[string]string{"X-Class": "none"}, status: 400, code: carawayspread.CodeUnknownClass},
		"unknown workspace": {path: "/v1/completions", body: good, header: map[string]string{"X-Workspace": "none"}, status: 403, code: carawayspread.CodeUnknownWorkspace},
		"no workspace":      {path: "/v1/completions", body: good, header: map[string]string{"X-Workspace": ""}, status: 400, code: carawayspread.CodeMalformed},
		"unknown model":     {path: "/v1/completions", body: `{"model":"none","prompt":"x"}`, status: 404, code: carawayspread.CodeUnknownModel},
		"unknown service":   {path: "/services/none/x", body: "x", status: 404, code: carawayspread.CodeUnknownService},
		"unknown path":      {path: "/v2", body: good, status: 404, code: carawayspread.CodeNotFound},
		"wrong method":      {method: http.MethodDelete, path: "/v1/completions", status: 405, code: carawayspread.CodeMethod},
		"oversized body":    {path: "/v1/completions", body: strings.Repeat("x", 9<<20), status: 413, code: carawayspread.CodeTooLarge},
		"deadline passed":   {path: "/v1/completions", body: good, header: map[string]string{"X-Deadline": "2020-01-01T00:00:00Z"}, status: 504, code: carawayspread.CodeDeadlineExceeded},
		"bad deadline":      {path: "/v1/completions", body: good, header: map[string]string{"X-Deadline": "soon"}, status: 400, code: carawayspread.CodeMalformed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			method := test.method
			if method == "" {
				method = http.MethodPost
			}
			req, err := http.NewRequest(method, base+test.path, strings.NewReader(test.body))
			qt.Assert(t, err, qt.IsNil)
			req.Header.Set("X-Workspace", "demo")
			req.Header.Set("X-Class", "interactive")
			for key, value := range test.header {
				req.Header.Set(key, value)
			}
			resp, err := http.DefaultClient.Do(req)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = resp.Body.Close() }()
			body, _ := io.ReadAll(resp.Body)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			qt.Check(t, string(body), qt.Contains, `"code":"`+string(test.code)+`"`)
			qt.Check(t, string(body), qt.Contains, `"notRun":true`)
		})
	}
	c := client(base)
	_, err := c.Chat.Completions.New(context.Background(), chat("still here"))
	qt.Assert(t, err, qt.IsNil)
}

func TestPlainService(t *testing.T) {
	base := start(t)
	req, err := http.NewRequest(http.MethodGet, base+"/services/records/records/25175", nil)
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("X-Workspace", "demo")
	req.Header.Set("X-Class", "lookup")
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	qt.Check(t, string(body), qt.Equals, "{\"record\":\"25175\"}\n")
}
