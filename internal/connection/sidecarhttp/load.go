package sidecarhttp

import (
	"fmt"
	"net/http"
)

// HeaderLoad carries the load of the endpoint with each answer and refusal. Control traffic can
// report the load of 1,300 endpoints to an entry only a few times a minute; for the endpoints that
// the entry uses, each answer updates it.
const HeaderLoad = "Carawayspread-Load"

// Load is the load of an endpoint when its answer begins.
type Load struct {
	Running int // requests at the endpoint, including the answered one; not negative
	Waiting int // requests queued for the endpoint; not negative
	Slots   int // requests that it can run in one batch; at least 1
}

// Write sets HeaderLoad.
func (l Load) Write(header http.Header) {
	header.Set(HeaderLoad, fmt.Sprintf("%d %d %d", l.Running, l.Waiting, l.Slots))
}

// ParseLoad parses HeaderLoad. It returns nil if the header is missing or invalid.
func ParseLoad(header http.Header) *Load {
	l := &Load{}
	n, err := fmt.Sscanf(header.Get(HeaderLoad), "%d %d %d", &l.Running, &l.Waiting, &l.Slots)
	if err != nil || n != 3 || l.Running < 0 || l.Waiting < 0 || l.Slots < 1 {
		return nil
	}
	return l
}
