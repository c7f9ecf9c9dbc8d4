package ratelimit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Part returns the part of an endpoint's rate that a process has, from 0 to 1. The
// fleet names all processes that are heard, itself included. The processes that use the
// endpoint draw the highest numbers for it (rendezvous hashing), so that one that comes
// or goes changes the parts of few.
func Part(endpoint string, rate float64, self uint64, fleet []uint64) float64 {
	users := min(max(1, int(rate)), len(fleet))
	if users == len(fleet) {
		return 1 / float64(max(1, users))
	}
	own, higher := draw(endpoint, self), 0
	for _, process := range fleet {
		if process != self && draw(endpoint, process) > own {
			higher++
		}
	}
	if higher >= users {
		return 0
	}
	return 1 / float64(users)
}

func draw(endpoint string, process uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(endpoint), process))
}
