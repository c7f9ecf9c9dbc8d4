package placement

import (
	"math"
	"time"

	"carawayspread"
)

const (
	// prefillPerToken, prefillPerThousandPairs and prefillFixed give the shape of the nominal
	// prefill time: a part for each token, a part for each thousand pairs of tokens (attention),
	// and a fixed part for each call. They have the order of magnitude of large models. Only the
	// shape matters, as the slowdown of each engine is learned from its answers.
	prefillPerToken         = 11 * time.Microsecond
	prefillPerThousandPairs = 350 * time.Nanosecond
	prefillFixed            = 4 * time.Millisecond
	// mixedPrefillFactor and prefillChunk describe prefill at an engine that also decodes: it runs
	// at half the speed, one chunk of prefillChunk tokens at a time between decode steps.
	mixedPrefillFactor = 2
	prefillChunk       = 512
	// stepFixed and stepPerRequest give the shape of the nominal time of one decode step.
	stepFixed      = 3 * time.Millisecond
	stepPerRequest = 120 * time.Microsecond

	// initialDelay is the part of the time to the first event that does not occupy the engine; it
	// is learned together with the slowdown.
	initialDelay = 30 * time.Millisecond
	learningRate = 0.1
	// stepLearningRate is the weight of one event; at this rate a second of one answer suffices.
	stepLearningRate = 0.03
	minSlowdown      = 0.3
	maxSlowdown      = 6
	maxDelay         = 300 * time.Millisecond
	// maxUnqueuedWait is the longest expected queue wait with which an answer still updates
	// slowdown and delay.
	//
	// At an engine with a queue, the wait would be taken for a slowdown, which makes the queue look
	// longer still: under overload every engine would seem several times slower than it is.
	maxUnqueuedWait = 25 * time.Millisecond
	// queuedLearningRate is the weight of one answer that waited in a queue. Some fifty answers,
	// two seconds of a peak, reveal an engine that is three times slower than the others of its
	// role.
	queuedLearningRate = 0.04
	// modelErrorShare is the part of an error that is attributed to slowdown and delay of an engine
	// with no known queue, relative to the expected time. The rest of the error is attributed to a
	// wait behind prefills that this process does not know of.
	modelErrorShare = 0.3
	// maxRelativeError bounds the error of one answer that slowdown and delay are learned from,
	// relative to the expected time.
	maxRelativeError = 2
	// maxBacklogCorrection bounds by how much one answer moves the backlog. An answer delayed by
	// its connection or by this process says nothing about the engine, while an engine that is
	// behind sends ten late answers within a second.
	maxBacklogCorrection = 300 * time.Millisecond
	// decayAfter is the age from which learned values decay, and decayRate the part of the
	// difference that is removed each decayInterval.
	//
	// Without decay, an engine that one bad answer made look slow would get no more requests, and
	// so no answer that corrects it. An engine that prefills all the time is left as it is: under
	// overload no answer reveals its slowdown, and a slow engine would count as healthy (in a replay
	// at twice the load, 0.85 of the answers that are in time at full load instead of over 0.9).
	decayAfter    = 3 * time.Second
	decayRate     = 0.15
	decayInterval = 500 * time.Millisecond
	// backlogLearningRate is the part of the error of an expected end that is added to the backlog,
	// in all processes. It is about a third, since processes that observe the same queue at the
	// same time all add their corrections.
	//
	// If each process learned of an engine's unknown backlog from its own answers alone, one
	// prefill engine shared by many processes would have a second more of queue than all of them
	// assume, for seconds.
	backlogLearningRate = 0.35
	// utilizationWindow is the time constant of the prefill utilization: several times the prefill
	// time of a long prompt.
	utilizationWindow = 1500 * time.Millisecond
	// usableCacheShare is the part of the engine's KV memory that is counted on to hold prompt
	// parts.
	usableCacheShare = 0.85
	// maxPartsPerEngine bounds the parts remembered of one engine, and maxPartsPerService those of
	// all engines of a service together. A part takes 40 bytes: 20 MB of the 32 that a process may
	// use for control, whatever the size of the fleet.
	maxPartsPerEngine  = 8192
	maxPartsPerService = 1 << 19
)

// cacheEntry records when a part was last prefilled or used, as a position in the engine's count of
// inserted tokens.
type cacheEntry struct {
	position int64
	tokens   int
}

// engine is the state known of one endpoint. Plain services use the counts alone.
type engine struct {
	endpoint  carawayspread.Endpoint
	hash      uint32
	busyUntil time.Time // when the known prefills end; in the past if none is queued
	// backlogShift sums the corrections that answers have made to busyUntil. Ends expected before a
	// correction move with it.
	backlogShift    time.Duration
	slowdown        float64 // prefill time relative to the nominal one
	delay           time.Duration
	learnedAt       time.Time     // when an answer last updated slowdown and delay; zero for never
	stepSlowdown    float64       // step time relative to the nominal one
	medianSlowdown  float64       // of the prefill engines; the least slowdown of chunks beside decodes
	ownAttempts     int           // running attempts of this process
	ownTokens       int           // tokens of prompts and outputs of ownAttempts
	ownPrefills     int           // prefills of this process without an answer
	recentPrefill   time.Duration // time spent on prefill, decaying over utilizationWindow, as of recentPrefillAt
	recentPrefillAt time.Time
	insertedTokens  int64 // tokens that have entered the KV memory
	parts           map[uint64]cacheEntry
	maxParts        int           // bound of parts; at least 1
	meanLatency     time.Duration // of whole answers; plain services only
	cachedPrefix    int           // cached tokens of the prompt that is being placed
	lastProgress    time.Time     // when an answer or event last came, or a peer's count of attempts fell
	unanswered      []*attempt    // attempts of this process without an answer, oldest first
	suspendedUntil  time.Time     // no requests until then: it changes its role, leaves, is replaced or unreachable
}

