package suspectparts

import (
	"slices"
	"time"

	"carawayspread"
)

const (
	// maxReports bounds the crashes of one report, which must fit into a packet.
	maxReports = 24
	// reportedFor is how long crashes are reported that do not suffice to refuse their part.
	reportedFor = 30 * time.Second
	// reportDelay bounds how much later than it was a reported crash may seem: the time that the report
	// was on its way, or waited to be read.
	reportDelay = time.Second
)

// Reports returns crashes that peers may not know, those of suspects first.
//
// A crash is reported to all peers once. A peer that does not get that message, or starts later, would
// send requests with the part to further endpoints. Processes therefore repeat what they know.
func (p *Parts) Reports() []carawayspread.PartCrash {
	if p.Empty() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var all []carawayspread.PartCrash
	for i, list := range [][]uint64{p.suspects.Keys(), p.weak.Keys()} {
		longest := []time.Duration{memory, reportedFor}[i]
		p.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, part := range list {
			for _, c := range p.find(part).crashes {
				if age := now.Sub(c.at); age <= longest && len(all) < maxReports {
					all = append(all, carawayspread.PartCrash{Part: part, Endpoint: c.endpoint, Witness: c.witness, Age: age, Doubtful: c.doubtful})
				}
			}
		}
	}
	return all
}

// Learn records crashes that a peer reports, and returns the parts that have been answered since.
func (p *Parts) Learn(reports []carawayspread.PartCrash) (answered []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, report := range reports {
		at := now.Add(-report.Age)
		if answeredAt, ok := p.answered.Peek(report.Part); ok && at.Before(answeredAt.Add(reportDelay)) {
			if !slices.Contains(answered, report.Part) {
				answered = append(answered, report.Part)
			}
			continue
		}
		if report.Age <= memory {
			p.record(report.Part, crash{report.Endpoint, at, report.Witness, report.Doubtful}, now)
		}
	}
	p.explain()
	return answered
}
