package origin

import (
	"time"

	"carawayspread"
)

// Answer returns what this process knows of the stream.
func (o *Origins) Answer(id carawayspread.StreamID, service string, lifetime time.Duration) carawayspread.OriginAnswer {
	build, _ := o.Build(id)
	sole, _ := o.Sole(service, lifetime)
	return carawayspread.OriginAnswer{Build: build, Sole: sole, Several: o.Several(service)}
}

// Resolve returns the build at which a stream of the service may go on, given what the peers know of it,
// and zero if that is not certain.
func (o *Origins) Resolve(service string, lifetime time.Duration, peers carawayspread.OriginAnswer) carawayspread.BuildID {
	switch {
	case peers.Build != 0:
		return peers.Build
	case peers.Several || o.Several(service):
		return 0
	}
	if sole, ok := o.Sole(service, lifetime); ok {
		if peers.Sole != 0 && peers.Sole != sole {
			return 0
		}
		return sole
	}
	if peers.Sole != 0 && o.lists(service, peers.Sole) {
		return peers.Sole
	}
	return 0
}

// lists reports whether endpoints of the build are listed.
func (o *Origins) lists(service string, build carawayspread.BuildID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.services[service]
	return b != nil && b.listed[build]
}
