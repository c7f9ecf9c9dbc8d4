// Package leasewitnesses lets the holder of a lease act on while the table is silent, by promises of a
// few other processes, its witnesses.
//
// The holder names its witnesses in its record of the lease. After its base term it acts only while a
// majority of them has promised not to help anyone to acquire the lease, without a gap. A candidate may
// acquire after the base term only when a majority has agreed to promise nothing more for that version of
// the record, or after a term in which the holder has certainly stopped. What the holder decided meanwhile
// is kept by a majority before it is acted upon, so a candidate gets it with their agreement.
package leasewitnesses

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/leaseextension"
	"carawayspread/internal/decision/leasewitness"
)

const (
	// promise is how long a promise lasts: a call of the holder (1.2 s) fits in although some questions
	// are lost. A candidate waits for it at the most after a holder that died during an outage.
	promise = 3 * time.Second
	// askEvery is the interval of questions, and askAfter the age of the last renewal from which on they
	// are asked: a renewal is late then.
	askEvery = 400 * time.Millisecond
	askAfter = 1800 * time.Millisecond
	// maxRounds bounds the rounds of questions whose answers still count.
	maxRounds = 8
)

// Fleet knows other processes and sends them messages. Delivery is not guaranteed.
type Fleet interface {
	// Address returns the address of this process.
	Address() string
	// PeerAddresses returns the addresses of the active processes, this one excluded.
	PeerAddresses() []string
	SendWitness(to string, m carawayspread.WitnessMessage)
}

// Witnesses is this process as holder, as candidate and as witness. It is safe for concurrent use.
type Witnesses struct {
	fleet Fleet
	clock carawayspread.Clock // continues while the system is suspended
	terms leasewitness.Terms

	mu        sync.Mutex
	witness   *leasewitness.Witness
	lastRound uint64
	questions map[uint64]*question

	// The holder's state.
	version   carawayspread.LeaseVersion
	names     []string
	holds     bool
	since     time.Time
	extension *leaseextension.Extension // nil while the lease is not held or names no witnesses
	yielded   bool
	pending   map[int64]bool // windows whose record is at witnesses and not in the table

	// here holds when processes last answered as witnesses, and when they started by then.
	here      map[string]presence
	lastHello time.Time

	// What the last candidacy learned.
	inherited  map[int64]carawayspread.DecidedUsage
	blindUntil time.Time
}

// New returns the witnesses of a lease whose holder acts for the limit at most after its last renewal.
func New(fleet Fleet, clock carawayspread.Clock, limit time.Duration) *Witnesses {
	terms := leasewitness.Terms{Promise: promise, Limit: limit}
	return &Witnesses{
		fleet: fleet, clock: clock, terms: terms, witness: leasewitness.New(clock.Now(), terms),
		// Answers to a predecessor at the same address match no round.
		lastRound: rand.Uint64() >> 1, questions: map[uint64]*question{},
		pending: map[int64]bool{}, here: map[string]presence{}, inherited: map[int64]carawayspread.DecidedUsage{},
	}
}

// Limit returns how long after its last renewal a holder may act.
func (w *Witnesses) Limit() time.Duration { return w.terms.Limit }

// Pending reports whether witnesses keep records of this process that are not in the table.
func (w *Witnesses) Pending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) > 0
}

// Hold states that this process holds that version of the lease, which names the witnesses, for a base
// term that ends then, and that it was renewed at since.
func (w *Witnesses) Hold(version carawayspread.LeaseVersion, names []string, since, baseEnd time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.extension != nil && w.version == version && w.since.Equal(since) {
		return
	}
	w.version, w.names, w.since, w.holds, w.yielded = version, names, since, true, false
	w.extension = nil
	if len(names) > 0 {
		w.extension = leaseextension.New(names, baseEnd, since.Add(w.terms.Limit))
	}
}

// Drop states that this process holds no version of the lease whose witnesses are known.
func (w *Witnesses) Drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extension, w.holds = nil, false
}

// Yield ends the extension with the promises that were given: another process may do better.
func (w *Witnesses) Yield() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.yielded = true
}

// Named returns how many witnesses this process names as the holder.
func (w *Witnesses) Named() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.extension == nil {
		return 0
	}
	return len(w.names)
}

// Until returns until when this process may act as the holder; zero if it may not by promises.
func (w *Witnesses) Until() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.extension == nil {
		return time.Time{}
	}
	return w.extension.Until()
}

// Stored states that the record of a window is in the table.
func (w *Witnesses) Stored(window int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pending, window)
	delete(w.inherited, window)
}

// Forget drops what belongs to windows before that one.
func (w *Witnesses) Forget(oldest int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.witness.Forget(oldest)
	for window := range w.pending {
		if window < oldest {
			delete(w.pending, window)
		}
	}
	for window := range w.inherited {
		if window < oldest {
			delete(w.inherited, window)
		}
	}
}

// Run asks the witnesses for promises while a renewal is late, until ctx ends.
func (w *Witnesses) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.clock.After(askEvery):
		}
		w.askForPromises()
		w.sayHello()
	}
}

func (w *Witnesses) askForPromises() {
	w.mu.Lock()
	now := w.clock.Now()
	if w.extension == nil || w.yielded || now.Sub(w.since) < askAfter || !now.Before(w.extension.Until()) {
		w.mu.Unlock()
		return
	}
	round := w.newQuestionLocked(&question{kind: carawayspread.WitnessPromised, askedAt: now, extension: w.extension})
	m := carawayspread.WitnessMessage{Kind: carawayspread.WitnessPromise, Round: round, Version: w.version}
	names := w.names
	w.mu.Unlock()
	w.send(names, m)
}

// send sends a question to witnesses, of which this process may be one.
func (w *Witnesses) send(names []string, m carawayspread.WitnessMessage) {
	for _, name := range names {
		if name != w.fleet.Address() {
			w.fleet.SendWitness(name, m)
			continue
		}
		for _, answer := range w.answer(m) {
			w.receiveAnswer(name, answer)
		}
	}
}