func newEngine(endpoint carawayspread.Endpoint) *engine {
	return &engine{endpoint: endpoint, hash: hashOf(endpoint.ID()), slowdown: 1, delay: initialDelay, stepSlowdown: 1, parts: map[uint64]cacheEntry{}, maxParts: maxPartsPerEngine}
}

// update replaces the endpoint's entry. What was learned of an engine that changed its role is
// reset.
func (e *engine) update(endpoint carawayspread.Endpoint) {
	if endpoint.Role() != e.endpoint.Role() {
		e.slowdown, e.delay, e.learnedAt, e.suspendedUntil = 1, initialDelay, time.Time{}, time.Time{}
	}
	e.endpoint = endpoint
}

func (e *engine) prefillOnly() bool { return e.endpoint.Role() == carawayspread.RolePrefill }

// cachedTokens returns how many tokens at the start of the prompt the engine is assumed to hold.
func (e *engine) cachedTokens(parts []carawayspread.PromptPart, prefixHashes []uint64, memory int) int {
	sum := 0
	for i, hash := range prefixHashes {
		entry, ok := e.parts[hash]
		if !ok || e.insertedTokens-entry.position > int64(float64(memory)*usableCacheShare) {
			break
		}
		sum += parts[i].Tokens
	}
	return sum
}

// wait returns how long a new prefill waits for those queued before it.
func (e *engine) wait(now time.Time) time.Duration { return max(0, e.busyUntil.Sub(now)) }

// addPrefill appends a prefill to the backlog and returns its expected start and end.
func (e *engine) addPrefill(now time.Time, prefillTime time.Duration) (start, end time.Time) {
	start = later(now, e.busyUntil)
	e.busyUntil = start.Add(prefillTime)
	e.recentPrefill = e.decayedPrefill(now) + prefillTime
	e.recentPrefillAt = now
	return start, e.busyUntil
}

func (e *engine) decayedPrefill(now time.Time) time.Duration {
	return time.Duration(float64(e.recentPrefill) * math.Exp(-float64(now.Sub(e.recentPrefillAt))/float64(utilizationWindow)))
}

// prefillUtilization returns the part of the time that the engine spends on prefill, from 0 to 1.
func (e *engine) prefillUtilization(now time.Time) float64 {
	return min(1, float64(e.decayedPrefill(now))/float64(utilizationWindow))
}

// interTokenLatency returns the expected time between two tokens of an answer: a decode step, and
// the prefill chunks that run between steps.
func (e *engine) interTokenLatency(now time.Time, running int) time.Duration {
	chunk := time.Duration(float64(prefillChunk*mixedPrefillFactor*prefillPerToken) * e.slowdown)
	return time.Duration(float64(nominalStepTime(running))*max(1, e.slowdown)) + time.Duration(e.prefillUtilization(now)*float64(chunk))
}

// eventGap returns the longest expected time between two events of the answers that run at the
// engine, with the given prefill time pending there for prompts of about the given length: a chunk
// runs between any two steps of an event until all prompts are prefilled.
func (e *engine) eventGap(running, tokensPerEvent int, pending time.Duration, tokens int) time.Duration {
	pairs := time.Duration(int64(prefillChunk) * int64(tokens) / 1000)
	chunk := mixedPrefillFactor * (prefillChunk*prefillPerToken + pairs*prefillPerThousandPairs)
	chunks := time.Duration(float64(tokensPerEvent) * float64(chunk) * max(e.slowdown, e.medianSlowdown))
	return time.Duration(tokensPerEvent)*e.stepTime(running) + min(pending, chunks)
}

// learnStepTime updates the step slowdown from the time between two events of an answer, if no
// prefill ran between them.
func (e *engine) learnStepTime(from, to time.Time, tokensPerEvent, running int) {
	if !e.busyUntil.After(from) {
		measured := min(maxSlowdown, float64(to.Sub(from))/float64(tokensPerEvent)/float64(nominalStepTime(running)))
		e.stepSlowdown += stepLearningRate * (measured - e.stepSlowdown)
	}
}

// stepTime returns the expected time of one decode step with the given number of running answers.
func (e *engine) stepTime(running int) time.Duration {
	return time.Duration(float64(nominalStepTime(running)) * e.stepSlowdown)
}

