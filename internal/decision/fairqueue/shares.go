package fairqueue

// shares keeps the backlogged workspaces in the order in which they are served. All calls take
// logarithmic time, apart from sweep.
type shares struct {
	flows           map[string]*flow
	flowsAfterSweep int     // number of flows after the last sweep
	virtualTime     float64 // smallest tag of a backlogged flow; never decreases
	// window is how far, in seconds of work, an urgent workspace may get ahead of the least-served
	// one.
	window float64
	// credit is how much unused share a workspace keeps, in seconds of work.
	credit float64

	tags       indexedHeap[*flow] // all backlogged flows by tag
	eligible   indexedHeap[*flow] // those within the window, the most urgent first
	ineligible indexedHeap[*flow] // those beyond the window, by tag
	ends       indexedHeap[*flow] // all backlogged flows, the largest end first
}

func newShares() *shares {
	byTag := func(a, b *flow) bool { return a.tag < b.tag }
	return &shares{
		flows:      map[string]*flow{},
		tags:       indexedHeap[*flow]{less: byTag, index: func(f *flow) *int { return &f.tagsIndex }},
		ineligible: indexedHeap[*flow]{less: byTag, index: func(f *flow) *int { return &f.ineligibleIndex }},
		eligible: indexedHeap[*flow]{
			less:  func(a, b *flow) bool { return a.jobs.top().latest.Before(b.jobs.top().latest) },
			index: func(f *flow) *int { return &f.eligibleIndex },
		},
		ends: indexedHeap[*flow]{
			less:  func(a, b *flow) bool { return a.end() > b.end() },
			index: func(f *flow) *int { return &f.endsIndex },
		},
	}
}

// flow returns the queue of the workspace, creating it if necessary.
func (s *shares) flow(workspace string) *flow {
	f, ok := s.flows[workspace]
	if !ok {
		s.sweep()
		f = newFlow(workspace)
		f.tag = s.virtualTime
		s.flows[workspace] = f
	}
	return f
}

// sweep removes workspaces that have nothing queued or running and whose tag is not ahead of the
// virtual time. Its cost is amortised over the workspaces added since the previous sweep.
func (s *shares) sweep() {
	const minFlows = 64
	if len(s.flows) < 2*s.flowsAfterSweep+minFlows {
		return
	}
	for name, f := range s.flows {
		if f.jobs.Len() == 0 && f.running == 0 && f.tag <= s.virtualTime {
			delete(s.flows, name)
		}
	}
	s.flowsAfterSweep = len(s.flows)
}

func (s *shares) add(f *flow, i *item) {
	if f.jobs.Len() == 0 {
		f.tag = max(f.tag, s.virtualTime-s.credit)
	}
	f.add(i)
	s.reorder(f)
}

func (s *shares) remove(i *item) {
	i.flow.remove(i)
	s.reorder(i.flow)
}

// charge adds work to the tag of a flow; negative work is a refund.
func (s *shares) charge(f *flow, work float64) {
	f.tag += work
	if f.jobs.Len() > 0 {
		s.reorder(f)
	}
}

// reorder updates the position of a changed flow in each heap.
func (s *shares) reorder(f *flow) {
	if f.jobs.Len() == 0 {
		s.tags.remove(f)
		s.eligible.remove(f)
		s.ineligible.remove(f)
		s.ends.remove(f)
	} else {
		s.tags.put(f)
		s.ends.put(f)
		s.updateEligibility(f)
	}
	s.advance()
}

func (s *shares) updateEligibility(f *flow) {
	if f.tag > s.virtualTime+s.window {
		s.eligible.remove(f)
		s.ineligible.put(f)
		return
	}
	s.ineligible.remove(f)
	s.eligible.put(f)
}

// advance raises the virtual time and makes the flows eligible that the window then reaches.
func (s *shares) advance() {
	if s.tags.Len() == 0 {
		return
	}
	s.virtualTime = max(s.virtualTime, s.tags.top().tag)
	for s.ineligible.Len() > 0 && s.ineligible.top().tag <= s.virtualTime+s.window {
		s.updateEligibility(s.ineligible.top())
	}
}

// next returns the most urgent job among the workspaces within the window, or nil.
func (s *shares) next() *item {
	if s.eligible.Len() == 0 {
		return nil
	}
	return s.eligible.top().jobs.top()
}

// backlogged returns the number of workspaces with queued jobs.
func (s *shares) backlogged() int { return s.tags.Len() }
