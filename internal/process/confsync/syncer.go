package confsync

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/transfer"
	"carawayspread/internal/version/record"
)

// Defaults of a Syncer: three polls of at most 5 s, each with its timeout of
// 1 s, fit into the 20 s in which a change is to be in force.
const (
	defaultPoll          = 4 * time.Second
	defaultFreshFor      = 12 * time.Second
	defaultRefreshWithin = 500 * time.Millisecond
	defaultRoundTimeout  = time.Second
	defaultSpread        = 500 * time.Millisecond
	defaultHedge         = 150 * time.Millisecond
	maxHistory           = 256  // records kept for peers
	maxHistoryValues     = 4096 // in these, about 0.5 MB
)

// Source is the configuration log.
type Source interface {
	// CatchUp returns the newest version with the records that lead to it. The
	// version was the newest at some moment after the call began. With an error
	// it returns how far it came, at least from itself.
	CatchUp(ctx context.Context, from *carawayspread.Config) (*carawayspread.Config, []record.Record, error)
}

// Syncer holds the newest configuration known. It is safe for concurrent use.
type Syncer struct {
	source        Source
	clock         carawayspread.Clock
	logger        log.Interface
	instance      string
	peers         func() []string // control addresses, the nearest first
	dial          func(address string) control.Control
	adopted       func(*carawayspread.Config)
	poll          time.Duration
	freshFor      time.Duration
	refreshWithin time.Duration
	roundTimeout  time.Duration
	spread        time.Duration // of the reads after a change is heard of
	hedge         time.Duration // after which peers are asked beside a slow table

	state     atomic.Pointer[state] // never nil; its version never falls
	attempted atomic.Pointer[stamp] // when the last finished round began; nil before
	tried     atomic.Uint64         // the highest version heard of that a read of the log settled
	heard     atomic.Uint64         // the highest version heard of
	nudge     chan struct{}         // holds one wake-up of Run
	asking    sync.Map              // addresses of peers that have not answered yet

	mu      sync.Mutex      // guards what follows, and the writing of state
	round   *round          // the round in flight, or nil
	history []record.Record // without gap, at most maxHistory
	// prepared is the last snapshot that was made for peers, or is being made; nil
	// before the first.
	prepared *preparation
}

// state is a configuration with its evidence. It is immutable.
type state struct {
	cfg    *carawayspread.Config
	proved stamp // no newer version than cfg had been accepted then; zero without evidence
}

// Option sets an optional part of a Syncer.
type Option func(*Syncer)

// WithPeers sets where the control addresses of other daemons come from.
func WithPeers(peers func() []string) Option { return func(s *Syncer) { s.peers = peers } }

// WithDial sets how the control service at an address is called.
func WithDial(dial func(address string) control.Control) Option {
	return func(s *Syncer) { s.dial = dial }
}

// WithAdopted sets what is called, one at a time and in order, with each
// version that the Syncer adopts.
func WithAdopted(adopted func(*carawayspread.Config)) Option {
	return func(s *Syncer) { s.adopted = adopted }
}

// WithInstance names the daemon in its calls.
func WithInstance(id string) Option { return func(s *Syncer) { s.instance = id } }

// WithLogger sets where events are logged.
func WithLogger(logger log.Interface) Option { return func(s *Syncer) { s.logger = logger } }

// WithTimes sets the mean time between polls, the age at which evidence is too
// old, and how long a request waits for new evidence. Zero keeps a default.
func WithTimes(poll, freshFor, refreshWithin time.Duration) Option {
	return func(s *Syncer) {
		s.poll = max(poll, 0)
		s.freshFor = max(freshFor, 0)
		s.refreshWithin = max(refreshWithin, 0)
	}
}

