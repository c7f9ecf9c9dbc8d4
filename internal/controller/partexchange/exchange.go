// Package partexchange passes crashes under parts of prompts on between entries, in one item of the
// platform's table.
//
// Entries do not talk to each other. Each of them alone would need as many crashed endpoints as all of them
// together to find the part that crashes endpoints. A crash is rare, so that a write for each is cheap, and
// each entry reads the item every two seconds.
package partexchange

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"carawayspread"
)

const (
	// interval is the time between two reads of the item, and bounds how long crashes and answers wait to be
	// written.
	interval    = 2 * time.Second
	callTimeout = 2 * time.Second
	// maxAttempts bounds the attempts of a write that conflicts with those of other entries.
	maxAttempts = 4
	// memory is how long a crash or an answer stays in the item. maxEntries bounds both, at about 100 bytes
	// each.
	memory     = 10 * time.Minute
	maxEntries = 512
	// sameCrash is how far apart entries may observe one crash of an endpoint.
	sameCrash = 2 * time.Second
)

var key = carawayspread.Key{Partition: "quarantine", Sort: "partCrashes"}

// Parts is what is exchanged.
type Parts interface {
	// Learn records crashes, and returns the parts that were answered here since.
	Learn(crashes []carawayspread.PartCrash) (answered []uint64)
	// AnsweredByPeer clears parts that another entry answered.
	AnsweredByPeer(parts []uint64)
}

// item is the body of the item.
type item struct {
	Crashes  []crash  `json:"crashes"`
	Answered []answer `json:"answered"`
}

// answer is the last answer to a prompt with a part that had crashes.
type answer struct {
	Part uint64    `json:"part"`
	At   time.Time `json:"at"`
}

// crash is one crash of an endpoint under a prompt with the part.
type crash struct {
	Part     uint64                   `json:"part"`
	Endpoint carawayspread.EndpointID `json:"endpoint"`
	Witness  uint32                   `json:"witness"`
	At       time.Time                `json:"at"`
	Doubtful bool                     `json:"doubtful,omitempty"`
}

func (c crash) same(other crash) bool {
	return c.Part == other.Part && c.Endpoint == other.Endpoint && c.At.Sub(other.At).Abs() < sameCrash
}

// Exchange exchanges the crashes of one process. It is safe for concurrent use.
type Exchange struct {
	table carawayspread.Table
	clock carawayspread.Clock
	log   log.Interface

	mu       sync.Mutex
	crashes  []crash  // not written yet
	answered []answer // not written yet

	wake    chan struct{}
	refused uint64               // the last revision that could not be read
	passed  map[uint64]time.Time // the last answer to each part that was passed on to Parts
}

// New returns an exchange over the table.
func New(table carawayspread.Table, clock carawayspread.Clock, l log.Interface) *Exchange {
	return &Exchange{table: table, clock: clock, log: l, wake: make(chan struct{}, 1), passed: map[uint64]time.Time{}}
}

// Crashed passes crashes on. It does not wait.
func (x *Exchange) Crashed(crashes []carawayspread.PartCrash) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range crashes[:min(len(crashes), maxEntries-len(x.crashes))] {
		x.crashes = append(x.crashes, crash{c.Part, c.Endpoint, c.Witness, x.clock.Now().Add(-c.Age), c.Doubtful})
	}
	x.wakeUp()
}

// Answered removes the crashes of parts that were answered. It does not wait.
func (x *Exchange) Answered(parts []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, part := range parts[:min(len(parts), maxEntries-len(x.answered))] {
		x.answered = append(x.answered, answer{part, x.clock.Now()})
	}
	x.wakeUp()
}

func (x *Exchange) wakeUp() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Run passes what other processes wrote to parts, and writes what is new here, until ctx ends.
func (x *Exchange) Run(ctx context.Context, parts Parts) error {
	for {
		if err := x.exchange(ctx, parts); err != nil && ctx.Err() == nil {
			x.log.WithError(err).Warn("cannot exchange crashes under parts of prompts")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-x.wake:
		case <-x.clock.After(interval):
		}
	}
}

