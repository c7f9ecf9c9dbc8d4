package joining

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

const (
	heartbeat = 500 * time.Millisecond
	tick      = time.Millisecond // one way
	seeds     = 3
)

// member is a process of a fleet that starts.
type member struct {
	joining *Joining
	startAt time.Duration
	beatAt  time.Duration
	known   map[int]bool // heard
	named   map[int]bool // named by a peer and not heard yet
	greets  int
}

// message is on its way from one process to another.
type message struct {
	from, to int
	names    []int
}

// fleet plays the start of all processes, with or without greetings.
type fleet struct {
	rng     *rand.Rand
	clock   *clockwork.FakeClock
	members []*member
	greets  bool
	sent    []message
}

func (f *fleet) send(from int, to []int, names int) {
	var known []int
	for other := range f.members[from].known {
		known = append(known, other)
	}
	slices.Sort(known)
	f.rng.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	for _, other := range to {
		if f.rng.IntN(20) > 0 { // one in twenty is lost
			f.sent = append(f.sent, message{from, other, known[:min(names, len(known))]})
		}
	}
}

func (f *fleet) greet(from int, to ...int) {
	f.members[from].greets += len(to)
	f.send(from, to, 16)
}

func (f *fleet) receive(m message) {
	p := f.members[m.to]
	if p.joining == nil {
		return
	}
	isNew := !p.known[m.from]
	p.known[m.from] = true
	delete(p.named, m.from)
	if isNew && f.greets && p.joining.Heard(fmt.Sprint(m.from)) {
		f.greet(m.to, m.from)
	}
	for _, other := range m.names {
		if other == m.to || p.known[other] || p.named[other] {
			continue
		}
		p.named[other] = true
		if f.greets && p.joining.Named(fmt.Sprint(other)) {
			f.greet(m.to, other)
		}
	}
}

func (f *fleet) beat(n int, now time.Duration) {
	p := f.members[n]
	to := map[int]bool{}
	for _, others := range []map[int]bool{p.known, p.named} {
		for other := range others {
			to[other] = true
		}
	}
	for seed := range seeds {
		to[seed] = seed != n
	}
	var all []int
	for other, ok := range to {
		if ok {
			all = append(all, other)
		}
	}
	slices.Sort(all)
	f.send(n, all, 6)
	p.beatAt = now + heartbeat
	if f.greets {
		p.beatAt = now + p.joining.Interval(heartbeat, len(p.known) > 0)
	}
}

// play starts all processes within 0.3 s and returns the part of the others that a process knows on the mean, 0.1 s
// after the last has started.
func (f *fleet) play(size int) float64 {
	const within, after = 300 * time.Millisecond, 100 * time.Millisecond
	began := f.clock.Now()
	for range size {
		f.members = append(f.members, &member{startAt: time.Duration(f.rng.Int64N(int64(within))), known: map[int]bool{}, named: map[int]bool{}})
	}
	for now := time.Duration(0); now < within+after; now = f.clock.Now().Sub(began) {
		arriving := f.sent
		f.sent = nil
		for _, m := range arriving {
			f.receive(m)
		}
		for n, p := range f.members {
			if p.joining == nil && now >= p.startAt {
				p.joining, p.beatAt = New(f.clock), now
			}
			if p.joining != nil && now >= p.beatAt {
				f.beat(n, now)
			}
		}
		f.clock.Advance(tick)
	}
	known := 0
	for _, p := range f.members {
		known += len(p.known)
	}
	return float64(known) / float64(size*(size-1))
}

// Load pattern: all processes of a fleet start within 0.3 s, when all their callers come back. Each must know the
// others by the time at which it places the requests of that moment, as it places them on the same engines
// otherwise; and a large fleet must not flood its links with greetings.
func TestStartOfAllAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		size  int
		known float64 // at least
	}{
		"4":   {4, 0.95},
		"24":  {24, 0.95},
		"300": {300, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				without := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock()}
				with := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(), greets: true}
				before, after := without.play(test.size), with.play(test.size)
				t.Logf("known %.2f, %.2f without greetings", after, before)
				qt.Check(t, after >= test.known, qt.IsTrue)
				qt.Check(t, after > before, qt.IsTrue)
				for _, p := range with.members {
					qt.Check(t, p.greets <= 2*MaxGreetings, qt.IsTrue, qt.Commentf("%d greetings", p.greets))
				}
			}
		})
	}
}
