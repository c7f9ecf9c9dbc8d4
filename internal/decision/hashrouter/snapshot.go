package hashrouter

import (
	"time"

	"carawayspread"
)

// member is an endpoint as listed.
type member struct {
	*endpoint
	zone    string
	leaving bool
	lost    time.Time // when it left the list; zero while it is listed
	joined  time.Time // when it was first listed; zero for those of the first list
}

func (m *member) isNew(now time.Time) bool {
	return !m.joined.IsZero() && now.Sub(m.joined) < lostTTL
}

// rings are two views of one set of members. Both are the same ring while no member is new.
type rings struct {
	current     *ring // every member, including the lost ones
	established *ring // the same without new members
}

// snapshot is the immutable state that Pick reads.
type snapshot struct {
	byID   map[carawayspread.EndpointID]*member
	listed int // members that are not lost
	// The pools group the members by the work that their roles accept: requests with both phases,
	// prefill, decode, and every member. Members with unknown role take all work.
	combined, prefill, decode, all *pool
	built                          time.Time
}

func newSnapshot(byID map[carawayspread.EndpointID]*member, now time.Time) *snapshot {
	s := &snapshot{byID: byID, built: now}
	byRole := map[carawayspread.Role][]*member{}
	var all []*member
	for _, m := range byID {
		all = append(all, m)
		if m.lost.IsZero() {
			s.listed++
		}
		byRole[m.role()] = append(byRole[m.role()], m)
	}
	s.all = newPool(all, now)
	s.combined, s.prefill, s.decode = s.all, s.all, s.all
	if len(byRole[carawayspread.RoleBoth]) < len(all) {
		both := byRole[carawayspread.RoleBoth]
		s.combined = newPool(both, now)
		s.prefill = newPool(byRole[carawayspread.RolePrefill], now)
		s.decode = newPool(append(byRole[carawayspread.RoleDecode], both...), now)
	}
	return s
}

// longPrompt is the number of prompt tokens from which prefill stalls the decoding on an engine for
// more than one step.
const longPrompt = 2048

// pools returns the pools of the first and the second candidate of a job. Long prompts go to
// engines that only prefill, as long as these are not loaded more than an engine that decodes as
// well. Short prompts would wait behind long ones there.
func (s *snapshot) pools(job *carawayspread.Job) (first, second *pool) {
	first, second = s.combined, s.combined
	switch {
	case job.Phase == carawayspread.RoleDecode:
		first, second = s.decode, s.decode
	case job.Phase == carawayspread.RolePrefill && job.Cost.Prefill >= longPrompt:
		first = s.prefill
	}
	if first.size == 0 {
		first = second
	}
	if second.size == 0 {
		second = first
	}
	if first.size == 0 {
		return s.all, s.all
	}
	return first, second
}

// pool is a set of members with its rings. It is immutable.
type pool struct {
	size     int
	anyModel rings
	// byModel holds the rings of each reported model: the members that report it and those whose
	// models are unknown. Without the latter, the first report after a start would direct all work
	// to one endpoint. A model that no report names uses anyModel.
	byModel map[string]rings
}

func newPool(members []*member, now time.Time) *pool {
	p := &pool{size: len(members), byModel: map[string]rings{}}
	var unknown []*member
	holders := map[string][]*member{}
	for _, m := range members {
		last := m.last.Load()
		if last == nil || last.report.Models == nil {
			unknown = append(unknown, m)
			continue
		}
		for _, model := range last.report.Models {
			holders[model] = append(holders[model], m)
		}
	}
	p.anyModel = newRings(members, now)
	for model, holding := range holders {
		p.byModel[model] = newRings(append(holding, unknown...), now)
	}
	return p
}

func newRings(members []*member, now time.Time) rings {
	var current, established []*endpoint
	for _, m := range members {
		current = append(current, m.endpoint)
		if !m.isNew(now) {
			established = append(established, m.endpoint)
		}
	}
	r := rings{current: newRing(current)}
	r.established = r.current
	if len(established) < len(current) {
		r.established = newRing(established)
	}
	return r
}

func (p *pool) rings(model string) rings {
	if r, ok := p.byModel[model]; ok {
		return r
	}
	return p.anyModel
}

// next returns the members for the new list, or nil when nothing changed.
func (s *snapshot) next(listed []carawayspread.Endpoint, now time.Time) map[carawayspread.EndpointID]*member {
	next := make(map[carawayspread.EndpointID]*member, len(listed))
	changed := false
	for _, l := range listed {
		m, known := s.byID[l.ID()]
		if !known || !m.lost.IsZero() || m.zone != l.Zone() || m.leaving != l.Leaving() || s.becameEstablished(m, now) {
			m, changed = s.listedMember(l, now), true
		}
		next[l.ID()] = m
	}
	for id, m := range s.byID {
		if _, ok := next[id]; ok {
			continue
		}
		if m.lost.IsZero() || now.Sub(m.lost) >= lostTTL {
			changed = true
		}
		if m.lost.IsZero() || now.Sub(m.lost) < lostTTL {
			next[id] = markLost(m, now)
		}
	}
	if !changed {
		return nil
	}
	return next
}

// becameEstablished reports whether a member that was new in this snapshot no longer is.
func (s *snapshot) becameEstablished(m *member, now time.Time) bool {
	return m.isNew(s.built) && !m.isNew(now)
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

func markLost(m *member, now time.Time) *member {
	if !m.lost.IsZero() {
		return m
	}
	lost := *m
	lost.lost = now
	return &lost
}
