package hashrouter

import (
	"encoding/binary"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"carawayspread"
)

// pointsPerEndpoint is the number of points of one endpoint on the ring. With 64, the shares of
// endpoints differ by an eighth (one standard deviation), which the choice by load between two
// candidates evens out.
const pointsPerEndpoint = 64

type point struct {
	hash   uint64
	member int32 // index into ring.members
}

// ring is a consistent-hash ring: a changed membership moves only the work of the endpoints that
// joined or left. It is immutable.
type ring struct {
	members []*endpoint
	points  []point // ascending by hash
}

func newRing(members []*endpoint) *ring {
	r := &ring{members: members, points: make([]point, 0, pointsPerEndpoint*len(members))}
	for at, member := range members {
		for n := range pointsPerEndpoint {
			r.points = append(r.points, point{hash: pointHash(member.id, n), member: int32(at)})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		if a.hash > b.hash {
			return 1
		}
		return 0
	})
	return r
}

func pointHash(id carawayspread.EndpointID, n int) uint64 {
	return xxhash.Sum64String(string(id) + "/" + strconv.Itoa(n))
}

// find returns the index of the first point at or after the hash.
func (r *ring) find(hash uint64) int {
	return sort.Search(len(r.points), func(i int) bool { return r.points[i].hash >= hash })
}

// successor returns the first member at or after the hash that is not excluded, or nil.
func (r *ring) successor(hash uint64, excluded ...*endpoint) *endpoint {
	start := r.find(hash)
	for n := range r.points {
		member := r.members[r.points[(start+n)%len(r.points)].member]
		if !slices.Contains(excluded, member) {
			return member
		}
	}
	return nil
}

// mix returns a hash of two numbers.
func mix(a, b uint64) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], a)
	binary.LittleEndian.PutUint64(bytes[8:], b)
	return xxhash.Sum64(bytes[:])
}
