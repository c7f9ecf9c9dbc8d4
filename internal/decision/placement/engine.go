package placement

import (
	"math"
	"time"

	"carawayspread"
)

const (
	// startPerToken, startPerPair and startFixed shape the time that an engine
	// reads: tokens, pairs of tokens for attention, and what each call costs.
	// They are the order of size of large models; what counts is the shape, as
	// the pace of each engine is learnt from its answers.
	startPerToken = 11 * time.Microsecond
	startPerPair  = 350 * time.Nanosecond // for a thousand pairs
	startFixed    = 4 * time.Millisecond
	// wholeFactor and wholePiece say how an engine that also answers reads: at
	// half the speed, a piece at a time between the steps of its answers.
	wholeFactor = 2
	wholePiece  = 512
	// stepFixed and stepPerRun shape one step of answering.
	stepFixed  = 3 * time.Millisecond
	stepPerRun = 120 * time.Microsecond

	// startDelay is the part of the time to the first event that occupies
	// nothing; it is learnt together with the pace.
	startDelay = 30 * time.Millisecond
	learning   = 0.1
	// stepLearning is the weight of one event: a second of one answer.
	stepLearning = 0.03
	paceLow      = 0.3
	paceHigh     = 6
	delayHigh    = 300 * time.Millisecond
	// undisturbed is the wait up to which an answer tells pace and delay.
	//
	// Failure: before an engine with a queue, what waits is taken for a slow
	// pace, which makes its queue look longer still. Symptom: under overload
	// every engine seems several times slower than it is.
	undisturbed = 25 * time.Millisecond
	// behindLearning is the weight of one answer that waited: the pace of an engine
	// three times slower than its kind is told by some fifty, two seconds at a peak.
	behindLearning = 0.04
	// ownError is the part of an error that is put down to pace and delay of an
	// engine before which nothing was known to wait, in parts of what was expected;
	// what is over that waited behind readings that are not known.
	ownError = 0.3
	// outlier bounds the error of one answer that pace and delay are learnt from, in
	// parts of what was expected.
	outlier = 2
	// surprise bounds what one answer moves the backlog by: an answer that was held up
	// by its connection, or by this process, says nothing of the engine, while ten of
	// an engine that is behind follow within a second.
	surprise = 300 * time.Millisecond
	// relaxAfter is when what was learnt begins to fade, and relaxing how much
	// of it goes each relaxEvery.
	//
	// Failure: one bad answer makes an engine look slow. Symptom: it gets
	// nothing any more, and so nothing tells that it is not. One that reads all the
	// while is left as it is: under overload no answer tells its pace, and one that
	// is slow would count as sound (at twice the load 0.85 of the answers in time of
	// the full load, over 0.9 so; replayed).
	relaxAfter = 3 * time.Second
	relaxing   = 0.15
	relaxEvery = 500 * time.Millisecond
	// backlogLearning is the part of an error of the expected end that is
	// added to what waits, at all processes: a third of it, since those that learn of
	// the same queue at once all add theirs.
	//
	// Failure: an engine is behind what is believed of it, and each process learns
	// it from its own answers alone. Symptom: where many processes share the engines
	// one reader had a second more before it than all thought, for seconds.
	backlogLearning = 0.35
	// dutyMemory is the time over which it is remembered how much an engine
	// read: some times the reading of a long prompt.
	dutyMemory = 1500 * time.Millisecond
	// memoryUsed is the part of the memory that is counted on for parts.
	memoryUsed = 0.85
	// mostParts bounds what is remembered of one engine, and allParts of all engines
	// of a service together, 40 bytes each: 20 MB of the 32 that a process may take
	// for control, whatever the fleet's size.
	mostParts = 8192
	allParts  = 1 << 19
)

// mark is when a part was last read or found, by the engine's count of tokens.
type mark struct {
	at     int64
	tokens int
}

