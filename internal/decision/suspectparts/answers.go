package suspectparts

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"carawayspread"
)

// Answered clears the parts of a prompt that was answered in full, and returns those of which peers must
// hear: they may be refused there, or soon be.
func (p *Parts) Answered(prompt []uint64) (notify []uint64) {
	if p.Empty() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range prompt {
		if r := p.find(part); r != nil && (len(r.crashes) > 1 || r.restored) {
			notify = append(notify, part)
		}
	}
	p.cleared = append(p.cleared, p.clear(prompt)...)
	p.cleared = p.cleared[max(0, len(p.cleared)-maxSuspects):]
	return notify
}

// AnsweredByPeer clears parts of a prompt that a peer answered.
func (p *Parts) AnsweredByPeer(parts []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear(parts)
	for _, part := range parts {
		p.answered.Add(part, p.clock.Now())
	}
}

// clear forgets the crashes of the parts, and returns those that were refused.
func (p *Parts) clear(parts []uint64) (refused []uint64) {
	now := p.clock.Now()
	for _, part := range parts {
		if r, ok := p.suspects.Peek(part); ok && p.refused([]uint64{part}, r) {
			refused = append(refused, part)
		}
		weak, suspected := p.weak.Remove(part), p.suspects.Remove(part)
		if weak || suspected {
			p.answered.Add(part, now)
		} else if _, ok := p.answered.Peek(part); ok {
			p.answered.Add(part, now)
		}
		delete(p.unsaved, part)
	}
	p.count()
	return refused
}

// Withdraw removes the crashes of an endpoint within the last seconds, which has proved to be running. The check
// of the endpoint may still be on its way.
func (p *Parts) Withdraw(endpoint carawayspread.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running.Add(endpoint, p.clock.Now())
	c := crash{endpoint: endpoint, at: p.clock.Now()}
	for _, list := range []*lru.LRU[uint64, *record]{p.weak, p.suspects} {
		for _, part := range list.Keys() {
			r, _ := list.Peek(part)
			if r.crashes = slices.DeleteFunc(r.crashes, c.same); len(r.crashes) == 0 && !r.restored {
				list.Remove(part)
			}
		}
	}
	p.count()
}
