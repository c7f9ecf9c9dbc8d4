package knowledge

import (
	"hash/maphash"
	"sync"

	"carawayspread"
	"carawayspread/internal/connection/transfer"
)

const (
	// packLeast is the shortest body that is packed, in bytes: a packet or two.
	packLeast = 2 << 10
	// unpackedLimit bounds what a packed body may hold, in bytes: several times the
	// largest configuration or list.
	unpackedLimit = 32 << 20
	// packedKept are the packed bodies that are kept: of each matter the whole and the
	// changes since the version before, as many processes ask for the same.
	packedKept = 4
)

// name tells bodies apart.
type name struct {
	of             carawayspread.Resource
	version, since uint64
	sum            uint64 // of the body: a list may be read twice at one version
}

// packer packs bodies with gzip, each once. It is safe for concurrent use.
type packer struct {
	seed  maphash.Seed
	mu    sync.Mutex
	names []name // oldest first
	kept  map[name][]byte
}

func newPacker() *packer { return &packer{seed: maphash.MakeSeed(), kept: map[name][]byte{}} }

// pack returns the body packed. Others who want the same wait.
func (p *packer) pack(of carawayspread.Resource, d carawayspread.Document) ([]byte, error) {
	n := name{of: of, version: d.Version, since: d.Since, sum: maphash.Bytes(p.seed, d.Body)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if packed, ok := p.kept[n]; ok {
		return packed, nil
	}
	packed, err := transfer.Pack(d.Body)
	if err != nil {
		return nil, err
	}
	if len(p.names) == packedKept {
		delete(p.kept, p.names[0])
		p.names = p.names[1:]
	}
	p.names = append(p.names, n)
	p.kept[n] = packed
	return packed, nil
}