// engine is what is known of one endpoint. Plain services use the counts alone.
type engine struct {
	endpoint carawayspread.Endpoint
	hash     uint32
	reading  time.Time // when the readings known are through; past where none waits
	// shift sums what answers have moved reading by: what was expected before moves
	// with it.
	shift     time.Duration
	pace      float64 // what reading takes against the shape
	delay     time.Duration
	learnt    time.Time     // when pace and delay were last told by an answer; zero for never
	stepPace  float64       // what a step takes against the shape
	kin       float64       // the middle pace of the readers: pieces take no less beside answers
	own       int           // attempts of this process
	tokens    int           // of those attempts
	calls     int           // readings of this process that are not through
	read      time.Duration // of the last dutyMemory, fading, as of readAt
	readAt    time.Time
	count     int64 // tokens that have entered the memory
	parts     map[uint64]mark
	mostParts int           // of parts; at least 1
	mean      time.Duration // of whole answers; plain services
	holds     int           // tokens of the prompt that is being placed
	advanced  time.Time     // when it last showed that it gets on
	open      []*stay       // attempts of this process without an answer, oldest first
	aside     time.Time     // until when it gets nothing, as it changes its role
}

func newEngine(endpoint carawayspread.Endpoint) *engine {
	return &engine{endpoint: endpoint, hash: hashOf(endpoint.ID()), pace: 1, delay: startDelay, stepPace: 1, parts: map[uint64]mark{}, mostParts: mostParts}
}

// update takes the newest entry. An engine that changed its role is learnt anew.
func (e *engine) update(endpoint carawayspread.Endpoint) {
	if endpoint.Role() != e.endpoint.Role() {
		e.pace, e.delay, e.learnt, e.aside = 1, startDelay, time.Time{}, time.Time{}
	}
	e.endpoint = endpoint
}

func (e *engine) reads() bool { return e.endpoint.Role() == carawayspread.RolePrefill }

// found returns the tokens at the beginning of the prompt that the engine is
// thought to hold.
func (e *engine) found(parts []carawayspread.PromptPart, chains []uint64, memory int) int {
	sum := 0
	for i, chain := range chains {
		m, ok := e.parts[chain]
		if !ok || e.count-m.at > int64(float64(memory)*memoryUsed) {
			break
		}
		sum += parts[i].Tokens
	}
	return sum
}

// wait returns how long a new reading waits for those before it.
func (e *engine) wait(now time.Time) time.Duration { return max(0, e.reading.Sub(now)) }

// begin counts a reading.
func (e *engine) begin(now time.Time, work time.Duration) (start, end time.Time) {
	start = later(now, e.reading)
	e.reading = start.Add(work)
	e.read = e.fading(now) + work
	e.readAt = now
	return start, e.reading
}

func (e *engine) fading(now time.Time) time.Duration {
	return time.Duration(float64(e.read) * math.Exp(-float64(now.Sub(e.readAt))/float64(dutyMemory)))
}

// duty returns the part of the time that the engine spends on reading.
func (e *engine) duty(now time.Time) float64 {
	return min(1, float64(e.fading(now))/float64(dutyMemory))
}

// token returns the time between two tokens of an answer: a step, and between
// the steps the pieces of prompts that the engine reads.
func (e *engine) token(now time.Time, running int) time.Duration {
	piece := time.Duration(float64(wholePiece*wholeFactor*startPerToken) * e.pace)
	return time.Duration(float64(step(running))*max(1, e.pace)) + time.Duration(e.duty(now)*float64(piece))
}

// pause returns the longest time expected between two events of the answers that
// run at the engine, when so much is to be read there of prompts of about so many
// tokens: a piece goes between any two steps of an event until all is read.
func (e *engine) pause(running, stride int, reading time.Duration, tokens int) time.Duration {
	pairs := time.Duration(int64(wholePiece) * int64(tokens) / 1000)
	piece := wholeFactor * (wholePiece*startPerToken + pairs*startPerPair)
	pieces := time.Duration(float64(stride) * float64(piece) * max(e.pace, e.kin))
	return time.Duration(stride)*e.step(running) + min(reading, pieces)
}

// paused learns what a step takes from the time between two events of an answer
// between which nothing was read.
func (e *engine) paused(from, to time.Time, stride, running int) {
	if !e.reading.After(from) {
		seen := min(paceHigh, float64(to.Sub(from))/float64(stride)/float64(step(running)))
		e.stepPace += stepLearning * (seen - e.stepPace)
	}
}

// step returns the time of one step of answering beside so many answers.
func (e *engine) step(running int) time.Duration {
	return time.Duration(float64(step(running)) * e.stepPace)
}

