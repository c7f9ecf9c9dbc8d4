package carawayspread

import (
	"context"
	"time"
)

// EngineReport is what an engine states about its own load, as of some hundred milliseconds ago.
type EngineReport struct {
	Role            Role // empty if the engine names none that is known
	Orders          int64
	Running         int
	Waiting         int
	KVTokens        int           // memory that running requests occupy and that cannot be evicted
	KVTokensTotal   int           // size of the KV memory; zero if the engine does not say
	FirstWaiting    int           // tokens of the first waiting request; zero if none waits
	PinnedTokens    int           // kept on demand after their request has ended
	ReservedTokens  int           // reserved for requests to come
	Leaving         bool          // the engine takes no new requests
	LeavesIn        time.Duration // until the engine ends; zero if it does not say
	Requests        []EngineRun   // running requests; nil if the engine does not list them
	RequestsUnknown bool          // the list of running requests was missing or malformed
}

// EngineRun is one request that runs at an engine.
type EngineRun struct {
	ID       string // identifier of the caller's attempt
	KVTokens int
	Events   int // generated so far
	Priority int // 0 is the most urgent
}

// EngineReporter reads the report of an engine. One call takes no slot at the engine; operators pay for each.
type EngineReporter interface {
	// Report reads the report. A malformed field is as one that is missing.
	Report(ctx context.Context, of Endpoint) (EngineReport, error)
}