func (x *Exchange) exchange(ctx context.Context, parts Parts) error {
	x.mu.Lock()
	crashes, answered := x.crashes, x.answered
	x.crashes, x.answered = nil, nil
	x.mu.Unlock()
	var err error
	for range maxAttempts {
		var rev uint64
		var known item
		if rev, known, err = x.read(ctx); err != nil {
			break
		}
		x.passOn(known, parts)
		merged := x.merge(known, crashes, answered)
		if slices.Equal(merged.Crashes, known.Crashes) && slices.Equal(merged.Answered, known.Answered) {
			return nil
		}
		if err = x.write(ctx, rev, merged); !errors.Is(err, carawayspread.ErrCondition) {
			break
		}
	}
	if err != nil {
		x.mu.Lock()
		x.crashes, x.answered = newest(append(crashes, x.crashes...)), newest(append(answered, x.answered...))
		x.mu.Unlock()
	}
	return err
}

// newest returns the last maxEntries of them.
func newest[T any](all []T) []T { return all[max(0, len(all)-maxEntries):] }

// passOn passes answers that are new, and all crashes, to parts.
func (x *Exchange) passOn(known item, parts Parts) {
	passed := map[uint64]time.Time{}
	for _, a := range known.Answered {
		if passed[a.Part] = a.At; a.At.After(x.passed[a.Part]) {
			parts.AnsweredByPeer([]uint64{a.Part})
		}
	}
	x.passed = passed
	var reports []carawayspread.PartCrash
	for _, c := range known.Crashes {
		reports = append(reports, carawayspread.PartCrash{
			Part: c.Part, Endpoint: c.Endpoint, Witness: c.Witness, Age: max(0, x.clock.Now().Sub(c.At)), Doubtful: c.Doubtful,
		})
	}
	parts.Learn(reports)
}

// merge returns the item with what is new, without the crashes of parts that were answered since.
func (x *Exchange) merge(known item, crashes []crash, answered []answer) item {
	oldest := x.clock.Now().Add(-memory)
	var merged item
	for _, a := range slices.Concat(answered, known.Answered) {
		isKnown := func(other answer) bool { return other.Part == a.Part }
		if a.At.After(oldest) && len(merged.Answered) < maxEntries && !slices.ContainsFunc(merged.Answered, isKnown) {
			merged.Answered = append(merged.Answered, a)
		}
	}
	for _, c := range slices.Concat(known.Crashes, crashes) {
		since := func(a answer) bool { return a.Part == c.Part && a.At.After(c.At) }
		if c.At.After(oldest) && !slices.ContainsFunc(merged.Answered, since) && !slices.ContainsFunc(merged.Crashes, c.same) {
			merged.Crashes = append(merged.Crashes, c)
		}
	}
	merged.Crashes = merged.Crashes[max(0, len(merged.Crashes)-maxEntries):]
	return merged
}

func (x *Exchange) read(ctx context.Context) (uint64, item, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := x.table.Get(ctx, key)
	if errors.Is(err, carawayspread.ErrNoItem) {
		return 0, item{}, nil
	}
	if err != nil {
		return 0, item{}, err
	}
	var known item
	if err := json.Unmarshal(stored.Body, &known); err != nil {
		x.refuse(stored.Rev, err)
		return stored.Rev, item{}, nil
	}
	ahead := x.clock.Now().Add(memory)
	known.Crashes = slices.DeleteFunc(known.Crashes, func(c crash) bool { return c.At.After(ahead) })
	known.Answered = slices.DeleteFunc(known.Answered, func(a answer) bool { return a.At.After(ahead) })
	return stored.Rev, known, nil
}

// refuse logs once that the item of that revision is another writer's. It is written over with the next crash.
func (x *Exchange) refuse(rev uint64, err error) {
	if x.refused != rev {
		x.refused = rev
		x.log.WithError(err).WithField("rev", rev).Error("the crashes under parts of prompts cannot be read")
	}
}

func (x *Exchange) write(ctx context.Context, rev uint64, next item) error {
	body, err := json.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return x.table.Apply(ctx, carawayspread.Write{IfRev: rev, Item: carawayspread.Item{Key: key, Token: uuid.NewString(), Body: body}})
}
