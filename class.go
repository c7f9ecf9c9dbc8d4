package carawayspread

import "time"

// Target is the service-level objective of a class: the longest times to the first token, between
// tokens and to the whole answer, and the share of answers that must meet them. A zero duration
// sets no limit.
type Target struct {
	firstToken    time.Duration // from arrival to the first token; not negative
	betweenTokens time.Duration // mean inter-token latency of one answer; not negative
	whole         time.Duration // from arrival to the whole answer; not negative
	share         float64       // fraction of answers that must meet the target; in (0, 1]
}

// NewTarget returns a target. The durations must not be negative, and the share must be in (0, 1].
func NewTarget(firstToken, betweenTokens, whole time.Duration, share float64) Target {
	return Target{firstToken: firstToken, betweenTokens: betweenTokens, whole: whole, share: share}
}

// FirstToken returns the longest time from arrival to the first token.
func (t Target) FirstToken() time.Duration { return t.firstToken }

// BetweenTokens returns the longest mean inter-token latency.
func (t Target) BetweenTokens() time.Duration { return t.betweenTokens }

// Whole returns the longest time from arrival to the whole answer.
func (t Target) Whole() time.Duration { return t.whole }

// Share returns the fraction of answers that must meet the target.
func (t Target) Share() float64 { return t.share }

// Latest returns the latest time at which a request with that arrival time may get its first
// byte, or its whole answer if the class has no first-token target.
func (t Target) Latest(arrived time.Time) time.Time {
	if t.firstToken > 0 {
		return arrived.Add(t.firstToken)
	}
	return arrived.Add(t.whole)
}

// Class is a service class: a kind of work with the target that operators set for it.
type Class struct {
	name       string // unique in a configuration, not empty
	target     Target
	atMostOnce bool // its requests must never run more than once
}

// NewClass returns a class.
func NewClass(name string, target Target, atMostOnce bool) Class {
	return Class{name: name, target: target, atMostOnce: atMostOnce}
}

// Name returns the name of the class.
func (c Class) Name() string { return c.name }

// Target returns the target that operators set for the class.
func (c Class) Target() Target { return c.target }

// AtMostOnce reports whether a request of the class must never run more than once.
func (c Class) AtMostOnce() bool { return c.atMostOnce }
