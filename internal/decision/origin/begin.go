package origin

import (
	"time"

	"carawayspread"
)

// TooNew returns the endpoints at which no stream may begin yet that its caller may take up: a process that
// relies on a list of maxListAge would not know their build, and take another one for the only one.
//
// Where no other endpoint writes answers, streams begin at the build that has been listed for longest.
func (o *Origins) TooNew(service string, endpoints []carawayspread.Endpoint) (ids []carawayspread.EndpointID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, now := o.services[service], o.clock.Now()
	latest := now.Add(-maxListAge)
	if b == nil || !b.newest.After(latest) {
		return nil
	}
	longest := now
	for _, e := range endpoints {
		if first := b.firstListed(e, now); writesAnswers(e) && first.Before(longest) {
			longest = first
		}
	}
	if longest.After(latest) {
		latest = longest
	}
	for _, e := range endpoints {
		if e.Role() != carawayspread.RolePrefill && b.firstListed(e, now).After(latest) {
			ids = append(ids, e.ID())
		}
	}
	return ids
}

func writesAnswers(e carawayspread.Endpoint) bool {
	return e.Role() != carawayspread.RolePrefill && !e.Leaving()
}

// firstListed returns since when the build of the endpoint has been listed; now if it is not known yet.
func (b *builds) firstListed(e carawayspread.Endpoint, now time.Time) time.Time {
	if first, ok := b.first[e.Build()]; ok {
		return first
	}
	return now
}

// Watch notes how old the list of endpoints is. From its first call on, it must be called at shorter intervals
// than maxListAge.
func (o *Origins) Watch() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.watch(o.clock.Now())
}

// watch reports whether the list is new enough to rely on. After a time in which it was not, builds may have
// come and gone unseen.
func (o *Origins) watch(now time.Time) bool {
	age := o.listAge()
	if age > maxListAge {
		return false
	}
	asOf := now.Add(-age)
	if !o.reliedOn.IsZero() && asOf.Sub(o.reliedOn) > maxListAge {
		o.followedSince = now
	}
	if asOf.After(o.reliedOn) {
		o.reliedOn = asOf
	}
	return true
}

// followed reports whether the list is new enough to rely on, and has been for so long.
func (o *Origins) followed(now time.Time, period time.Duration) bool {
	if o.reliedOn.IsZero() { // nobody watches
		return o.listAge() <= maxListAge
	}
	return o.watch(now) && (o.followedSince.IsZero() || now.Sub(o.followedSince) >= period)
}
