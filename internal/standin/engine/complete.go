package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headers of the resume protocol: the caller sends the number of events that it has received and
// the hash of their data, and the engine confirms that it continues from there.
const (
	headerOffset  = "Resume-Offset"
	headerDigest  = "Resume-Digest"
	headerResumed = "Resumed-From"
)

const defaultTokens = 16

type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

func (c completionRequest) text() string { return string(c.Prompt) + string(c.Messages) }

func (c completionRequest) tokens() int {
	if c.MaxCompletionTokens > 0 {
		return c.MaxCompletionTokens
	}
	if c.MaxTokens > 0 {
		return c.MaxTokens
	}
	return defaultTokens
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, `{"error":{"message":"unreadable body"}}`, http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	ctx, stop := e.start(r.Context(), id)
	defer stop()
	if strings.Contains(req.text(), CrashMarker) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if !e.acquireSlot(ctx) {
		panic(http.ErrAbortHandler)
	}
	defer e.releaseSlot()
	e.prefill(ctx, len(req.text())/4)
	w.Header().Set("X-Request-Id", id)
	a := answer{id: "cmpl-" + id, chat: strings.HasPrefix(r.URL.Path, "/v1/chat/"), req: req}
	if req.Stream {
		e.stream(ctx, w, r, a)
		return
	}
	e.respond(ctx, w, a)
}

// start registers the request. The returned context is cancelled at the end of the request, by a
// cancel call or by a crash; the returned function ends the request.
func (e *Engine) start(ctx context.Context, id string) (context.Context, func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	unhook := context.AfterFunc(e.bootContext, cancel)
	e.runs[id]++
	e.cancels[id] = cancel
	return ctx, func() {
		unhook()
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.cancels, id)
	}
}

func (e *Engine) acquireSlot(ctx context.Context) bool {
	e.waiting.Add(1)
	defer e.waiting.Add(-1)
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) releaseSlot() { <-e.slots }

func (e *Engine) prefill(ctx context.Context, tokens int) {
	if e.prefillRate == 0 {
		return
	}
	sleep(ctx, time.Duration(tokens)*time.Second/time.Duration(e.prefillRate))
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (e *Engine) respond(ctx context.Context, w http.ResponseWriter, a answer) {
	sleep(ctx, time.Duration(a.req.tokens())*e.tokenEvery)
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	body := a.body()
	w.Header().Set("Content-Type", "application/json")
	if e.unframed {
		setUnframed(w)
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	_, _ = w.Write(body)
	e.served.Add(1)
}

func setUnframed(w http.ResponseWriter) { w.Header().Set("Transfer-Encoding", "identity") }

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, a answer) {
	offset, ok := a.resume(r)
	if !ok {
		http.Error(w, `{"error":{"message":"cannot resume: the digest differs"}}`, http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if e.unframed {
		setUnframed(w)
	}
	if offset > 0 {
		w.Header().Set(headerResumed, strconv.Itoa(offset))
	}
	flusher := http.NewResponseController(w)
	for i := offset; i < a.req.tokens(); i++ {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", a.event(i))
		_ = flusher.Flush()
		sleep(ctx, e.tokenEvery)
		if ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	e.served.Add(1)
}

// answer generates the output for a request. It is a pure function of the request.
type answer struct {
	id   string
	chat bool
	req  completionRequest
}

func (a answer) token(i int) string {
	return fmt.Sprintf("t%04d ", xxhash.Sum64String(a.req.text()+strconv.Itoa(i))%10000)
}

// resume returns the index of the event to continue from, and whether the events that the caller
// has received are a prefix of this answer.
func (a answer) resume(r *http.Request) (int, bool) {
	offset, _ := strconv.Atoi(r.Header.Get(headerOffset))
	if offset <= 0 {
		return 0, true
	}
	digest := xxhash.New()
	for i := range min(offset, a.req.tokens()) {
		_, _ = digest.Write(a.event(i))
	}
	return offset, r.Header.Get(headerDigest) == strconv.FormatUint(digest.Sum64(), 16)
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (a answer) event(i int) []byte {
	c := choice{}
	text := a.token(i)
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
		c.Delta = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	if i == a.req.tokens()-1 {
		stop := "stop"
		c.FinishReason = &stop
	}
	return a.encode(completion{Object: object, Choices: []choice{c}})
}

func (a answer) body() []byte {
	var text strings.Builder
	for i := range a.req.tokens() {
		text.WriteString(a.token(i))
	}
	stop, all := "stop", text.String()
	c := choice{FinishReason: &stop}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: all}
	} else {
		c.Text = &all
	}
	n, m := len(a.req.text())/4, a.req.tokens()
	return a.encode(completion{Object: object, Choices: []choice{c}, Usage: &usage{Prompt: n, Completion: m, Total: n + m}})
}

func (a answer) encode(c completion) []byte {
	c.ID = a.id
	c.Model = a.req.Model
	body, err := json.Marshal(c)
	if err != nil {
		panic(err) // no value of this type fails to marshal
	}
	return body
}
