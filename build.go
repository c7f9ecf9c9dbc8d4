package carawayspread

import (
	"hash/fnv"
	"io"
)

// BuildID identifies one version of the software that the endpoints of a service run; zero if it is
// unknown. It is a hash: two builds have the same identifier in one of 2^64 cases.
//
// What endpoints of different builds write does not fit together, so that a stream may go on only at
// the build at which it began.
type BuildID uint64

// NewBuildID returns the identifier of a version of the service's endpoints; zero if version is empty.
func NewBuildID(service, version string) BuildID {
	if version == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, service)
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, version)
	return BuildID(max(1, h.Sum64()))
}