// New returns a Syncer that holds no configuration yet.
func New(source Source, clock carawayspread.Clock, opts ...Option) *Syncer {
	s := &Syncer{
		source: source, clock: clock, logger: log.Log,
		peers:        func() []string { return nil },
		dial:         dialTwirp,
		adopted:      func(*carawayspread.Config) {},
		roundTimeout: defaultRoundTimeout,
		spread:       defaultSpread,
		hedge:        defaultHedge,
		nudge:        make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.poll = orDefault(s.poll, defaultPoll)
	s.freshFor = orDefault(s.freshFor, defaultFreshFor)
	s.refreshWithin = orDefault(s.refreshWithin, defaultRefreshWithin)
	s.state.Store(&state{cfg: carawayspread.NewConfig(0, nil, nil, nil)})
	return s
}

func orDefault(d, preset time.Duration) time.Duration {
	if d == 0 {
		return preset
	}
	return d
}

func dialTwirp(address string) control.Control {
	way := transfer.New(transfer.Bounds{Connect: connectTime, Silence: silence, Whole: wholeTime, Bytes: answerLimit})
	return control.NewControlProtobufClient("http://"+address, way.Client())
}

// Held returns the configuration held now; its version is 0 before the first.
func (s *Syncer) Held() *carawayspread.Config { return s.state.Load().cfg }

// Ready reports whether a configuration was ever proved, by the log or through
// a peer; an empty log proves the empty one.
func (s *Syncer) Ready() bool { return !s.state.Load().proved.zero() }

// Staleness returns how long ago the held version was known to be the newest;
// ok is false where it never was.
func (s *Syncer) Staleness() (age time.Duration, ok bool) {
	proved := s.state.Load().proved
	return proved.age(s.clock.Now()), !proved.zero()
}

// Current returns the configuration under which the next request is served.
//
// A process that was paused, or cut off, may have slept through a change:
// symptom, it serves under a configuration that is no longer in force. Its
// evidence is then older than the bound, by the wall or the monotonic clock,
// and the request waits for a new proof. Where one was sought a moment ago in
// vain, the log and the peers are down and not the process: the request goes on
// with the last accepted version, without a wait.
func (s *Syncer) Current(ctx context.Context) *carawayspread.Config {
	held := s.state.Load()
	now := s.clock.Now()
	if held.proved.within(now, s.freshFor) || s.soughtRecently(now) {
		return held.cfg
	}
	s.renew(ctx)
	return s.Held()
}

func (s *Syncer) soughtRecently(now time.Time) bool {
	attempted := s.attempted.Load()
	return attempted != nil && attempted.within(now, 2*s.poll)
}

// renew waits for a round that began after now, within the bound. A round in
// flight may have read the log before the process was paused, and proves
// nothing about the time since; its evidence carries the time it began, so
// that a second round is started where the first one does not suffice.
func (s *Syncer) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.refreshWithin)
	defer cancel()
	for range 2 {
		s.refresh(ctx)
		now := s.clock.Now()
		if ctx.Err() != nil || s.state.Load().proved.within(now, s.freshFor) || s.soughtRecently(now) {
			return
		}
	}
}

// Adopt takes a configuration that this process has just had accepted.
func (s *Syncer) Adopt(cfg *carawayspread.Config, r record.Record) {
	s.accept(cfg, []record.Record{r}, stamp{})
}

// accept takes a configuration, the records that lead to it and the moment at
// which it was the newest, zero if unknown. A late or crossed answer holds an
// older version: the held one stays. Its evidence still counts, since what was
// the newest at that moment is not newer than what is held.
func (s *Syncer) accept(cfg *carawayspread.Config, records []record.Record, proved stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.state.Load()
	next := &state{cfg: held.cfg, proved: held.proved.later(proved)}
	newer := cfg.Version() > held.cfg.Version()
	if newer {
		next.cfg = cfg
		s.remember(records)
	}
	s.state.Store(next)
	if newer {
		s.logger.WithFields(log.Fields{"version": cfg.Version(), "from": held.cfg.Version()}).Info("config.adopted")
		s.adopted(cfg)
	}
}

// remember keeps records for peers. Its caller holds mu.
func (s *Syncer) remember(records []record.Record) {
	for _, r := range records {
		if n := len(s.history); n > 0 {
			last := s.history[n-1].Version
			if r.Version <= last {
				continue
			}
			if r.Version != last+1 {
				s.history = nil
			}
		}
		s.history = append(s.history, r)
	}
	values := 0
	for i := len(s.history) - 1; i >= 0; i-- {
		values += s.history[i].Change.Len()
		if len(s.history)-i > maxHistory || values > maxHistoryValues {
			s.history = slices.Clone(s.history[i+1:])
			return
		}
	}
}
