package carawayspread

import "time"

// CrashReport is a crash of an endpoint while a request ran there, as one process reports it to
// another.
type CrashReport struct {
	Fingerprint uint64 // of the request
	Endpoint    EndpointID
	Age         time.Duration // since the crash
}

// CrashVerdict is what a process knows of a crash that a peer reports.
type CrashVerdict int

// Verdicts on reported crashes.
const (
	CrashAccepted  CrashVerdict = iota // nothing speaks against it
	CrashWithdrawn                     // the endpoint has proved to be running
	CrashAnswered                      // the request was answered, so it crashes no endpoint
)
