package backoff

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawayspread"
)

// A thousand processes lose the store at the same time. Their n-th attempts must be spread over the
// whole bound: no tenth of it gets more than twice its share. Without jitter one tenth gets them all.
func TestJitterSpreadsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Second)).Draw(t, "base"))
		limit := base * time.Duration(rapid.Int64Range(1, 100).Draw(t, "limit"))
		b := New(carawayspread.SystemClock(), base, limit)
		attempt := rapid.IntRange(1, 60).Draw(t, "try")
		bound := b.Bound(attempt)
		if bound < base || bound > limit {
			t.Fatalf("bound %v is not in [%v, %v]", bound, base, limit)
		}
		var tenths [10]int
		for range 1000 {
			tenths[b.Draw(attempt)*10/bound]++
		}
		for _, n := range tenths {
			if n > 200 {
				t.Fatalf("draws in each tenth: %v", tenths)
			}
		}
	})
}
