package rolepolicy

import (
	"math"
	"time"

	"carawayspread"
)

// load is arriving work, in engine-seconds per second.
type load struct {
	prefill, decode float64 // sums over the classes; not negative
	classes         []classLoad
}

// classLoad is the load of one class.
type classLoad struct {
	class           string
	gap             float64 // target for the time between tokens, in seconds; zero means none
	prefill, decode float64 // not negative
}

// newLoad converts a demand to engine-seconds by the measured rates of the fleet, which must be
// positive. Queued work is counted as if it arrived evenly within the horizon.
func newLoad(demand carawayspread.Demand, f fleet, horizon time.Duration) load {
	var l load
	for _, class := range demand.Classes {
		l.add(classLoad{
			class:   class.Class.Name(),
			gap:     class.Class.Target().BetweenTokens().Seconds(),
			prefill: (class.PrefillTokens + class.QueuedPrefill/horizon.Seconds()) / f.prefillRate,
			decode:  (class.DecodeTokens + class.QueuedDecode/horizon.Seconds()) / f.decodeRate,
		})
	}
	return l
}

func (l *load) add(p classLoad) {
	l.prefill += p.prefill
	l.decode += p.decode
	l.classes = append(l.classes, p)
}

func (l load) total() float64 { return l.prefill + l.decode }

// prefillShare returns the share of prefill in the load.
func (l load) prefillShare() float64 {
	if l.total() == 0 {
		return 0
	}
	return l.prefill / l.total()
}

// forClass returns the load of a class, which is empty when no work of the class arrives.
func (l load) forClass(class string) classLoad {
	for _, p := range l.classes {
		if p.class == class {
			return p
		}
	}
	return classLoad{}
}

// combine returns a*l + b*other with the classes and targets of other, and no value below zero.
func (l load) combine(a float64, other load, b float64) load {
	var sum load
	for _, p := range other.classes {
		q := l.forClass(p.class)
		p.prefill = math.Max(0, a*q.prefill+b*p.prefill)
		p.decode = math.Max(0, a*q.decode+b*p.decode)
		sum.add(p)
	}
	return sum
}
