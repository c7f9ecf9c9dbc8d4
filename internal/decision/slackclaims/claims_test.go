package slackclaims

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against claims that add up to more than the limit, in any window in which what they allow may arrive.
func TestClaimsKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		limit := float64(rapid.IntRange(0, 90).Draw(t, "limit"))
		var c Claims
		now := time.Hour
		type claim struct {
			at      time.Duration
			retries int
		}
		var all []claim
		for range rapid.IntRange(1, 200).Draw(t, "claims") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			if n, wait := c.Take(now, limit, window); n > 0 {
				all = append(all, claim{now, n})
			} else if wait <= 0 {
				t.Fatalf("refused without a wait")
			}
		}
		for i, first := range all {
			sum := 0
			for _, later := range all[i:] {
				if later.at-first.at < window+Lifetime+margin {
					sum += later.retries
				}
			}
			if float64(sum) > limit {
				t.Fatalf("%d claimed of %.0f", sum, limit)
			}
		}
	})
}

// Guards against claims that are forgotten as the table is restored from a backup.
func TestRestoredTableGrantsNothingForAWindow(t *testing.T) {
	const window = 10 * time.Second
	var c Claims
	c.Restored(time.Hour, 20, 2)
	n, wait := c.Take(time.Hour+window, 20, window)
	qt.Check(t, n, qt.Equals, 0)
	n, _ = c.Take(time.Hour+window+wait, 20, window)
	qt.Check(t, n > 0, qt.IsTrue)
}
