// Package fault injects the failures of the platform's services into their stand-ins: closed
// connections, slow requests, throttling, and responses lost after the write took effect. Faults are
// switched at run time by methods or over HTTP.
package fault