// decay moves a slowdown that was not updated for long towards the median of the engine's role.
func (e *engine) decay(now time.Time, median float64) {
	if !e.learnedAt.IsZero() && now.Sub(later(e.learnedAt, e.recentPrefillAt)) > decayAfter {
		e.slowdown += decayRate * (median - e.slowdown)
	}
}

// nominalStepTime returns the time of one decode step at slowdown 1, with the given number of
// running answers.
func nominalStepTime(running int) time.Duration {
	return stepFixed + time.Duration(running)*stepPerRequest
}

// prefillTime returns the expected time of a prefill of tokens, of which cached are held already.
func (e *engine) prefillTime(tokens, cached, running int) time.Duration {
	uncached := max(0, tokens-cached)
	pairs := (int64(tokens)*int64(tokens) - int64(cached)*int64(cached)) / 2000
	d := time.Duration(uncached)*prefillPerToken + time.Duration(pairs)*prefillPerThousandPairs
	if !e.prefillOnly() {
		chunks := 1 + uncached/prefillChunk
		d = mixedPrefillFactor*d + time.Duration(chunks)*nominalStepTime(running)
	}
	return time.Duration(float64(d+prefillFixed) * e.slowdown)
}

// cacheParts marks the parts as held and adds the tokens that enter the KV memory.
func (e *engine) cacheParts(prefixHashes []uint64, tokens int) {
	e.insertedTokens += int64(tokens)
	for _, hash := range prefixHashes {
		e.parts[hash] = cacheEntry{position: e.insertedTokens}
	}
	if len(e.parts) > e.maxParts {
		e.prune()
	}
}

// prune forgets the parts in the older half of the engine's count of inserted tokens.
func (e *engine) prune() {
	oldest := e.insertedTokens
	for _, entry := range e.parts {
		oldest = min(oldest, entry.position)
	}
	middle := oldest + (e.insertedTokens-oldest)/2
	for hash, entry := range e.parts {
		if entry.position <= middle {
			delete(e.parts, hash)
		}
	}
}

// learnFromPrefill updates slowdown, delay and backlog from the answer to a prefill of this
// process, and returns by how much the backlog has moved.
//
// Slowdown and delay follow by normalised least mean squares, in units of initialDelay: short
// prompts determine the delay, long ones the slowdown. Each process learns them from its own
// answers alone. When they were shared with all processes, answers that waited behind unknown
// prefills made every engine look slow to every process (0.709 instead of 0.740 of the answers
// owed, with 117 engines).
func (e *engine) learnFromPrefill(now time.Time, a *attempt) time.Duration {
	prefillTime := a.expectedEnd.Sub(a.expectedStart)
	modelError := time.Duration(modelErrorShare * float64(prefillTime+e.delay))
	lateness := now.Sub(e.expectedEnd(a)) - e.delay
	if a.expectedStart.Sub(a.sentAt) < maxUnqueuedWait {
		attributed := a.attributablePrefillTime(now.Sub(a.expectedStart) - e.delay)
		e.learn(now, min(now.Sub(a.expectedStart), (1+maxRelativeError)*(attributed+e.delay)), float64(attributed)/a.slowdown)
	} else if a.pool != nil {
		e.learnFromQueued(now, a.pool.excessLag(e.prefillOnly(), float64(lateness)/float64(prefillTime)))
	}
	lateness -= max(-modelError, min(modelError, lateness))
	correction := time.Duration(backlogLearningRate * float64(max(-maxBacklogCorrection, min(maxBacklogCorrection, lateness))))
	e.shiftBacklog(correction)
	return correction
}

// expectedEnd returns when a prefill is expected to end, given the corrections of the engine's
// backlog since it was sent.
func (e *engine) expectedEnd(a *attempt) time.Time {
	return a.expectedEnd.Add(e.backlogShift - a.backlogShift)
}

// shiftBacklog moves the backlog and the expected ends of the prefills in progress.
func (e *engine) shiftBacklog(by time.Duration) {
	e.busyUntil = e.busyUntil.Add(by)
	e.backlogShift += by
}

// learnFromQueued corrects the slowdown by how much later than those of other engines of the role
// an answer that waited in a queue was, relative to the expected time.
//
// Only an answer that did not wait updates the slowdown directly, so a slow engine that always has
// a queue would otherwise get as many requests as the others. Lateness that all engines share comes
// from the load and is subtracted by the caller.
func (e *engine) learnFromQueued(now time.Time, lateness float64) {
	e.slowdown = min(maxSlowdown, max(minSlowdown, e.slowdown+queuedLearningRate*lateness))
	e.learnedAt = now
}

// learn updates slowdown and delay from the measured time of a prefill that takes the nominal time
// at slowdown 1.
func (e *engine) learn(now time.Time, took time.Duration, nominal float64) {
	x := nominal / float64(initialDelay)
	deviation := float64(took) - nominal*e.slowdown - float64(e.delay)
	correction := learningRate * deviation / (1 + x*x)
	e.delay = min(maxDelay, max(0, e.delay+time.Duration(correction)))
	e.learnedAt = now
	e.slowdown = min(maxSlowdown, max(minSlowdown, e.slowdown+correction/float64(initialDelay)*x))
}
