// Package enginespeed estimates how fast one engine works, from measurements of all processes.
//
// Load: engines of one service that differ up to three times in speed, some of which work several
// times slower for some seconds, before many processes each of which sees a request there every ten
// seconds. A process that relies on its own answers sends slow engines as much as fast ones, and one
// that has just started does so for the whole time. A process that takes a slow moment for a slow
// engine avoids that engine long after.
package enginespeed

import (
	"math"
	"time"

	"carawayspread"
)

const (
	// lastingTime is how long evidence of the lasting speed counts: several times as long as an engine
	// works slower for a while, so that such a time is a small part of the evidence.
	lastingTime = 30 * time.Second
	// passingTime is how long evidence of a passing slowness counts. Without new evidence an engine is
	// used again after two or three times as long, which brings new evidence.
	passingTime = 800 * time.Millisecond
	// usualDeviation bounds what one measurement counts against known evidence; a larger deviation is
	// most likely a passing one.
	usualDeviation = 0.3
	// knownWeight is how many times the prior evidence must weigh to bound what follows.
	knownWeight = 4
	// maxWeight bounds the evidence of the lasting speed, and maxPassingWeight that of a passing
	// slowness: more of it says no more, and would outlast the slowness.
	maxWeight        = 256
	maxPassingWeight = 8
	// noPassingWeight is the weight of the assumption that an engine works as usual: one late answer
	// may have waited for something unknown, a second one shows a slowness.
	noPassingWeight = 1
	// minPassing is the least slowness that counts as one; measurements vary by less in any case.
	minPassing = 0.3
	// maxRatio bounds a measurement: six times slower or faster than nominal.
	maxRatio = 1.8
)

// Prior is what engines of the same kind show of one that nothing is known of.
type Prior struct {
	// Ratio is the time that work takes there, relative to the nominal one.
	Ratio float64
	// Weight is that of one measurement in the whole fleet, which is off by as much as engines differ: one
	// part for each process, as each holds such a part of the evidence.
	Weight float64
}

// Estimate is what is known of the speed of one engine at one kind of work. The zero value knows
// nothing.
type Estimate struct {
	ratios, weight float64 // of the lasting speed, as of lastingAt
	lastingAt      time.Time

	deviations, passingWeight float64 // of the passing slowness, as of passingAt
	passingAt                 time.Time
}

// Observe adds a measurement that no queue has lengthened: the time that some work took, relative to
// its nominal time, with a weight of at most 1.
func (e *Estimate) Observe(now time.Time, ratio, weight float64, prior Prior) {
	ratio = math.Log(ratio)
	if math.IsNaN(ratio) {
		return
	}
	ratio = max(-maxRatio, min(maxRatio, ratio))
	e.fade(now)
	usual := e.ratio(prior)
	e.deviations += weight * (ratio - usual)
	e.passingWeight += weight
	e.boundPassing()
	if e.weight >= knownWeight*prior.Weight {
		ratio = max(usual-usualDeviation, min(usual+usualDeviation, ratio))
	}
	e.add(ratio, weight)
}

// Lasting returns how many times its nominal time work usually takes.
func (e *Estimate) Lasting(prior Prior) float64 { return math.Exp(e.ratio(prior)) }

// Passing returns how many times longer than usual work takes at the moment; at least 1.
func (e *Estimate) Passing(now time.Time) float64 {
	faded := fading(now.Sub(e.passingAt), passingTime)
	slowness := e.deviations * faded / (e.passingWeight*faded + noPassingWeight)
	if slowness < minPassing {
		return 1
	}
	return math.Exp(slowness)
}

// Known reports whether there is any evidence of the lasting speed.
func (e *Estimate) Known() bool { return e.weight > 0 }

// Evidence returns the evidence of the lasting speed.
func (e *Estimate) Evidence() carawayspread.SpeedShare {
	if e.weight <= 0 {
		return carawayspread.SpeedShare{}
	}
	return carawayspread.SpeedShare{Ratio: e.ratios / e.weight, Weight: e.weight}
}

// Share hands over half of the evidence of the lasting speed.
//
// Evidence that each process told all others in full would count again at each step. Halves are held
// once in the whole fleet; passed on at random, they mix until all processes hold the same mean. A
// datagram that is lost loses evidence and distorts none.
func (e *Estimate) Share(now time.Time) carawayspread.SpeedShare {
	e.fade(now)
	if e.weight <= 0 {
		return carawayspread.SpeedShare{}
	}
	share := e.Evidence()
	share.Weight /= 2
	e.ratios, e.weight = e.ratios/2, e.weight/2
	return share
}

// Receive adds evidence of the lasting speed that another process has handed over.
func (e *Estimate) Receive(now time.Time, share carawayspread.SpeedShare) {
	if !(share.Weight > 0) || !(math.Abs(share.Ratio) <= maxRatio) {
		return
	}
	e.fade(now)
	e.add(share.Ratio, min(maxWeight, share.Weight))
}

// Slowness returns the evidence of a passing slowness.
func (e *Estimate) Slowness(now time.Time) carawayspread.PassingSlowness {
	e.fade(now)
	if e.passingWeight <= 0 {
		return carawayspread.PassingSlowness{}
	}
	return carawayspread.PassingSlowness{Ratio: max(0, e.deviations/e.passingWeight), Weight: e.passingWeight}
}

// ReceiveSlowness takes over the evidence of a passing slowness of another process if it weighs more
// than what is known here.
//
// The evidence is not added up: the same may arrive several times, by several ways.
func (e *Estimate) ReceiveSlowness(now time.Time, s carawayspread.PassingSlowness) {
	e.fade(now)
	weight := min(maxPassingWeight, s.Weight)
	if weight > e.passingWeight && s.Ratio >= 0 && s.Ratio <= 2*maxRatio {
		e.deviations, e.passingWeight = weight*s.Ratio, weight
	}
}

// Differ reports whether two slownesses differ so much that placements do.
func Differ(a, b float64) bool { return max(a, b) > min(a, b)*math.Exp(minPassing) }

func (e *Estimate) ratio(prior Prior) float64 {
	return (e.ratios + prior.Weight*math.Log(prior.Ratio)) / (e.weight + prior.Weight)
}

func (e *Estimate) add(ratio, weight float64) {
	e.ratios += weight * ratio
	e.weight += weight
	if e.weight > maxWeight {
		e.ratios *= maxWeight / e.weight
		e.weight = maxWeight
	}
}

func (e *Estimate) boundPassing() {
	if e.passingWeight > maxPassingWeight {
		e.deviations *= maxPassingWeight / e.passingWeight
		e.passingWeight = maxPassingWeight
	}
}

// fade lets evidence lose weight with its age.
func (e *Estimate) fade(now time.Time) {
	lasting, passing := fading(now.Sub(e.lastingAt), lastingTime), fading(now.Sub(e.passingAt), passingTime)
	e.ratios, e.weight, e.lastingAt = e.ratios*lasting, e.weight*lasting, now
	e.deviations, e.passingWeight, e.passingAt = e.deviations*passing, e.passingWeight*passing, now
}

// fading returns the part of the evidence that is left after a while.
func fading(age, time time.Duration) float64 {
	return math.Exp(-max(0, float64(age)/float64(time)))
}
