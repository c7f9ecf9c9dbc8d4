// Package speedlog keeps in the platform's table how fast engines work, for processes that all start at once.
//
// A process that starts learns the speeds of engines from its peers. Where all processes of a fleet start at the
// same time nobody knows them, and for seconds slow engines get as many requests as fast ones. The speeds last as
// long as the engines, which have not started anew.
package speedlog

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"time"

	"github.com/google/uuid"

	"carawayspread"
	"carawayspread/internal/process/decisionlog"
)

const (
	callTimeout = time.Second
	// readAttempts and readInterval bound the attempts to read at a start. After that the process has speeds of
	// its own, which are newer.
	readAttempts = 5
	readInterval = time.Second
	// saveInterval is the time between two looks at whether speeds have changed. What an engine does within
	// seconds is not its lasting speed.
	saveInterval = 5 * time.Second
	// minChange is the change of a logarithmic ratio, or of the share of engines, that is worth a write.
	minChange = 0.15
	// restoredWeight is what saved evidence counts in the whole fleet, in measurements. It outweighs the first
	// few measurements of an engine, and yields to more.
	restoredWeight = 8
	// maxEngines keeps the item below the size that the table takes.
	maxEngines = 4096
)

var key = carawayspread.Key{Partition: "speeds", Sort: "engines"}

// Source knows the speeds of engines.
type Source interface {
	// KnownSpeeds returns the evidence of lasting speeds that the process has, and hands none over.
	KnownSpeeds() []carawayspread.EngineSpeed
	// LearnSpeeds adds evidence, which so many processes share.
	LearnSpeeds(speeds []carawayspread.EngineSpeed, processes int)
}

// entry is the saved speed of an engine. Ratios are in hundredths; absent where nothing was known.
type entry struct {
	Engine  uint32 `json:"engine"`
	Prefill *int   `json:"prefill,omitempty"`
	Step    *int   `json:"step,omitempty"`
}

// state is the body of the item.
type state struct {
	Processes int     `json:"processes"` // that shared the evidence
	Engines   []entry `json:"engines"`
}

// Log saves and restores speeds. Run must be called only once.
type Log struct {
	table  carawayspread.Table
	source Source
	clock  carawayspread.Clock
	log    *decisionlog.Log
	// writer reports whether this process is the one that saves, and how many processes there are.
	writer func() (chosen bool, processes int)

	// The fields below are used by Run only.
	rev   uint64           // of the item, as last read or written
	saved map[uint32]entry // what the item holds
}

// New returns a log of the speeds that the source knows. Two processes that take themselves for the writer
// overwrite each other with evidence of the same age, which does no harm.
func New(table carawayspread.Table, source Source, writer func() (chosen bool, processes int), clock carawayspread.Clock, l *decisionlog.Log) *Log {
	return &Log{table: table, source: source, writer: writer, clock: clock, log: l, saved: map[uint32]entry{}}
}

// Run restores the speeds, and saves them until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	for range readAttempts {
		if l.restore(ctx) {
			break
		}
		if !l.wait(ctx, readInterval) {
			return ctx.Err()
		}
	}
	for l.wait(ctx, saveInterval) {
		if chosen, processes := l.writer(); chosen {
			l.save(ctx, processes)
		}
	}
	return ctx.Err()
}

func (l *Log) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-l.clock.After(d):
		return true
	}
}

// restore reads the item, and reports whether the table answered.
func (l *Log) restore(ctx context.Context) bool {
	s, err := l.read(ctx)
	if err != nil {
		l.log.Write(decisionlog.Start("speedLog").Text("outcome", "unread").Text("error", err.Error()))
		return false
	}
	if len(s.Engines) == 0 {
		return true
	}
	processes := max(1, s.Processes)
	speeds := make([]carawayspread.EngineSpeed, 0, len(s.Engines))
	for _, e := range s.Engines {
		speeds = append(speeds, carawayspread.EngineSpeed{Engine: e.Engine, Prefill: share(e.Prefill, processes), Step: share(e.Step, processes)})
	}
	l.source.LearnSpeeds(speeds, processes)
	l.log.Write(decisionlog.Start("speedLog").Text("outcome", "restored").Int("engines", int64(len(speeds))))
	return true
}

// read reads the item; the state is empty if there is none, or if it cannot be decoded.
func (l *Log) read(ctx context.Context) (state, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := l.table.Get(ctx, key)
	var s state
	switch {
	case errors.Is(err, carawayspread.ErrNoItem):
		l.rev = 0
	case err != nil:
		return s, err
	default:
		l.rev = item.Rev
		if json.Unmarshal(item.Body, &s) != nil || len(s.Engines) > maxEngines {
			s = state{}
		}
	}
	l.saved = map[uint32]entry{}
	for _, e := range s.Engines {
		l.saved[e.Engine] = e
	}
	return s, nil
}

// save writes the speeds if they have changed.
func (l *Log) save(ctx context.Context, processes int) {
	next := state{Processes: processes}
	for _, s := range l.source.KnownSpeeds() {
		if e := (entry{s.Engine, hundredths(s.Prefill), hundredths(s.Step)}); e.known() && len(next.Engines) < maxEngines {
			next.Engines = append(next.Engines, e)
		}
	}
	if !l.changed(next) {
		return
	}
	body, err := json.Marshal(next)
	if err != nil {
		return // of numbers alone
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = l.table.Apply(ctx, carawayspread.Write{IfRev: l.rev, Item: carawayspread.Item{Key: key, Token: uuid.NewString(), Body: body}})
	if err != nil {
		_, _ = l.read(ctx) // another writer, or an answer that was lost: the next save starts from what is there
		return
	}
	l.rev++
	l.saved = map[uint32]entry{}
	for _, e := range next.Engines {
		l.saved[e.Engine] = e
	}
}

// changed reports whether so many engines have other speeds, or are new, that they are worth a write.
func (l *Log) changed(next state) bool {
	n := 0
	for _, e := range next.Engines {
		if old, ok := l.saved[e.Engine]; !ok || differ(old.Prefill, e.Prefill) || differ(old.Step, e.Step) {
			n++
		}
	}
	return n > 0 && float64(n) >= minChange*float64(len(next.Engines))
}

func (e entry) known() bool { return e.Prefill != nil || e.Step != nil }

func differ(a, b *int) bool {
	if a == nil || b == nil {
		return b != nil
	}
	return math.Abs(float64(*a-*b)) >= 100*minChange
}

// hundredths returns the ratio of some evidence; nil if there is none.
func hundredths(s carawayspread.SpeedShare) *int {
	if !(s.Weight > 0) || math.IsNaN(s.Ratio) || math.Abs(s.Ratio) > 100 {
		return nil
	}
	n := int(math.Round(100 * s.Ratio))
	return &n
}

// share returns the part of the saved evidence that falls to this process.
func share(ratio *int, processes int) carawayspread.SpeedShare {
	if ratio == nil {
		return carawayspread.SpeedShare{}
	}
	return carawayspread.SpeedShare{Ratio: float64(*ratio) / 100, Weight: restoredWeight / float64(processes)}
}
