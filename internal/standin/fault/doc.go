// Package fault makes a stand-in of the platform fail as the platform does:
// it refuses, is slow, throttles, or loses an answer after the write took
// effect. Faults are switched at run time by methods or over HTTP.
package fault
