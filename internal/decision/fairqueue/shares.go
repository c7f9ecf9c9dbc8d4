package fairqueue

// shares keeps the backlogged workspaces in the order in which they are
// served. All calls take logarithmic time.
type shares struct {
	flows           map[string]*flow
	flowsAfterSweep int     // flows that the last sweep left
	virtualTime     float64 // the smallest tag of a backlogged flow; never falls
	// window is how far, in work, an urgent workspace may run ahead of the one
	// that received least.
	window float64
	// credit is how much unused share a workspace keeps.
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

// flow returns the queue of the workspace.
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

// sweep forgets workspaces that have nothing queued, running or owed. Its cost
// is spread over the workspaces that came since the last one.
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

// charge moves the tag of a flow by the work that it received, or got back.
func (s *shares) charge(f *flow, work float64) {
	f.tag += work
	if f.jobs.Len() > 0 {
		s.reorder(f)
	}
}

// reorder puts a changed flow where it belongs in each heap.
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

// advance raises the virtual time and lets in the flows that it reached.
func (s *shares) advance() {
	if s.tags.Len() == 0 {
		return
	}
	s.virtualTime = max(s.virtualTime, s.tags.top().tag)
	for s.ineligible.Len() > 0 && s.ineligible.top().tag <= s.virtualTime+s.window {
		s.updateEligibility(s.ineligible.top())
	}
}

// next returns the most urgent job among the workspaces within the window.
func (s *shares) next() *item {
	if s.eligible.Len() == 0 {
		return nil
	}
	return s.eligible.top().jobs.top()
}

// backlogged returns the number of workspaces that wait.
func (s *shares) backlogged() int { return s.tags.Len() }
