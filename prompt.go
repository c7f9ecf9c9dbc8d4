package carawayspread

// PromptPart is a piece of a prompt that other prompts may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Prompt is what a request asks an engine to read and to write.
type Prompt struct {
	Model           string
	Tokens          int // of the prompt
	MaxOutputTokens int // tokens of the answer at the most
	// LengthHint is the caller's guess of the tokens of the answer; zero where there
	// is none. It is right at the median and often far off.
	LengthHint int
	Parts      []PromptPart // in order; together the prompt. The last is its own.
}

// PrefixHashes returns, for each part, a number that stands for it and all parts
// before it: a part is found again only behind the same beginning.
func (p Prompt) PrefixHashes() []uint64 {
	chains := make([]uint64, len(p.Parts))
	h := uint64(14695981039346656037) // FNV offset basis
	for i, part := range p.Parts {
		h = (h ^ part.ID) * 1099511628211 // FNV prime
		h ^= h >> 29
		chains[i] = h
	}
	return chains
}
