package room

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Answers are counted with what nine in ten of their class take, whatever their callers expect of them.
func TestOutputIsLearnedByClass(t *testing.T) {
	for name, c := range map[string]struct {
		hint    int
		sigma   float64 // of the lengths, whose median is 100
		answers int
		max     int // of 1,000
	}{
		"unknown":        {hint: 100, sigma: 0.5, answers: 7, max: 1000},
		"hint":           {hint: 100, sigma: 0.5, answers: 400, max: 250},
		"hint far off":   {hint: 100, sigma: 1.2, answers: 400, max: 700},
		"no hint":        {sigma: 0.5, answers: 400, max: 250},
		"hint too large": {hint: 5000, sigma: 0.5, answers: 400, max: 250},
	} {
		t.Run(name, func(t *testing.T) {
			l, random := NewLengths(), rand.New(rand.NewPCG(1, 2))
			p := &carawayspread.Prompt{Tokens: 100, MaxOutputTokens: 1000, LengthHint: c.hint}
			draw := func() int {
				return min(1000, int(100*math.Exp(c.sigma*random.NormFloat64())))
			}
			for range c.answers {
				l.Learn("r", p, draw())
			}
			counted, longer := l.Output("r", p), 0
			for range 1000 {
				if draw() > counted {
					longer++
				}
			}
			t.Logf("counted %d, %d of 1,000 longer", counted, longer)
			qt.Check(t, counted <= c.max, qt.IsTrue)
			qt.Check(t, longer <= 200, qt.IsTrue)
			qt.Check(t, l.Output("other", p), qt.Equals, 1000)
		})
	}
}

// What is counted is a whole number of blocks, and grows with an answer until the longest allowed.
func TestTokensAreWholeBlocks(t *testing.T) {
	p := &carawayspread.Prompt{Tokens: 100, MaxOutputTokens: 50}
	qt.Check(t, NewLengths().Tokens("r", p), qt.Equals, 160)
	qt.Check(t, Grown(p, 30), qt.Equals, 160)
	qt.Check(t, Grown(p, 70), qt.Equals, 176, qt.Commentf("longer than allowed"))
}

// A class that no request names any more must not keep others from being learned without bound.
func TestClassesAreBounded(t *testing.T) {
	l := NewLengths()
	for n := range 2 * maxClasses {
		l.Learn(string(rune(n)), &carawayspread.Prompt{MaxOutputTokens: 9}, 1)
	}
	qt.Check(t, len(l.classes), qt.Equals, maxClasses)
}

// The margin covers what peers place in the time that their reports take, nearly always, and is small beside
// an engine's memory: 24 processes place ten prompts of about 12,000 tokens a second at an engine of 500,000.
func TestMarginCoversWhatIsNotReported(t *testing.T) {
	const peers = 23
	delay := reportDelay + peers*reportDelayPerPeer
	random, now := rand.New(rand.NewPCG(1, 2)), time.Unix(0, 0)
	var u Unreported
	exceeded, sum := 0, 0
	for n := range 2000 {
		placed := 0
		for range 10 * int(delay/time.Millisecond) {
			if random.Float64() < 1e-3 {
				placed += int(12000 * random.ExpFloat64())
			}
		}
		if n > 100 && placed > u.Margin(now, peers) {
			exceeded++
		}
		sum += u.Margin(now, peers)
		now = now.Add(delay)
		u.Report(now, placed)
	}
	t.Logf("exceeded %d times of 1,900, mean %d", exceeded, sum/2000)
	qt.Check(t, exceeded < 190, qt.IsTrue)
	qt.Check(t, sum/2000 < 50_000, qt.IsTrue)
	qt.Check(t, u.Margin(now, 0), qt.Equals, 0)
}
