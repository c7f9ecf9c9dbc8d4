package hashrouter

import (
	"time"

	"carawayspread"
)

// member is an endpoint as the list names it.
type member struct {
	*endpoint
	zone    string
	leaving bool
	lost    time.Time // when it left the list; zero while it is listed
	joined  time.Time // when it was first listed; zero for those listed at first
}

func (m *member) newcomer(now time.Time) bool {
	return !m.joined.IsZero() && now.Sub(m.joined) < lostLife
}

// rings are the two views of one set of members. They are the same ring while
// there are no newcomers.
type rings struct {
	current *ring // every member, the lost ones included
	settled *ring // the same without newcomers
}

// snapshot is what Pick reads. It is immutable.
type snapshot struct {
	byID   map[carawayspread.EndpointID]*member
	listed int // members that are not lost
	all    rings
	// byModel holds the rings of each model that reports name, with the members
	// whose models are not known: after a start the first report would else
	// draw all work to one endpoint. A model that no report names is sought on
	// all.
	byModel map[string]rings
	built   time.Time
}

func newSnapshot(byID map[carawayspread.EndpointID]*member, now time.Time) *snapshot {
	s := &snapshot{byID: byID, byModel: map[string]rings{}, built: now}
	var all, unknown []*member
	holders := map[string][]*member{}
	for _, m := range byID {
		all = append(all, m)
		if m.lost.IsZero() {
			s.listed++
		}
		last := m.last.Load()
		if last == nil || last.report.Models == nil {
			unknown = append(unknown, m)
			continue
		}
		for _, model := range last.report.Models {
			holders[model] = append(holders[model], m)
		}
	}
	s.all = newRings(all, now)
	for model, members := range holders {
		s.byModel[model] = newRings(append(members, unknown...), now)
	}
	return s
}

func newRings(members []*member, now time.Time) rings {
	var current, settled []*endpoint
	for _, m := range members {
		current = append(current, m.endpoint)
		if !m.newcomer(now) {
			settled = append(settled, m.endpoint)
		}
	}
	r := rings{current: newRing(current)}
	r.settled = r.current
	if len(settled) < len(current) {
		r.settled = newRing(settled)
	}
	return r
}

func (s *snapshot) rings(model string) rings {
	if r, ok := s.byModel[model]; ok {
		return r
	}
	return s.all
}

// next returns the members after the list was read, or nil when nothing
// changed.
func (s *snapshot) next(listed []carawayspread.Endpoint, now time.Time) map[carawayspread.EndpointID]*member {
	next := make(map[carawayspread.EndpointID]*member, len(listed))
	changed := false
	for _, l := range listed {
		m, known := s.byID[l.ID()]
		if !known || !m.lost.IsZero() || m.zone != l.Zone() || m.leaving != l.Leaving() || s.matured(m, now) {
			m, changed = s.listedMember(l, now), true
		}
		next[l.ID()] = m
	}
	for id, m := range s.byID {
		if _, ok := next[id]; ok {
			continue
		}
		if m.lost.IsZero() || now.Sub(m.lost) >= lostLife {
			changed = true
		}
		if m.lost.IsZero() || now.Sub(m.lost) < lostLife {
			next[id] = lose(m, now)
		}
	}
	if !changed {
		return nil
	}
	return next
}

// matured reports whether a newcomer of this snapshot is none any more.
func (s *snapshot) matured(m *member, now time.Time) bool {
	return m.newcomer(s.built) && !m.newcomer(now)
}

func (s *snapshot) listedMember(l carawayspread.Endpoint, now time.Time) *member {
	m := &member{zone: l.Zone(), leaving: l.Leaving(), endpoint: &endpoint{id: l.ID()}}
	if old, ok := s.byID[l.ID()]; ok {
		m.endpoint, m.joined = old.endpoint, old.joined
	} else if len(s.byID) > 0 {
		m.joined = now
	}
	return m
}

func lose(m *member, now time.Time) *member {
	if !m.lost.IsZero() {
		return m
	}
	lost := *m
	lost.lost = now
	return &lost
}
