// Package sidecarhttp is the protocol on which requests travel from an entry
// to a sidecar: HTTP/1.1 with a few headers, interim responses as heartbeats,
// and a trailer that says whether the answer is whole.
//
// The path is /run/<endpoint>/<path at the endpoint>. A refusal by the sidecar
// carries HeaderRefused; every other answer is the endpoint's own.
package sidecarhttp

import (
	"net/http"
	"strconv"
	"time"
)

// PathPrefix starts the path of every request that is to be run.
const PathPrefix = "/run/"

// Headers of a request.
const (
	HeaderRequest     = "X-Request-Id"
	HeaderWorkspace   = "X-Workspace"
	HeaderClass       = "X-Class"
	HeaderAttempt     = "Carawayspread-Attempt"     // unique for each attempt; echoed by the answer
	HeaderRemaining   = "Carawayspread-Remaining"   // milliseconds left for the first byte
	HeaderFingerprint = "Carawayspread-Fingerprint" // hash of the request, hexadecimal
	HeaderTrial       = "Carawayspread-Trial"       // set when the attempt is a trial of a suspect
	HeaderConfig      = "Carawayspread-Config"      // configuration version of the sender
)

// Headers and trailers of an answer.
const (
	HeaderRefused = "Carawayspread-Refused" // the code of a refusal that the sidecar made
	HeaderNotRun  = "Carawayspread-Not-Run" // the sidecar proves that the endpoint has not started the request
	HeaderCrashed = "Carawayspread-Crashed" // the endpoint crashed while it ran the request
	HeaderLength  = "Carawayspread-Length"  // the length that the endpoint announced
	TrailerEnd    = "Carawayspread-End"     // EndWhole, EndCut or EndCrashed
	TrailerBytes  = "Carawayspread-Bytes"   // bytes of the body
	TrailerSum    = "Carawayspread-Sum"     // xxhash of the body, hexadecimal
)

// Values of TrailerEnd.
const (
	EndWhole   = "whole"
	EndCut     = "cut"
	EndCrashed = "crashed"
)

// Headers of the resume protocol of engines.
const (
	HeaderResumeOffset = "Resume-Offset" // events that the caller holds already
	HeaderResumeDigest = "Resume-Digest" // xxhash of their data, hexadecimal
	HeaderResumedFrom  = "Resumed-From"  // the engine continues after that many events
)

// Heartbeat is the time between interim responses while an endpoint has not
// answered yet.
const Heartbeat = time.Second

// SetRemaining writes the time that is left for the first byte. It travels as
// a duration, so that no two clocks are compared.
func SetRemaining(header http.Header, left time.Duration) {
	header.Set(HeaderRemaining, strconv.FormatInt(left.Milliseconds(), 10))
}

// Remaining reads the time that is left for the first byte; false when the
// sender stated none.
func Remaining(header http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(header.Get(HeaderRemaining), 10, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// FormatFingerprint writes a fingerprint as the header carries it.
func FormatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// ParseFingerprint reads a fingerprint; zero when there is none.
func ParseFingerprint(text string) uint64 {
	fingerprint, _ := strconv.ParseUint(text, 16, 64)
	return fingerprint
}