// relax moves what was learnt long ago towards what holds for its kind.
func (e *engine) relax(now time.Time, pace float64) {
	if !e.learnt.IsZero() && now.Sub(later(e.learnt, e.readAt)) > relaxAfter {
		e.pace += relaxing * (pace - e.pace)
	}
}

// step returns the time of one step of answering beside so many answers.
func step(running int) time.Duration {
	return stepFixed + time.Duration(running)*stepPerRun
}

// work returns the time that reading takes.
func (e *engine) work(tokens, found, running int) time.Duration {
	fresh := max(0, tokens-found)
	pairs := (int64(tokens)*int64(tokens) - int64(found)*int64(found)) / 2000
	d := time.Duration(fresh)*startPerToken + time.Duration(pairs)*startPerPair
	if !e.reads() {
		pieces := 1 + fresh/wholePiece
		d = wholeFactor*d + time.Duration(pieces)*step(running)
	}
	return time.Duration(float64(d+startFixed) * e.pace)
}

// take marks the parts as held and counts the tokens that come in.
func (e *engine) take(chains []uint64, tokens int) {
	e.count += int64(tokens)
	for _, chain := range chains {
		e.parts[chain] = mark{at: e.count}
	}
	if len(e.parts) > e.mostParts {
		e.prune()
	}
}

// prune forgets the older half of the parts.
func (e *engine) prune() {
	oldest := e.count
	for _, m := range e.parts {
		oldest = min(oldest, m.at)
	}
	middle := oldest + (e.count-oldest)/2
	for chain, m := range e.parts {
		if m.at <= middle {
			delete(e.parts, chain)
		}
	}
}

// answered learns pace, delay and backlog from the answer to a reading of this
// process, and returns by how much the backlog has moved.
//
// Pace and delay follow by normalised least mean squares, in units of
// startDelay: short prompts tell the delay, long ones the pace. Each process keeps
// to its own answers there: told to all, answers that waited behind readings nobody
// knew of made every engine look slow to everyone (0.709 for 0.740 of what is owed
// before 117 engines).
func (e *engine) answered(now time.Time, s *stay) time.Duration {
	work := s.end.Sub(s.start)
	own := time.Duration(ownError * float64(work+e.delay))
	off := now.Sub(e.through(s)) - e.delay
	if s.start.Sub(s.sent) < undisturbed {
		read := s.explained(now.Sub(s.start) - e.delay)
		e.learn(now, min(now.Sub(s.start), (1+outlier)*(read+e.delay)), float64(read)/s.pace)
	} else if s.pool != nil {
		e.fellBehind(now, s.pool.outlying(e.reads(), float64(off)/float64(work)))
	}
	off -= max(-own, min(own, off))
	late := time.Duration(backlogLearning * float64(max(-surprise, min(surprise, off))))
	e.shiftBy(late)
	return late
}

// through returns when a reading is expected to be through, by what was learnt of
// the engine's backlog since it was sent.
func (e *engine) through(s *stay) time.Time { return s.end.Add(e.shift - s.shift) }

// shiftBy moves the backlog, and what is expected of readings under way with it.
func (e *engine) shiftBy(late time.Duration) {
	e.reading = e.reading.Add(late)
	e.shift += late
}

// fellBehind corrects the pace by how much later than the others of its kind an
// answer that waited was, in parts of what was expected.
//
// A slow engine that always has a queue would get as much as the others, since only an
// answer that did not wait tells a pace. What all are late by is the load, and comes off.
func (e *engine) fellBehind(now time.Time, by float64) {
	e.pace = min(paceHigh, max(paceLow, e.pace+behindLearning*by))
	e.learnt = now
}

// learn corrects pace and delay by what a reading took that would take shape at an
// engine of pace one.
func (e *engine) learn(now time.Time, took time.Duration, shape float64) {
	x := shape / float64(startDelay)
	off := float64(took) - shape*e.pace - float64(e.delay)
	step := learning * off / (1 + x*x)
	e.delay = min(delayHigh, max(0, e.delay+time.Duration(step)))
	e.learnt = now
	e.pace = min(paceHigh, max(paceLow, e.pace+step/float64(startDelay)*x))
}
