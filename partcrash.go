package carawayspread

import "time"

// PartCrash is a crash of an endpoint while a prompt with the part ran there, as one process reports it
// to another.
type PartCrash struct {
	Part     uint64 // key of the part; see Prompt.SharedPartKeys
	Endpoint EndpointID
	// Witness tells prompts apart that ran there: two of one session have the same.
	Witness uint32
	Age     time.Duration // since the crash
	// Doubtful says that something listened at the endpoint's address shortly after the crash: the
	// endpoint may have kept running, or a process may have taken its place.
	Doubtful bool
}
