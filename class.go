package carawayspread

import "time"

// Target states how promptly and how completely the answers of a class must
// arrive. A zero duration states nothing about that part.
type Target struct {
	firstToken    time.Duration // from arrival to the first token; not negative
	betweenTokens time.Duration // mean gap between tokens of one answer; not negative
	whole         time.Duration // from arrival to the whole answer; not negative
	share         float64       // the share of answers that must meet it; in (0, 1]
}

// NewTarget returns a target. The share is a fraction in (0, 1].
func NewTarget(firstToken, betweenTokens, whole time.Duration, share float64) Target {
	return Target{firstToken: firstToken, betweenTokens: betweenTokens, whole: whole, share: share}
}

// FirstToken returns the longest time from arrival to the first token.
func (t Target) FirstToken() time.Duration { return t.firstToken }

// BetweenTokens returns the longest mean gap between tokens.
func (t Target) BetweenTokens() time.Duration { return t.betweenTokens }

// Whole returns the longest time from arrival to the whole answer.
func (t Target) Whole() time.Duration { return t.whole }

// Share returns the fraction of answers that must meet the target.
func (t Target) Share() float64 { return t.share }

// Latest returns the last moment at which a request that arrived then may get
// its first byte, or its whole answer where the class has no first-token target.
func (t Target) Latest(arrived time.Time) time.Time {
	if t.firstToken > 0 {
		return arrived.Add(t.firstToken)
	}
	return arrived.Add(t.whole)
}

// Class is a kind of work with the target that operators state for it.
type Class struct {
	name       string // unique in a configuration, not empty
	target     Target
	atMostOnce bool // its requests must never run twice
}

// NewClass returns a class.
func NewClass(name string, target Target, atMostOnce bool) Class {
	return Class{name: name, target: target, atMostOnce: atMostOnce}
}

// Name returns the name of the class.
func (c Class) Name() string { return c.name }

// Target returns what operators state for the class.
func (c Class) Target() Target { return c.target }

// AtMostOnce reports whether requests of the class must never run twice.
func (c Class) AtMostOnce() bool { return c.atMostOnce }
