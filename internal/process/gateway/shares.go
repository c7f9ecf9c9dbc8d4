package gateway

import (
	"math/rand/v2"

	"carawayspread"
)

// pickService picks a service at random by weight.
func pickService(shares []carawayspread.Share) string {
	total := 0
	for _, share := range shares {
		total += share.Weight
	}
	if total <= 0 {
		return shares[0].Service
	}
	n := rand.IntN(total)
	for _, share := range shares {
		if n -= share.Weight; n < 0 {
			return share.Service
		}
	}
	return shares[0].Service
}
