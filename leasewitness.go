package carawayspread

import "time"

// LeaseVersion orders the versions of a lease record, also across restores of the table.
type LeaseVersion struct {
	Generation uint64 // of the table
	Rev        uint64 // of the record
}

// Before reports whether v is older than other.
func (v LeaseVersion) Before(other LeaseVersion) bool {
	if v.Generation != other.Generation {
		return v.Generation < other.Generation
	}
	return v.Rev < other.Rev
}

// DecidedUsage is the report of a window that the holder of a lease decided on.
type DecidedUsage struct {
	Version LeaseVersion // of the lease under which it was decided
	Window  int64
	Counts  []UsageCount // ascending by workspace
}

// WitnessKind is what a message between a holder or candidate and a witness says.
type WitnessKind uint8

// The questions of a holder or candidate, and the answers of a witness. A witness that refuses is silent.
const (
	// WitnessPromise asks not to help anyone to acquire the lease for a while; WitnessPromised agrees.
	WitnessPromise WitnessKind = iota + 1
	WitnessPromised
	// WitnessClose asks never to promise anything more under that version or an older one.
	// WitnessClosed agrees; each record that the witness keeps precedes it as a WitnessKept.
	WitnessClose
	WitnessKept
	WitnessClosed
	// WitnessDecided asks to keep a decided record; WitnessAccepted agrees.
	WitnessDecided
	WitnessAccepted
	// WitnessHello asks who may be a witness; WitnessHere answers.
	WitnessHello
	WitnessHere
)

// WitnessMessage is one message between a holder or candidate and a witness.
type WitnessMessage struct {
	Kind    WitnessKind
	Round   uint64 // of the question, repeated in answers
	Version LeaseVersion
	Age     time.Duration // of WitnessClosed and WitnessHere: since the witness started
	Kept    []int64       // of WitnessClosed: the windows of the records that preceded it
	Usage   DecidedUsage  // of WitnessDecided and WitnessKept; its version is not Version
}
