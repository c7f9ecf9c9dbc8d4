// Package openai speaks the OpenAI protocol towards callers: it reads what the
// system needs to know of a completion request, and writes models and errors.
// The request itself travels on unchanged.
package openai

import (
	"encoding/json"
	"math"

	"github.com/cespare/xxhash/v2"

	"carawayspread"
)

const (
	// bytesPerToken estimates the tokens of a prompt. Four bytes is the usual
	// average of byte-pair encodings for European text; the error is corrected
	// by the work that the endpoint measures.
	bytesPerToken = 4
	// prefixBytes is the leading part of a prompt that decides about cache
	// locality: 256 tokens, a few blocks of a usual prefix cache.
	prefixBytes = 1024
	// defaultTokens is the length of an answer whose request sets no limit.
	defaultTokens = 256
)

// Completion is what the system knows of a completion request.
type Completion struct {
	model  string
	stream bool
	cost   carawayspread.Cost
	prefix uint64 // hash of the leading part of the prompt
}

type completionBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *float64        `json:"max_tokens"`
	MaxCompletionTokens *float64        `json:"max_completion_tokens"`
}

// Decode reads a completion request. Its error names the place in the body and
// is not run.
func Decode(body []byte) (Completion, error) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Completion{}, malformed("the body is not a JSON object of the right types: "+err.Error(), err)
	}
	if b.Model == "" {
		return Completion{}, malformed("model: must name a model", nil)
	}
	prompt := b.Messages
	if len(prompt) == 0 {
		prompt = b.Prompt
	}
	if len(prompt) == 0 {
		return Completion{}, malformed("messages or prompt: must be present", nil)
	}
	tokens, err := b.tokens()
	if err != nil {
		return Completion{}, err
	}
	cost := carawayspread.Cost{Prefill: len(prompt)/bytesPerToken + 1, Decode: tokens}
	prefix := xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	return Completion{model: b.Model, stream: b.Stream, cost: cost, prefix: prefix}, nil
}

func (b completionBody) tokens() (int, error) {
	limit := b.MaxCompletionTokens
	if limit == nil {
		limit = b.MaxTokens
	}
	if limit == nil {
		return defaultTokens, nil
	}
	if *limit < 1 || *limit > math.MaxInt32 || *limit != math.Trunc(*limit) {
		return 0, malformed("max_tokens: must be a whole number of at least 1", nil)
	}
	return int(*limit), nil
}

func malformed(message string, cause error) error {
	return carawayspread.NewError(carawayspread.CodeMalformed, message, carawayspread.NotRun(), carawayspread.CausedBy(cause))
}

// Model returns the model that the request names.
func (c Completion) Model() string { return c.model }

// Stream reports whether the answer is to be streamed.
func (c Completion) Stream() bool { return c.stream }

// Cost returns the estimated work.
func (c Completion) Cost() carawayspread.Cost { return c.cost }

// Prefix returns the hash of the leading part of the prompt.
func (c Completion) Prefix() uint64 { return c.prefix }
