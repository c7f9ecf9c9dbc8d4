package leasewitnesses

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/leaseextension"
)

const (
	// closeWait and keepWait bound the wait for the answers of witnesses: some round trips between zones,
	// so that a lost datagram is sent again.
	closeWait = 200 * time.Millisecond
	keepWait  = 300 * time.Millisecond
	askAgain  = 60 * time.Millisecond
)

// ErrNoMajority is returned when too few witnesses have answered.
var ErrNoMajority = errors.New("too few witnesses have answered")

// question is one round of questions and its answers.
type question struct {
	kind      carawayspread.WitnessKind // of the answers
	askedAt   time.Time
	extension *leaseextension.Extension // of a question for promises
	agreed    map[string]carawayspread.WitnessMessage
	kept      map[string]map[int64]carawayspread.DecidedUsage // by witness and window
	changed   chan struct{}                                   // signals an answer
}

// newQuestionLocked registers a round. Those for promises are registered until maxRounds later ones are.
func (w *Witnesses) newQuestionLocked(q *question) (round uint64) {
	w.lastRound++
	q.agreed = map[string]carawayspread.WitnessMessage{}
	q.kept = map[string]map[int64]carawayspread.DecidedUsage{}
	q.changed = make(chan struct{}, 1)
	w.questions[w.lastRound] = q
	for old := range w.questions {
		if old+maxRounds <= w.lastRound {
			delete(w.questions, old)
		}
	}
	return w.lastRound
}

// completeLocked returns the witnesses that have agreed and whose records have all arrived.
func (q *question) completeLocked() []string {
	var complete []string
	for name, m := range q.agreed {
		missing := func(window int64) bool {
			_, ok := q.kept[name][window]
			return !ok
		}
		if !slices.ContainsFunc(m.Kept, missing) {
			complete = append(complete, name)
		}
	}
	return complete
}

// ask sends the question to the witnesses, repeatedly, until enough of them have agreed or the time is up.
func (w *Witnesses) ask(ctx context.Context, names []string, m carawayspread.WitnessMessage, answer carawayspread.WitnessKind, enough int, wait time.Duration) *question {
	q := &question{kind: answer}
	w.mu.Lock()
	q.askedAt = w.clock.Now()
	m.Round = w.newQuestionLocked(q)
	w.mu.Unlock()
	timeout := w.clock.After(wait)
	for {
		w.mu.Lock()
		complete := q.completeLocked()
		w.mu.Unlock()
		if len(complete) >= enough {
			return q
		}
		w.send(slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(complete, name) }), m)
		again := w.clock.After(askAgain)
		for waiting := true; waiting; {
			select {
			case <-q.changed:
				w.mu.Lock()
				waiting = len(q.completeLocked()) < enough
				w.mu.Unlock()
			case <-again:
				waiting = false
			case <-timeout:
				return q
			case <-ctx.Done():
				return q
			}
		}
	}
}

// Close asks the witnesses to promise nothing more under that version, and reports whether a majority
// agrees. What they keep is inherited.
func (w *Witnesses) Close(ctx context.Context, version carawayspread.LeaseVersion, names []string) bool {
	m := carawayspread.WitnessMessage{Kind: carawayspread.WitnessClose, Version: version}
	q := w.ask(ctx, names, m, carawayspread.WitnessClosed, len(names), closeWait)
	w.mu.Lock()
	defer w.mu.Unlock()
	complete := q.completeLocked()
	majority := leaseextension.Majority(len(names))
	if len(complete) < majority {
		return false
	}
	w.inherited = map[int64]carawayspread.DecidedUsage{}
	for _, name := range complete {
		for window, record := range q.kept[name] {
			if known, ok := w.inherited[window]; !ok || known.Version.Before(record.Version) {
				w.inherited[window] = record
			}
		}
	}
	for window := range w.inherited {
		w.pending[window] = true
	}
	// Any majority that kept a record shares a witness with the majority that started first. If that one
	// does not have the record, it has started since.
	ages := make([]time.Duration, 0, len(complete))
	for _, name := range complete {
		ages = append(ages, q.agreed[name].Age)
	}
	slices.SortFunc(ages, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	w.blindUntil = w.clock.Now().Add(-ages[majority-1])
	return true
}

// Reset states that the lease was acquired when no holder could have left records for windows that may
// still be reported.
func (w *Witnesses) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.inherited)
	w.blindUntil = time.Time{}
}

