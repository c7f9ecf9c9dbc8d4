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
}

// snapshot is what Pick reads. It is immutable.
type snapshot struct {
	byID   map[carawayspread.EndpointID]*member
	listed int   // members that are not lost
	all    *ring // every member, the lost ones included
	// byModel holds the ring of each model that reports name. A model that no
	// report names is sought on all.
	byModel map[string]*ring
	built   time.Time
}

func newSnapshot(byID map[carawayspread.EndpointID]*member, now time.Time) *snapshot {
	s := &snapshot{byID: byID, byModel: map[string]*ring{}, built: now}
	var all []*endpoint
	holders := map[string][]*endpoint{}
	for _, m := range byID {
		all = append(all, m.endpoint)
		if m.lost.IsZero() {
			s.listed++
		}
		if last := m.last.Load(); last != nil {
			for _, model := range last.report.Models {
				holders[model] = append(holders[model], m.endpoint)
			}
		}
	}
	s.all = newRing(all)
	for model, members := range holders {
		s.byModel[model] = newRing(members)
	}
	return s
}

func (s *snapshot) ring(model string) *ring {
	if r, ok := s.byModel[model]; ok {
		return r
	}
	return s.all
}
