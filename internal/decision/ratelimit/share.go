package ratelimit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Share returns a process's share of an endpoint's rate, from 0 to 1. The fleet holds the
// identifiers of all live processes, itself included; it is empty while they are not known, and
// the share is zero then. The processes that use the endpoint are those with the highest scores
// for it (rendezvous hashing), so that a process that joins or leaves changes the shares of few.
func Share(endpoint string, rate float64, self uint64, fleet []uint64) float64 {
	if len(fleet) == 0 {
		return 0
	}
	users := min(max(1, int(rate)), len(fleet))
	if users == len(fleet) {
		return 1 / float64(max(1, users))
	}
	own, higher := score(endpoint, self), 0
	for _, process := range fleet {
		if process != self && score(endpoint, process) > own {
			higher++
		}
	}
	if higher >= users {
		return 0
	}
	return 1 / float64(users)
}

func score(endpoint string, process uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(endpoint), process))
}
