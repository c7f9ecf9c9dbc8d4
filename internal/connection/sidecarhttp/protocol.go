// Package sidecarhttp implements the protocol between an entry and a sidecar: HTTP/1.1 with a
// few headers, interim responses as heartbeats, and a trailer that states whether the answer is
// complete.
//
// The path is /run/<endpoint>/<path at the endpoint>. A refusal by the sidecar carries
// HeaderRefused; every other answer comes from the endpoint.
package sidecarhttp

import (
	"net/http"
	"strconv"
	"time"
)

// PathPrefix is the prefix of the path of every request to run.
const PathPrefix = "/run/"

// Headers of a request.
const (
	HeaderRequest     = "X-Request-Id"
	HeaderWorkspace   = "X-Workspace"
	HeaderClass       = "X-Class"
	HeaderAttempt     = "Carawayspread-Attempt"     // unique for each attempt; echoed by answers and refusals
	HeaderRemaining   = "Carawayspread-Remaining"   // milliseconds left for the first byte
	HeaderFingerprint = "Carawayspread-Fingerprint" // hash of the request, hexadecimal
	HeaderTrial       = "Carawayspread-Trial"       // set if the attempt is a trial of a request that may crash endpoints
	HeaderConfig      = "Carawayspread-Config"      // configuration version of the sender
)

// Headers and trailers of an answer.
const (
	HeaderRefused = "Carawayspread-Refused" // the code of a refusal by the sidecar
	HeaderNotRun  = "Carawayspread-Not-Run" // it is certain that the endpoint has not started the request
	HeaderCrashed = "Carawayspread-Crashed" // the endpoint crashed while it ran the request
	HeaderLength  = "Carawayspread-Length"  // the length that the endpoint announced, in bytes
	HeaderFraming = "Carawayspread-Framing" // FramingClose; missing otherwise
	TrailerEnd    = "Carawayspread-End"     // EndWhole, EndUnmarked, EndCut or EndCrashed
	TrailerBytes  = "Carawayspread-Bytes"   // length of the body
	TrailerSum    = "Carawayspread-Sum"     // xxhash of the body, hexadecimal
)

// FramingClose is the value of HeaderFraming of an answer that has neither a length nor chunks at the
// endpoint and ends with its connection.
const FramingClose = "close"

// Values of TrailerEnd.
const (
	EndWhole    = "whole"
	EndUnmarked = "unmarked" // the endpoint closed the connection, which does not prove that the answer is complete
	EndCut      = "cut"
	EndCrashed  = "crashed"
)

// Headers of the engines' resume protocol.
const (
	HeaderResumeOffset = "Resume-Offset" // number of events that the caller has received
	HeaderResumeDigest = "Resume-Digest" // xxhash of their data, hexadecimal
	HeaderResumedFrom  = "Resumed-From"  // number of events after which the engine continues
)

// Heartbeat is the time between interim responses until the endpoint answers.
const Heartbeat = time.Second

// SetRemaining sets the time left for the first byte. It is sent as a duration, so that no clocks of
// different instances are compared.
func SetRemaining(header http.Header, left time.Duration) {
	header.Set(HeaderRemaining, strconv.FormatInt(left.Milliseconds(), 10))
}

// Remaining returns the time left for the first byte; false if the sender stated none.
func Remaining(header http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(header.Get(HeaderRemaining), 10, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// FormatFingerprint formats a fingerprint for HeaderFingerprint.
func FormatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// ParseFingerprint parses a fingerprint; zero if there is none.
func ParseFingerprint(text string) uint64 {
	fingerprint, _ := strconv.ParseUint(text, 16, 64)
	return fingerprint
}
