package hedging

import (
	"math"
	"time"
)

const (
	// Durations are counted in steps of a tenth from a millisecond to a minute.
	steps    = 116
	stepSize = 1.1
	shortest = time.Millisecond
	// window is the number of answers after which older ones count half.
	window = 1000
)

// distribution is the distribution of how long attempts of one route take, in which older ones count less.
type distribution struct {
	counts [steps]float32
	total  float64
}

func (d *distribution) add(took time.Duration) {
	if d.total >= window {
		for i := range d.counts {
			d.counts[i] /= 2
		}
		d.total /= 2
	}
	i := 0
	if took > shortest {
		i = min(steps-1, int(math.Ceil(math.Log(float64(took)/float64(shortest))/math.Log(stepSize))))
	}
	d.counts[i]++
	d.total++
}

// quantile returns the time within which that share of the attempts was answered, rounded up by a tenth at
// most.
func (d *distribution) quantile(share float64) time.Duration {
	var sum float64
	for i, n := range d.counts {
		sum += float64(n)
		if sum >= share*d.total {
			return time.Duration(float64(shortest) * math.Pow(stepSize, float64(i)))
		}
	}
	return time.Duration(float64(shortest) * math.Pow(stepSize, steps-1))
}
