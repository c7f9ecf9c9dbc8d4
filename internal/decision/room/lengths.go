// Package room decides with how much KV memory of an engine a request is counted until its answer ends, and
// how much of an engine is kept free for what other processes place there at the same moment.
//
// Load: prompts of fifty to 50,000 tokens arrive at several processes at once, whose load updates arrive after
// tens of milliseconds, and nobody knows how long the answers will be. An engine that is given more than it
// holds interrupts running answers in the middle, or crashes; one that is counted full by the longest answers
// allowed refuses requests while it has room.
package room

import (
	"math"

	"carawayspread"
)

const (
	// blockTokens is the size in which engines give out KV memory.
	blockTokens = 16
	// quantile is the part of the answers of a class that the counted length suffices for. The others are
	// counted with more as they grow; with a larger part an engine of short answers is refused half empty.
	quantile = 0.9
	// quantileStep is the step by which one answer moves the estimate of the quantile, relative to it: a
	// shift of the lengths is followed within some tens of answers.
	quantileStep = 0.1
	// minAnswers is the number of answers before the estimate is used. Until then, as after each start, the
	// longest answer allowed is counted: all processes know nothing at the same time, and engines that they
	// fill by what callers expect are overfull seconds later.
	minAnswers = 8
	// minRatio keeps the estimate above zero, so that it can grow again.
	minRatio = 1.0 / 64
	// maxClasses bounds the classes that are learned; further ones are counted with the longest answer.
	maxClasses = 4096
)

// Blocks returns the tokens of KV memory that the given tokens occupy.
func Blocks(tokens int) int { return (max(0, tokens) + blockTokens - 1) / blockTokens * blockTokens }

// Lengths learns how long the answers of each class are, relative to what their callers expect.
type Lengths struct{ classes map[string]*class }

type class struct {
	answers int
	ratio   float64 // quantile of the length of an answer, relative to base
}

// NewLengths returns lengths of which nothing is known.
func NewLengths() *Lengths { return &Lengths{classes: map[string]*class{}} }

// base returns what the length of an answer is learned relative to: the caller's estimate if there is one.
func base(p *carawayspread.Prompt) float64 {
	if p.LengthHint > 0 {
		return float64(min(p.LengthHint, max(1, p.MaxOutputTokens)))
	}
	return float64(max(1, p.MaxOutputTokens))
}

// Output returns the tokens that the answer to a prompt of the class is counted with.
func (l *Lengths) Output(className string, p *carawayspread.Prompt) int {
	c := l.classes[className]
	if c == nil || c.answers < minAnswers {
		return p.MaxOutputTokens
	}
	return min(p.MaxOutputTokens, int(math.Ceil(c.ratio*base(p))))
}

// Tokens returns the KV memory that a request of the class is counted with until its end, in tokens.
func (l *Lengths) Tokens(className string, p *carawayspread.Prompt) int {
	return Blocks(p.Tokens + l.Output(className, p))
}

// Learn records the length of a complete answer.
func (l *Lengths) Learn(className string, p *carawayspread.Prompt, output int) {
	c := l.classes[className]
	if c == nil {
		if len(l.classes) >= maxClasses {
			return
		}
		c = &class{ratio: minRatio}
		l.classes[className] = c
	}
	ratio := float64(output) / base(p)
	switch {
	case c.answers < minAnswers: // the longest of the first ones
		c.answers++
		c.ratio = max(c.ratio, ratio)
	case ratio > c.ratio:
		c.ratio *= 1 + quantileStep*quantile
	default:
		c.ratio = max(minRatio, c.ratio*(1-quantileStep*(1-quantile)))
	}
}

// Grown returns the KV memory that a request is counted with whose answer has become longer than it was
// counted with: an eighth of the answer more, so that a long answer is announced to peers a few times only.
func Grown(p *carawayspread.Prompt, output int) int {
	return Blocks(p.Tokens + min(max(output, p.MaxOutputTokens), output+max(4*blockTokens, output/8)))
}
