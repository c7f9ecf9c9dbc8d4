package suspectparts

import (
	"slices"
	"time"

	"carawayspread"
)

// Verdict is the decision on a prompt.
type Verdict int

// Verdicts on prompts.
const (
	VerdictRun    Verdict = iota // nothing speaks against it
	VerdictTrial                 // run it if no other process tries the part
	VerdictRefuse                // refuse it
)

// Decision is the verdict on a prompt, and the part that it is for.
type Decision struct {
	Verdict Verdict
	Part    uint64
	Left    time.Duration // until a trial is allowed
}

// harmful reports whether crashes suffice that no part explains which the prompt does not have.
func (p *Parts) harmful(prompt []uint64, r *record) bool {
	return r.harmful(func(c crash) bool { return p.explains(prompt, r, c) })
}

// explains reports whether a part that the prompt does not have, and that is involved at least as often as
// that of r, has the crash too.
func (p *Parts) explains(prompt []uint64, r *record, c crash) bool {
	for _, key := range p.suspects.Keys() {
		if other, _ := p.suspects.Peek(key); !slices.Contains(prompt, key) && len(other.crashes) >= len(r.crashes) && other.has(c) {
			return true
		}
	}
	return false
}

// Decide returns what may be done with a prompt of these parts.
func (p *Parts) Decide(prompt []uint64) Decision {
	if p.Empty() {
		return Decision{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	worst := Decision{}
	for _, part := range prompt {
		r, ok := p.suspects.Get(part)
		if !ok || !p.refused(prompt, r) {
			continue
		}
		d := Decision{Verdict: VerdictTrial, Part: part}
		if left := r.refusedUntil().Sub(now); left > 0 {
			d.Verdict, d.Left = VerdictRefuse, left
		}
		if d.Verdict > worst.Verdict || d.Left > worst.Left {
			worst = d
		}
	}
	return worst
}

// WouldRefuse reports whether the request will be refused if the endpoint that has just broken it off turns
// out to have crashed. It is not sent to another one then.
func (p *Parts) WouldRefuse(request Request, endpoint carawayspread.EndpointID) bool {
	if p.Empty() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := crash{endpoint: endpoint, at: p.clock.Now(), witness: request.Witness}
	return slices.ContainsFunc(request.Parts, func(part uint64) bool {
		known := p.find(part)
		if known == nil {
			return false
		}
		r := &record{crashes: slices.Clone(known.crashes)}
		r.add(c)
		return p.harmful(request.Parts, r)
	})
}

// find returns the record of a part; nil if there is none.
func (p *Parts) find(part uint64) *record {
	if r, ok := p.suspects.Peek(part); ok {
		return r
	}
	r, _ := p.weak.Peek(part)
	return r
}
