// Package reporter builds the load reports of a sidecar. Most are partial and carry only the load;
// full reports, sent periodically and after a change, also carry the endpoint states, which seldom
// change.
//
// Four endpoints take 70 bytes in a partial report and 120 or more in a full one. With one full
// report in six, an entry that lost a full report lacks the sidecar's load for at most five reports.
package reporter

import (
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/report"
)

const (
	// reportsPerFull is the number of reports of which at least one is full.
	reportsPerFull = 6
	// fullRepeats is how many full reports are sent in a row after a change, since one may be
	// lost.
	fullRepeats = 2
	// rateTolerance is the relative change of a measured rate that does not trigger a full report.
	// Rates vary with every prompt.
	rateTolerance = 0.2
)

// Reporter builds the reports of one sidecar. It is safe for concurrent use.
type Reporter struct {
	instance string

	mu          sync.Mutex
	sequence    uint64 // of the last report; starts at the start time in milliseconds
	sinceFull   uint32 // reports since the last full one
	pendingFull int    // full reports to be sent next
	lastFull    []*control.EndpointState
	fullBytes   int // size of the last full report; zero before the first
	loadBytes   int // size of the last report without endpoints
}

// New returns the reporter of an instance that starts now. The sequence numbers of a restarted
// sidecar continue above those of its predecessor, as that sent fewer than a thousand reports a
// second.
func New(instance string, now time.Time) *Reporter {
	return &Reporter{instance: instance, sequence: uint64(now.UnixMilli()), pendingFull: fullRepeats}
}

// ForceFull makes the next reports full ones. It is called when entries have joined.
func (r *Reporter) ForceFull() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingFull = fullRepeats
}

// Next returns the next report. The loads must always be in the same order.
func (r *Reporter) Next(loads []*control.EndpointLoad, version carawayspread.Version, draining bool) *control.LoadReport {
	next := &control.LoadReport{Instance: r.instance, ConfigVersion: uint64(version), Draining: draining}
	addLoads(next, loads)
	states := statesOf(loads)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	next.Sequence = r.sequence
	if !slices.EqualFunc(r.lastFull, states, unchanged) {
		r.pendingFull = fullRepeats
	}
	r.loadBytes = report.Size(next)
	if r.pendingFull > 0 || r.sinceFull+1 >= reportsPerFull {
		r.makeFull(next, states)
		return next
	}
	r.sinceFull++
	next.SinceFull = r.sinceFull
	return next
}

// makeFull makes the report a full one. The caller holds mu.
func (r *Reporter) makeFull(next *control.LoadReport, states []*control.EndpointState) {
	next.Endpoints = states
	r.lastFull = states
	r.sinceFull = 0
	r.pendingFull = max(0, r.pendingFull-1)
	r.fullBytes = report.Size(next)
}

// Bytes returns the mean size of a report in bytes.
func (r *Reporter) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return (r.fullBytes + (reportsPerFull-1)*r.loadBytes) / reportsPerFull
}

func addLoads(to *control.LoadReport, loads []*control.EndpointLoad) {
	anyWaiting, anyFlags := false, false
	for _, load := range loads {
		to.Running = append(to.Running, load.GetRunning())
		to.Waiting = append(to.Waiting, load.GetWaiting())
		to.Flags = append(to.Flags, flagOf(load))
		anyWaiting = anyWaiting || load.GetWaiting() > 0
		anyFlags = anyFlags || flagOf(load) != control.EndpointFlag_ENDPOINT_FLAG_NONE
	}
	if !anyWaiting {
		to.Waiting = nil
	}
	if !anyFlags {
		to.Flags = nil
	}
}

func flagOf(load *control.EndpointLoad) control.EndpointFlag {
	flag := control.EndpointFlag_ENDPOINT_FLAG_NONE
	if load.GetDraining() {
		flag |= control.EndpointFlag_ENDPOINT_FLAG_DRAINING
	}
	if load.GetCrashed() {
		flag |= control.EndpointFlag_ENDPOINT_FLAG_CRASHED
	}
	return flag
}

func statesOf(loads []*control.EndpointLoad) []*control.EndpointState {
	states := make([]*control.EndpointState, len(loads))
	for i, load := range loads {
		states[i] = &control.EndpointState{
			EndpointHash: report.Hash(carawayspread.EndpointID(load.GetEndpoint())),
			Slots:        load.GetSlots(),
			Role:         report.EncodeRole(carawayspread.Role(load.GetRole())),
			PrefillRate:  load.GetPrefillRate(),
			DecodeRate:   load.GetDecodeRate(),
			Models:       load.GetModels(),
		}
	}
	return states
}

// unchanged reports whether the state can wait for the next periodic full report.
func unchanged(last, state *control.EndpointState) bool {
	if !withinTolerance(last.GetPrefillRate(), state.GetPrefillRate()) || !withinTolerance(last.GetDecodeRate(), state.GetDecodeRate()) {
		return false
	}
	compared := proto.CloneOf(state)
	compared.PrefillRate, compared.DecodeRate = last.GetPrefillRate(), last.GetDecodeRate()
	return proto.Equal(last, compared)
}

func withinTolerance(last, rate float32) bool {
	return math.Abs(float64(rate-last)) <= rateTolerance*math.Abs(float64(last))
}
