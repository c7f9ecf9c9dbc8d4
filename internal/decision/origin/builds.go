package origin

import (
	"time"

	"carawayspread"
)

// builds are the builds of one service that are listed.
type builds struct {
	listed map[carawayspread.BuildID]bool      // zero stands for endpoints of unknown build
	first  map[carawayspread.BuildID]time.Time // since when each of them has been listed
	newest time.Time                           // the latest of first
	since  time.Time                           // when they were listed first, all of them and no other
	// changed says that this process has seen others before, so that since is when they became these.
	changed bool
}

// SetEndpoints replaces the endpoints of all services.
func (o *Origins) SetEndpoints(endpoints []carawayspread.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := o.clock.Now()
	if o.knownSince.IsZero() {
		o.knownSince = at
	}
	listed := map[string]map[carawayspread.BuildID]bool{}
	for _, e := range endpoints {
		if listed[e.Service()] == nil {
			listed[e.Service()] = map[carawayspread.BuildID]bool{}
		}
		listed[e.Service()][e.Build()] = true
	}
	for service, now := range listed {
		before := o.services[service]
		switch {
		case before == nil:
			o.services[service] = newBuilds(now, nil, at)
			o.services[service].since = o.knownSince
			o.changes++
		case !equal(before.listed, now):
			o.services[service] = newBuilds(now, before.first, at)
			o.services[service].changed = true
			o.changes++
		}
	}
}

// newBuilds returns the builds that are listed since now, given since when those before have been.
func newBuilds(listed map[carawayspread.BuildID]bool, before map[carawayspread.BuildID]time.Time, now time.Time) *builds {
	b := &builds{listed: listed, first: map[carawayspread.BuildID]time.Time{}, since: now}
	for build := range listed {
		first, ok := before[build]
		if !ok {
			first = now
		}
		b.first[build] = first
		if first.After(b.newest) {
			b.newest = first
		}
	}
	return b
}

func equal(a, b map[carawayspread.BuildID]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for build := range a {
		if !b[build] {
			return false
		}
	}
	return true
}

// Sole returns the only build at which a stream of the service can have begun that may still be taken
// up, if there is one.
func (o *Origins) Sole(service string, lifetime time.Duration) (carawayspread.BuildID, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sole(o.clock.Now(), service, lifetime)
}

func (o *Origins) sole(now time.Time, service string, lifetime time.Duration) (carawayspread.BuildID, bool) {
	b := o.services[service]
	lifetime = max(lifetime, o.longest[service])
	if o.recorded && !o.restored {
		lifetime = max(lifetime, retention)
	}
	if b == nil || len(b.listed) != 1 || b.listed[0] || now.Sub(b.since) < lifetime || !o.followed(now, lifetime) {
		return 0, false
	}
	for build := range b.listed {
		return build, true
	}
	return 0, false
}

// Several reports whether more than one build of the service is listed.
func (o *Origins) Several(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.services[service]
	return b != nil && len(b.listed) > 1
}