// Inherited returns the counts that a holder before this one decided for a window; ok is false if it has
// decided nothing, as far as is known.
func (w *Witnesses) Inherited(window int64) (counts []carawayspread.UsageCount, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	record, ok := w.inherited[window]
	return record.Counts, ok
}

// BlindFor returns the time since which it is known what holders before this one have decided; known is
// false if all is known.
func (w *Witnesses) BlindFor() (since time.Duration, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.blindUntil.IsZero() {
		return 0, false
	}
	return w.clock.Now().Sub(w.blindUntil), true
}

// Keep has a majority of the witnesses keep the counts of a window. Only then they may be acted upon, if
// the lease is held still. After an error some may keep them.
func (w *Witnesses) Keep(ctx context.Context, window int64, counts []carawayspread.UsageCount) error {
	w.mu.Lock()
	if w.extension == nil {
		w.mu.Unlock()
		return ErrNoMajority
	}
	names, version := w.names, w.version
	w.pending[window] = true
	w.mu.Unlock()
	usage := carawayspread.DecidedUsage{Version: version, Window: window, Counts: counts}
	m := carawayspread.WitnessMessage{Kind: carawayspread.WitnessDecided, Version: version, Usage: usage}
	majority := leaseextension.Majority(len(names))
	q := w.ask(ctx, names, m, carawayspread.WitnessAccepted, majority, keepWait)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(q.completeLocked()) < majority {
		return ErrNoMajority
	}
	return nil
}

// Receive handles a message of the process at that address.
func (w *Witnesses) Receive(from string, m carawayspread.WitnessMessage) {
	switch m.Kind {
	case carawayspread.WitnessPromise, carawayspread.WitnessClose, carawayspread.WitnessDecided, carawayspread.WitnessHello:
		for _, answer := range w.answer(m) {
			w.fleet.SendWitness(from, answer)
		}
	default:
		w.receiveAnswer(from, m)
	}
}

// answer answers a question as a witness; no answer is a refusal.
func (w *Witnesses) answer(m carawayspread.WitnessMessage) (answers []carawayspread.WitnessMessage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	reply := carawayspread.WitnessMessage{Round: m.Round, Version: m.Version}
	switch m.Kind {
	case carawayspread.WitnessPromise:
		if !w.witness.Promise(now, m.Version) {
			return nil
		}
		reply.Kind = carawayspread.WitnessPromised
	case carawayspread.WitnessClose:
		if !w.witness.Close(now, m.Version) {
			return nil
		}
		for _, record := range w.witness.Records() {
			answers = append(answers, carawayspread.WitnessMessage{Kind: carawayspread.WitnessKept, Round: m.Round, Version: m.Version, Usage: record})
			reply.Kept = append(reply.Kept, record.Window)
		}
		reply.Kind, reply.Age = carawayspread.WitnessClosed, w.witness.Age(now)
	case carawayspread.WitnessDecided:
		if !w.witness.Keep(m.Usage) {
			return nil
		}
		reply.Kind = carawayspread.WitnessAccepted
	case carawayspread.WitnessHello:
		reply.Kind, reply.Age = carawayspread.WitnessHere, w.witness.Age(now)
	default:
		return nil
	}
	return append(answers, reply)
}

// receiveAnswer records the answer of a witness.
func (w *Witnesses) receiveAnswer(from string, m carawayspread.WitnessMessage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.questions[m.Round]
	if q == nil {
		return
	}
	if m.Kind == carawayspread.WitnessHere || m.Kind == carawayspread.WitnessClosed {
		w.here[from] = presence{at: w.clock.Now(), age: m.Age}
	}
	switch {
	case m.Kind == carawayspread.WitnessKept && q.kind == carawayspread.WitnessClosed:
		if q.kept[from] == nil {
			q.kept[from] = map[int64]carawayspread.DecidedUsage{}
		}
		q.kept[from][m.Usage.Window] = m.Usage
	case m.Kind == q.kind && q.extension != nil:
		q.extension.Promised(from, q.askedAt.Add(w.terms.Promise), w.clock.Now())
	case m.Kind == q.kind:
		q.agreed[from] = m
	}
	select {
	case q.changed <- struct{}{}:
	default:
	}
}
