package placement

import (
	"slices"
	"time"

	"carawayspread"
)

// teachEvery is the least time between two looks at all engines for what those of
// which nothing is known can be taught: some answers of a process.
const teachEvery = 50 * time.Millisecond

const (
	// lagLearning is the weight of one answer in a kind's mean error: a peak of a
	// second shows in it.
	lagLearning = 0.05
	// keptStart stands for not knowing: prompts that would be in time only if their
	// beginnings were held are neither all refused nor all sent.
	keptStart = 0.5
	// keptLearning is the weight of one answer: four of them tell.
	keptLearning = 0.25
	// keptTold is how much sooner the answer must come where the beginning is held to
	// tell by its time whether it was: what a short prompt takes in any case.
	keptTold = startDelay
)

// pool holds the endpoints of one service.
type pool struct {
	engines map[carawayspread.EndpointID]*engine
	ordered []*engine // by identifier
	ejector carawayspread.Ejector
	arrived int       // tokens to be read, here and at peers, since asked
	asked   time.Time // when roles were last asked for
	// pauses are the targets of the routes seen, by name.
	pauses map[string]time.Duration
	usual  float64 // tokens of a prompt, a fading mean
	answer float64 // tokens of an answer, a fading mean
	stride int     // tokens of one event; zero where it is not stated
	// lag is what readings that waited were late by, in parts of what was expected,
	// a fading mean: of engines that read, and of the others.
	lag struct{ readers, others float64 }
	// kept is the part of the beginnings that nobody is known to hold that their
	// homes turn out to hold; from 0 to 1.
	kept float64
	// relaxed is when what was learnt long ago last faded, and taught when what was
	// learnt of some engines was last given to others.
	relaxed, taught time.Time
	// drawn is what candidates returned last, to be used again.
	drawn []*engine
	// least is the shortest of pauses; zero for none.
	least time.Duration
}

// learnKept learns from the answer to a reading whose shared beginning nobody was known
// to hold, by the time that it took, how much of such beginnings homes hold.
//
// A process that has just started knows no prefix. If it expected each to be prefilled
// from the first token, it would refuse prompts as too late that their affinity engine
// holds; if it expected all to be held, it would accept too many after all engines have
// started anew.
func (pool *pool) learnKept(now time.Time, s *stay) {
	if s.cold-s.warm < keptTold || s.start.Sub(s.sent) >= undisturbed {
		return
	}
	took := now.Sub(s.start) - s.engine.delay
	held := min(1, max(0, float64(s.cold-took)/float64(s.cold-s.warm)))
	pool.kept += keptLearning * (held - pool.kept)
}

// outlying returns by how much one error is over the mean of its kind's engines. Both
// are in parts of what was expected; one answer counts as late by twice that at most.
func (pool *pool) outlying(reads bool, off float64) float64 {
	off = max(-1, min(1, off))
	mean := &pool.lag.others
	if reads {
		mean = &pool.lag.readers
	}
	*mean += lagLearning * (off - *mean)
	return off - *mean
}

// relax lets what was learnt long ago fade towards what holds for its kind, each
// time that relaxEvery has passed.
func (pool *pool) relax(now time.Time) {
	if now.Sub(pool.relaxed) < relaxEvery {
		return
	}
	pool.relaxed = now
	pool.teach()
	for _, kind := range []bool{true, false} {
		pace, _ := pool.medianPace(kind)
		for _, e := range pool.ordered {
			if e.reads() == kind {
				e.relax(now, pace)
			}
		}
	}
}

// seen takes note of a prompt.
func (pool *pool) seen(req carawayspread.PlacementRequest) {
	if req.Route.TargetGap > 0 && pool.pauses[req.Route.Name] != req.Route.TargetGap {
		pool.pauses[req.Route.Name] = req.Route.TargetGap
		pool.least = 0
		for _, pause := range pool.pauses {
			if pool.least == 0 || pause < pool.least {
				pool.least = pause
			}
		}
	}
	pool.stride = req.Service.Engine.TokensPerEvent
	if pool.usual == 0 {
		pool.usual = float64(req.Prompt.Tokens)
	}
	pool.usual += usualLearning * (float64(req.Prompt.Tokens) - pool.usual)
	if tokens := float64(size(req.Prompt) - req.Prompt.Tokens); pool.answer == 0 {
		pool.answer = tokens
	} else {
		pool.answer += usualLearning * (tokens - pool.answer)
	}
}

// lasts returns how long an answer runs at the engine beside so many others.
func (pool *pool) lasts(e *engine, running int) time.Duration {
	return time.Duration(max(1, pool.answer) * float64(e.step(running)))
}

// readsBeside reports whether the engine's answers stay in time however many
// prompts are read beside them.
func (pool *pool) readsBeside(e *engine, running int) bool {
	bears := pool.bears()
	return bears == 0 || e.pause(running, pool.stride, time.Hour, int(pool.usual)) <= bears
}

// separate reports whether most engines that answer cannot read beside.
func (pool *pool) separate() bool {
	answerers, bear := 0, 0
	for _, e := range pool.ordered {
		if !e.reads() {
			answerers++
			if pool.readsBeside(e, e.own) {
				bear++
			}
		}
	}
	return 2*bear < answerers
}

// bears returns the longest pause that is in time for all routes seen; zero where
// there is no bound.
func (pool *pool) bears() time.Duration {
	return time.Duration(pauseUsed * float64(pool.least))
}

// teach gives what was learnt of some engines to those of which nothing is known
// yet: the delay of their kind, and the middle pace of the readers. They would
// look faster than they are, and get everything.
func (pool *pool) teach() {
	pace, known := pool.medianPace(true)
	separate := pool.separate()
	teachers := map[bool]*engine{} // one of each kind of which something is known
	for _, e := range pool.ordered {
		e.kin = pace
		if kind := e.reads(); teachers[kind] == nil && !e.learnt.IsZero() {
			teachers[kind] = e
		}
	}
	for _, pupil := range pool.ordered {
		if !pupil.learnt.IsZero() {
			continue
		}
		if teacher := teachers[pupil.reads()]; teacher != nil {
			pupil.delay = teacher.delay
		}
		if known && separate {
			pupil.pace = pace
		}
	}
}

// answered has what was learnt of some engines given to others again, at the first
// answer after teachEvery.
func (pool *pool) answered(now time.Time) {
	if now.Sub(pool.taught) >= teachEvery {
		pool.taught = now
		pool.teach()
	}
}

// medianPace returns the middle pace of the engines of a kind, if any is known.
func (pool *pool) medianPace(reads bool) (pace float64, known bool) {
	var paces []float64
	for _, e := range pool.ordered {
		if e.reads() == reads && !e.learnt.IsZero() {
			paces = append(paces, e.pace)
		}
	}
	if len(paces) == 0 {
		return 1, false
	}
	slices.Sort(paces)
	return paces[len(paces)/2], true
}

// open reports whether the engine may get the request.
func (pool *pool) open(now time.Time, e *engine, req carawayspread.PlacementRequest) bool {
	return !e.aside.After(now) && !e.endpoint.Leaving() && !req.Exclude[e.endpoint.ID()] && pool.ejector.Allowed(e.endpoint.ID())
}
