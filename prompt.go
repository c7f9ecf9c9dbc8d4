package carawayspread

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// PromptPart is a segment of a prompt that other prompts may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Prompt describes the prompt of a request and the expected length of its answer.
type Prompt struct {
	Model           string
	Tokens          int // of the prompt
	MaxOutputTokens int // upper limit for the tokens of the answer
	// LengthHint is the caller's estimate of the tokens of the answer; zero if there is none. Its
	// median is right, but single estimates are often far off.
	LengthHint int
	Parts      []PromptPart // in order; together they are the prompt. The last is not shared.
}

// SharedParts returns the parts that other prompts may share: all but the last. A nil prompt has none.
func (p *Prompt) SharedParts() []PromptPart {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedPartKeys returns a key for each part that other prompts of the model may share, without
// repetitions.
func (p *Prompt) SharedPartKeys() []uint64 {
	var keys []uint64
	for _, part := range p.SharedParts() {
		h := fnv.New64a()
		_, _ = h.Write([]byte(p.Model))
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, part.ID))
		if key := h.Sum64(); !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Session returns a hash of the last part, which only the prompts of one session share.
func (p *Prompt) Session() uint32 {
	if p == nil || len(p.Parts) == 0 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, p.Parts[len(p.Parts)-1].ID))
	return h.Sum32()
}

// PrefixHashes returns for each part the hash of the prefix that ends with it: equal parts have
// equal hashes only after equal prefixes.
func (p Prompt) PrefixHashes() []uint64 {
	hashes := make([]uint64, len(p.Parts))
	h := uint64(14695981039346656037) // FNV offset basis
	for i, part := range p.Parts {
		h = (h ^ part.ID) * 1099511628211 // FNV prime
		h ^= h >> 29
		hashes[i] = h
	}
	return hashes
}

// ExpectedOutput returns how many tokens the answer is expected to have: at most as many as are allowed.
func (p *Prompt) ExpectedOutput() int {
	if p.LengthHint > 0 {
		return min(p.MaxOutputTokens, p.LengthHint)
	}
	return p.MaxOutputTokens
}
