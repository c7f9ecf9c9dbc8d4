package eventorder

import (
	"fmt"
	"strconv"
)

// Verdict is how an event follows the one before it.
type Verdict int

// Verdicts. Only events after a seam are judged.
const (
	Follows Verdict = iota // nothing shows that it does not
	Repeats                // it, or a later one, came before
	Skips                  // an event between the two is missing
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return [...]string{"follows", "repeats", "skips"}[v] }

// Order follows the identifiers of one stream. It is not safe for concurrent use.
type Order struct {
	steps   *Steps
	service string

	last    string // identifier of the last event that has one
	unnamed bool   // an event without an identifier came after it
	number  int64  // of last
	counted bool   // last is a number
	joined  bool   // events of more than one run follow one another
	ones    int    // steps of one between two events of the first run
	others  int    // other steps there
}

// New returns the order of a stream of the service, of which its caller has the events up to the
// identifier; empty for a stream that begins.
func New(steps *Steps, service, after string) *Order {
	o := &Order{steps: steps, service: service, joined: after != ""}
	o.set(after)
	return o
}

// Join says that the next event comes from another run, which was asked to begin after the last event.
func (o *Order) Join() {
	o.End()
	o.joined = true
}

// End records how the identifiers of the first run rise, which nothing has interrupted.
func (o *Order) End() {
	if !o.joined {
		o.steps.record(o.service, o.ones, o.others)
	}
}

// Judge returns how an event with that identifier follows the last one. An event without an identifier, and
// one of which nothing can be told, follows.
func (o *Order) Judge(id string) Verdict {
	step, rises := o.step(id)
	switch {
	case !o.joined || id == "":
		return Follows
	case id == o.last, rises && step <= 0:
		return Repeats
	case rises && step > 1 && o.steps.dense(o.service):
		return Skips
	}
	return Follows
}

// Take takes an event with that identifier for the last one.
func (o *Order) Take(id string) {
	if id == "" {
		o.unnamed = true
		return
	}
	if step, rises := o.step(id); rises && !o.joined {
		if step == 1 {
			o.ones++
		} else {
			o.others++
		}
	}
	o.set(id)
}

// step returns by how much the identifier is above the last one, if both are numbers.
func (o *Order) step(id string) (step int64, known bool) {
	number, counted := parse(id)
	return number - o.number, counted && o.counted
}

// Last returns the identifier of the last event that has one.
func (o *Order) Last() string { return o.last }

// GoesOn reports whether another run may go on after the last event: its identifier names that event.
func (o *Order) GoesOn() bool { return o.last != "" && !o.unnamed }

func (o *Order) set(id string) {
	o.last, o.unnamed = id, false
	o.number, o.counted = parse(id)
}

// parse returns the number that an identifier is. None is negative, so that a difference does not overflow.
func parse(id string) (int64, bool) {
	number, err := strconv.ParseInt(id, 10, 64)
	return max(0, number), err == nil && number >= 0
}

// OutOfOrderError says that an engine that was to continue a stream began, or went on, elsewhere.
type OutOfOrderError struct {
	Verdict   Verdict
	ID, After string // identifiers of the event, and of the last one that the caller has
}

// Error implements error.
func (e OutOfOrderError) Error() string {
	return fmt.Sprintf("event %q does not follow event %q: it %s", e.ID, e.After, e.Verdict)
}
