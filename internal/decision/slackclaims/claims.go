// Package slackclaims decides which retries a process may take out of what the whole fleet shares.
//
// A process that has started does not know what was spent before, and one with little traffic has a small share.
// What all have claimed recently is kept in one item of the platform's table, so that a retry is sent as long as
// the fleet has one left, whoever needs it, and starts change nothing.
package slackclaims

import "time"

const (
	// Lifetime is how long claimed retries may be spent, counted from before the claim.
	Lifetime = time.Second
	// margin is how much longer claims count than the window, besides their lifetime: retries arrive up to 2.1 s
	// after they were spent, and the clocks of processes and table differ by the time of a call.
	margin = 2500 * time.Millisecond
	// blockDivisor is the reciprocal of the share of the limit that one claim takes, and maxBlock the most retries
	// of one claim. What is claimed and not needed is lost; in a large fleet single claims would conflict.
	blockDivisor = 40
	maxBlock     = 8
)

// Claim is one claim of retries.
type Claim struct {
	AtMs    int64 `json:"atMs"` // clock of the table
	Retries int   `json:"retries"`
}

// Claims are the claims of one service that still count, oldest first.
type Claims struct {
	Claims []Claim `json:"claims"`
	// Generation is that of the table when this was written. Claims are missing in a table that was restored
	// from a backup since.
	Generation uint64 `json:"generation"`
}

// Take claims retries at that time of the table's clock, of limit within a window. If none are left, it returns
// zero and how long none will be.
func (c *Claims) Take(now time.Duration, limit float64, window time.Duration) (retries int, wait time.Duration) {
	counts := (window + Lifetime + margin).Milliseconds()
	taken := 0
	kept := c.Claims[:0:0]
	for _, claim := range c.Claims {
		if now.Milliseconds()-claim.AtMs < counts {
			kept = append(kept, claim)
			taken += claim.Retries
		}
	}
	c.Claims = kept
	retries = min(int(limit)-taken, max(1, min(maxBlock, int(limit)/blockDivisor)))
	if retries <= 0 {
		if len(kept) == 0 {
			return 0, window
		}
		return 0, time.Duration(kept[0].AtMs+counts)*time.Millisecond - now
	}
	c.Claims = append(c.Claims, Claim{now.Milliseconds(), retries})
	return retries, 0
}

// maxRetries bounds the retries of one claim.
const maxRetries = 1 << 20

// Possible reports whether processes can have made the claims by that time of the table's clock.
func (c *Claims) Possible(now, window time.Duration) bool {
	latest := (now + window + Lifetime + margin).Milliseconds()
	for _, claim := range c.Claims {
		if claim.AtMs < 0 || claim.AtMs > latest || claim.Retries < 0 || claim.Retries > maxRetries {
			return false
		}
	}
	return true
}

// Restored notes that earlier claims may be missing: all that may be taken in a window counts as claimed.
func (c *Claims) Restored(now time.Duration, limit float64, generation uint64) {
	c.Claims, c.Generation = []Claim{{now.Milliseconds(), int(limit)}}, generation
}
