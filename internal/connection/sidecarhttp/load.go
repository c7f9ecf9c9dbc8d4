package sidecarhttp

import (
	"fmt"
	"net/http"
)

// HeaderLoad tells the load of the endpoint with an answer or a refusal.
// Control traffic cannot tell an entry of 1,300 endpoints more than a few times
// a minute; of those that it uses it hears with every answer.
const HeaderLoad = "Carawayspread-Load"

// Load is what is on an endpoint when its answer begins.
type Load struct {
	Running int // requests on the endpoint, with the one that is answered; not negative
	Waiting int // requests queued before it; not negative
	Slots   int // requests that it can batch; at least 1
}

// Write sets the header of an answer.
func (l Load) Write(header http.Header) {
	header.Set(HeaderLoad, fmt.Sprintf("%d %d %d", l.Running, l.Waiting, l.Slots))
}

// ParseLoad reads the header of an answer; nil when it has none that is usable.
func ParseLoad(header http.Header) *Load {
	l := &Load{}
	n, err := fmt.Sscanf(header.Get(HeaderLoad), "%d %d %d", &l.Running, &l.Waiting, &l.Slots)
	if err != nil || n != 3 || l.Running < 0 || l.Waiting < 0 || l.Slots < 1 {
		return nil
	}
	return l
}
