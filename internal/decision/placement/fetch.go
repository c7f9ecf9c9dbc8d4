package placement

import (
	"time"

	"carawayspread"
)

const (
	// fetchSetup is the fixed time of fetching parts from another engine, in addition to the
	// transfer of their bytes.
	fetchSetup = 6 * time.Millisecond
	// fetchPrice is the price of fetching a token, in addition to its time: the token is then held
	// twice and evicts another one. It stays close to recomputePrice, as cheaper fetching turns
	// over the KV memories until more is prefilled again than without it.
	fetchPrice = 80 * time.Microsecond
)

// cacheSources are the prefill engines that hold the most tokens of a prompt, one for each zone.
type cacheSources struct {
	cachedTokens int
	byZone       map[string]*engine
	anyZone      *engine
}

// findSources sets cachedPrefix of each eligible engine for the prompt, and returns the engines
// that hold the most of it.
func (pool *pool) findSources(now time.Time, engines []*engine, req carawayspread.PlacementRequest, prefixHashes []uint64) cacheSources {
	var s cacheSources
	for _, e := range engines {
		if !pool.eligible(now, e, req) {
			continue
		}
		e.cachedPrefix = e.cachedTokens(req.Prompt.Parts, prefixHashes, req.Service.Engine.KVTokens)
		if !e.prefillOnly() {
			continue
		}
		if e.cachedPrefix > s.cachedTokens {
			s = cacheSources{cachedTokens: e.cachedPrefix, byZone: map[string]*engine{}, anyZone: e}
		}
		if e.cachedPrefix == s.cachedTokens && s.cachedTokens > 0 {
			s.byZone[e.endpoint.Zone()] = e
		}
	}
	return s
}

// fetchSource returns the engine from which e fetches the rest of the cached prefix, and how long
// that takes. It returns nil where prefilling the rest is as fast.
//
// Without it, a prefix that one engine holds is prefilled again by another while the first has a
// queue, though a link transfers it in a tenth of the time or less.
func (s cacheSources) fetchSource(e *engine, traits *carawayspread.EngineTraits, savedTime time.Duration) (*engine, time.Duration) {
	if !traits.FetchesKV || traits.LinkBitsPerSecond <= 0 || e.cachedPrefix >= s.cachedTokens {
		return nil, 0
	}
	source, factor := s.byZone[e.endpoint.Zone()], time.Duration(1)
	if source == nil {
		source, factor = s.anyZone, crossZoneFactor
	}
	bits := float64(s.cachedTokens-e.cachedPrefix) * float64(traits.KVBytesPerToken) * 8
	fetchTime := fetchSetup + factor*time.Duration(bits/float64(traits.LinkBitsPerSecond)*float64(time.Second))
	if fetchTime >= savedTime {
		return nil, 0
	}
	return source, fetchTime
}
