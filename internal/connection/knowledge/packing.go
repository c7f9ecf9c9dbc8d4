package knowledge

import (
	"hash/maphash"
	"sync"

	"carawayspread"
	"carawayspread/internal/connection/transfer"
)

const (
	// minPackedBody is the shortest body that is compressed, in bytes: one or two packets.
	minPackedBody = 2 << 10
	// maxUnpackedBytes bounds a decompressed body: several times the largest configuration or list
	// of endpoints.
	maxUnpackedBytes = 32 << 20
	// packCacheSize is how many compressed bodies are kept: for each resource the complete body and
	// the changes since the previous version, because many processes request the same.
	packCacheSize = 4
)

// packKey identifies a body.
type packKey struct {
	resource       carawayspread.Resource
	version, since uint64
	sum            uint64 // hash of the body, because the list may be read twice at one version
}

// packCache compresses bodies with gzip and keeps the newest results. It is safe for concurrent use.
type packCache struct {
	seed maphash.Seed
	mu   sync.Mutex
	keys []packKey // oldest first
	kept map[packKey][]byte
}

func newPackCache() *packCache {
	return &packCache{seed: maphash.MakeSeed(), kept: map[packKey][]byte{}}
}

// pack returns the compressed body. Concurrent calls wait, so that the same body is compressed once.
func (c *packCache) pack(resource carawayspread.Resource, d carawayspread.Document) ([]byte, error) {
	k := packKey{resource: resource, version: d.Version, since: d.Since, sum: maphash.Bytes(c.seed, d.Body)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if packed, ok := c.kept[k]; ok {
		return packed, nil
	}
	packed, err := transfer.Pack(d.Body)
	if err != nil {
		return nil, err
	}
	if len(c.keys) == packCacheSize {
		delete(c.kept, c.keys[0])
		c.keys = c.keys[1:]
	}
	c.keys = append(c.keys, k)
	c.kept[k] = packed
	return packed, nil
}
