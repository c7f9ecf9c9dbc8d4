package placement

import (
	"time"

	"carawayspread"
)

const (
	// fetchSetUp is what getting parts from another engine takes beside their bytes.
	fetchSetUp = 6 * time.Millisecond
	// fetchPrice is what fetching a token costs beside its time: the token is held
	// twice then, and pushes another out. It stays near againPrice, as cheap fetching
	// turns memories over until more is prefilled again than without it.
	fetchPrice = 80 * time.Microsecond
)

// sources are the engines that hold most of a prompt, one for each zone.
type sources struct {
	most   int
	byZone map[string]*engine
	any    *engine
}

// find notes what each open engine holds of the prompt, and returns who holds most.
func (pool *pool) find(now time.Time, engines []*engine, req carawayspread.PlacementRequest, chains []uint64) sources {
	var s sources
	for _, e := range engines {
		if !pool.open(now, e, req) {
			continue
		}
		e.holds = e.found(req.Prompt.Parts, chains, req.Service.Engine.KVTokens)
		if !e.reads() {
			continue
		}
		if e.holds > s.most {
			s = sources{most: e.holds, byZone: map[string]*engine{}, any: e}
		}
		if e.holds == s.most && s.most > 0 {
			s.byZone[e.endpoint.Zone()] = e
		}
	}
	return s
}

// fetch returns where the engine gets the rest of what is held, and how long that
// takes; nil where reading it there is as fast.
//
// A prefix that one engine holds would be prefilled again by another while the first has a
// queue, though a link brings it in a tenth of the time or less.
func (s sources) fetch(e *engine, traits *carawayspread.EngineTraits, reading time.Duration) (*engine, time.Duration) {
	if !traits.FetchesKV || traits.LinkBitsPerSecond <= 0 || e.holds >= s.most {
		return nil, 0
	}
	from, zones := s.byZone[e.endpoint.Zone()], time.Duration(1)
	if from == nil {
		from, zones = s.any, zoneFactor
	}
	bits := float64(s.most-e.holds) * float64(traits.KVBytesPerToken) * 8
	takes := fetchSetUp + zones*time.Duration(bits/float64(traits.LinkBitsPerSecond)*float64(time.Second))
	if takes >= reading {
		return nil, 0
	}
	return from, takes
}
