package suspectparts

import (
	"slices"
	"time"

	"carawayspread"
)

const (
	// harmfulWeight is the weight of the crashes for which a part is refused: three that are certain, or
	// six that are in doubt. Crashes of one endpoint alone are not enough, as it may be at fault itself.
	harmfulWeight  = 6
	certainWeight  = 2
	doubtfulWeight = 1
	minEndpoints   = 2
	maxCrashes     = 16 // kept of each part
	// sameCrash is how far apart processes may observe one crash of an endpoint.
	sameCrash = 2 * time.Second
	// separation is the least time between two crashes that both count. Endpoints that are lost together
	// have a cause in common, which is no request.
	separation = 200 * time.Millisecond
)

// crash is one crash of an endpoint under a prompt with the part.
type crash struct {
	endpoint carawayspread.EndpointID
	at       time.Time
	witness  uint32 // session of that prompt
	doubtful bool
}

func (c crash) same(other crash) bool {
	return c.endpoint == other.endpoint && c.at.Sub(other.at).Abs() < sameCrash
}

// record is what is known of one part.
type record struct {
	crashes  []crash   // in the order of time, no two of them the same
	restored bool      // refused by other processes, whatever this one knows of its crashes
	until    time.Time // the part is refused until then, if that is later than Refusal after its last crash
}

// add records a crash, and reports whether it was not known or has become certain.
func (r *record) add(c crash) bool {
	if i := slices.IndexFunc(r.crashes, c.same); i >= 0 {
		settled := r.crashes[i].doubtful && !c.doubtful
		r.crashes[i].doubtful = r.crashes[i].doubtful && c.doubtful
		return settled
	}
	i, _ := slices.BinarySearchFunc(r.crashes, c, func(a, b crash) int { return a.at.Compare(b.at) })
	r.crashes = slices.Insert(r.crashes, i, c)
	if len(r.crashes) > maxCrashes {
		r.crashes = r.crashes[1:]
	}
	return true
}

// harmful reports whether the crashes that excused does not report suffice to refuse the part.
func (r *record) harmful(excused func(crash) bool) bool {
	weight, lastAt := 0, time.Time{}
	var witnesses []uint32
	var endpoints []carawayspread.EndpointID
	for _, c := range r.crashes {
		if c.at.Sub(lastAt) < separation || slices.Contains(witnesses, c.witness) || excused(c) {
			continue
		}
		lastAt = c.at
		witnesses = append(witnesses, c.witness)
		if !slices.Contains(endpoints, c.endpoint) {
			endpoints = append(endpoints, c.endpoint)
		}
		if c.doubtful {
			weight += doubtfulWeight
		} else {
			weight += certainWeight
		}
	}
	return weight >= harmfulWeight && len(endpoints) >= minEndpoints
}

// refusedUntil returns when a trial of a refused part is allowed.
func (r *record) refusedUntil() time.Time { return later(r.until, r.lastCrash().Add(Refusal)) }

func (r *record) has(c crash) bool { return slices.ContainsFunc(r.crashes, c.same) }

func (r *record) lastCrash() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].at
}

func none(crash) bool { return false }
