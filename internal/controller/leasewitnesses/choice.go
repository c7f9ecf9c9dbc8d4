package leasewitnesses

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/leasewitness"
)

const (
	// wanted is how many witnesses a holder names, of which two may be gone; with fewer than needed it
	// names none.
	wanted = 5
	needed = 3
	// helloEvery is the interval at which a holder finds out who may be a witness, helloFanout how many
	// it asks besides its witnesses, and hereFor how long an answer of an active process counts: as any
	// change of witnesses may coincide with an outage, lost answers are no reason for one.
	helloEvery  = 3 * time.Second
	helloFanout = 4
	hereFor     = 30 * time.Second
	// freshRenewal is the age up to which the last renewal shows that the table answers.
	freshRenewal = 2 * time.Second
)

// presence is an answer of a process that may be a witness. Those of older releases do not answer.
type presence struct {
	at  time.Time
	age time.Duration // of the process
}

// Choose returns the witnesses that the next record names, given those of the last one. They stay the
// same while they keep records that are not in the table, and while the table is silent: it would not be
// known which of the two records it holds.
func (w *Witnesses) Choose(current []string) []string {
	active := w.fleet.PeerAddresses()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if len(w.pending) > 0 || w.holds && now.Sub(w.since) > freshRenewal {
		return current
	}
	var able []string
	for name, p := range w.here {
		if slices.Contains(active, name) && now.Sub(p.at) < hereFor && p.age+now.Sub(p.at) >= leasewitness.WithDrift(w.terms.Limit) {
			able = append(able, name)
		}
	}
	chosen := slices.DeleteFunc(slices.Clone(current), func(name string) bool { return !slices.Contains(able, name) })
	for _, i := range rand.Perm(len(able)) {
		if len(chosen) < wanted && !slices.Contains(chosen, able[i]) {
			chosen = append(chosen, able[i])
		}
	}
	if len(chosen) < needed {
		return nil
	}
	return chosen
}

// helloDue reports whether this process is the holder and the last hello is long enough ago.
func (w *Witnesses) helloDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if !w.holds || now.Sub(w.lastHello) < helloEvery {
		return false
	}
	w.lastHello = now
	return true
}

// sayHello asks the witnesses and a few others whether they may be witnesses, while this process is the
// holder.
func (w *Witnesses) sayHello() {
	if !w.helloDue() {
		return
	}
	peers := w.fleet.PeerAddresses()
	w.mu.Lock()
	now := w.clock.Now()
	maps.DeleteFunc(w.here, func(_ string, p presence) bool { return now.Sub(p.at) >= hereFor })
	to := slices.Clone(w.names)
	for _, i := range rand.Perm(len(peers)) {
		if len(to) < len(w.names)+helloFanout && !slices.Contains(to, peers[i]) {
			to = append(to, peers[i])
		}
	}
	round := w.newQuestionLocked(&question{kind: carawayspread.WitnessHere, askedAt: now})
	w.mu.Unlock()
	w.send(to, carawayspread.WitnessMessage{Kind: carawayspread.WitnessHello, Round: round})
}
