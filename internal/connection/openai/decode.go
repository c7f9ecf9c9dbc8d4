// Package openai implements the OpenAI protocol towards callers: it parses what scheduling needs
// from a completion request, and writes the list of models and errors. The request itself is
// forwarded unchanged.
package openai

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawayspread"
)

const (
	// bytesPerToken is used to estimate the number of tokens of a prompt. Four bytes are the usual
	// average of byte-pair encodings of European text. The error is corrected by the work that the
	// endpoint measures.
	bytesPerToken = 4
	// prefixBytes is the length of the prefix of a prompt that determines cache affinity: 256
	// tokens, which are a few blocks of a typical prefix cache.
	prefixBytes = 1024
	// defaultMaxTokens is the assumed length of an answer whose request sets no limit.
	defaultMaxTokens = 256
	// maxParts bounds the messages of a prompt that are told apart.
	maxParts = 64
	// DecodeFactor is how many times the size of a body Decode may occupy beside it, for copies of its fields.
	DecodeFactor = 2
)

// Completion contains the parsed parameters of a completion request.
type Completion struct {
	model  string
	stream bool
	cost   carawayspread.Cost
	prefix uint64 // hash of the prompt's prefix
	parts  []uint64
}

type completionBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *float64        `json:"max_tokens"`
	MaxCompletionTokens *float64        `json:"max_completion_tokens"`
}

// Decode parses a completion request. Its error is a *carawayspread.Error that names the field in the
// body and states that the request has not run.
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
	maxTokens, err := b.maxTokens()
	if err != nil {
		return Completion{}, err
	}
	cost := carawayspread.Cost{Prefill: len(prompt)/bytesPerToken + 1, Decode: maxTokens}
	prefix := xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	return Completion{model: b.Model, stream: b.Stream, cost: cost, prefix: prefix, parts: b.parts()}, nil
}

// parts returns a hash of each message that other requests may share, for the same model: all but the last.
func (b completionBody) parts() []uint64 {
	var parts []uint64
	for _, message := range firstMessages(b.Messages) {
		digest := xxhash.New()
		_, _ = digest.WriteString(b.Model + "\x00")
		_, _ = digest.Write(message)
		if part := digest.Sum64(); !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

// firstMessages returns the first maxParts elements of a valid list, without the last one of all; none of anything
// else, which is a prompt or what the endpoint will refuse. They share the memory of the list, since millions of
// elements fit into one body.
func firstMessages(list json.RawMessage) []json.RawMessage {
	list = bytes.TrimSpace(list)
	if len(list) == 0 || list[0] != '[' {
		return nil
	}
	var messages []json.RawMessage
	begin, depth, inText := 1, 0, false
	for i := 1; i < len(list) && len(messages) < maxParts; i++ {
		switch c := list[i]; {
		case inText && c == '\\':
			i++
		case c == '"':
			inText = !inText
		case inText:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 0:
			messages = append(messages, bytes.TrimSpace(list[begin:i]))
			begin = i + 1
		}
	}
	return messages
}

// maxTokens returns the limit of the answer in tokens.
func (b completionBody) maxTokens() (int, error) {
	limit := b.MaxCompletionTokens
	if limit == nil {
		limit = b.MaxTokens
	}
	if limit == nil {
		return defaultMaxTokens, nil
	}
	if *limit < 1 || *limit > math.MaxInt32 || *limit != math.Trunc(*limit) {
		return 0, malformed("max_tokens: must be a whole number of at least 1", nil)
	}
	return int(*limit), nil
}

func malformed(message string, cause error) error {
	return carawayspread.NewError(carawayspread.CodeMalformed, message, carawayspread.NotRun(), carawayspread.CausedBy(cause))
}

// Model returns the name of the requested model.
func (c Completion) Model() string { return c.model }

// Stream reports whether the answer must be streamed.
func (c Completion) Stream() bool { return c.stream }

// Cost returns the estimated work.
func (c Completion) Cost() carawayspread.Cost { return c.cost }

// Parts returns a hash of each message of a chat that other requests may share, without repetitions.
func (c Completion) Parts() []uint64 { return c.parts }

// Prefix returns the hash of the prompt's prefix.
func (c Completion) Prefix() uint64 { return c.prefix }
