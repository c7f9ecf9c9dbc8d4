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

// Defaults of a Syncer: three polls of at most 5 s, each with its timeout of 1 s, fit into the 20 s
// within which a change is to be in force.
const (
	defaultPoll          = 4 * time.Second
	defaultFreshFor      = 12 * time.Second
	defaultRefreshWithin = 500 * time.Millisecond
	defaultRoundTimeout  = time.Second
	defaultReadJitter    = 500 * time.Millisecond
	defaultHedge         = 150 * time.Millisecond
	maxHistory           = 256  // records kept for peers
	maxHistoryValues     = 4096 // values in these records, about 0.5 MB
)

// Source is the configuration log.
type Source interface {
	// CatchUp returns the newest version with the records between from and it. The version was the
	// newest at some moment after the call began. With an error it returns the version that it
	// reached, at least from itself.
	CatchUp(ctx context.Context, from *carawayspread.Config) (*carawayspread.Config, []record.Record, error)
}

// Syncer holds the newest configuration known. It is safe for concurrent use.
type Syncer struct {
	source        Source
	clock         carawayspread.Clock
	logger        log.Interface
	instance      string
	peers         func() []string // control addresses, nearest first
	dial          func(address string) control.Control
	adopted       func(*carawayspread.Config)
	poll          time.Duration
	freshFor      time.Duration
	refreshWithin time.Duration
	roundTimeout  time.Duration
	readJitter    time.Duration // maximum delay of the read after a change is announced
	hedge         time.Duration // delay after which peers are queried in addition to a slow table

	state          atomic.Pointer[state] // never nil; its version never decreases
	lastAttempt    atomic.Pointer[stamp] // start of the last finished round; nil before the first
	coveredVersion atomic.Uint64         // highest announced version covered by a read of the log
	announced      atomic.Uint64         // highest version announced by peers
	wake           chan struct{}         // holds at most one wake-up of Run
	inFlight       sync.Map              // addresses of peers with a pending query

	mu      sync.Mutex      // guards the fields below, and writes of state
	round   *round          // the running round, or nil
	history []record.Record // without gaps, at most maxHistory
	// prepared is the last snapshot that was, or is being, prepared for peers; nil before the
	// first.
	prepared *preparation
}

// state is a configuration with its confirmation. It is immutable.
type state struct {
	cfg       *carawayspread.Config
	confirmed stamp // when no newer version than cfg had been accepted; zero if never confirmed
}

// Option sets an optional part of a Syncer.
type Option func(*Syncer)

// WithPeers sets the function that returns the control addresses of other daemons, nearest first.
func WithPeers(peers func() []string) Option { return func(s *Syncer) { s.peers = peers } }

// WithDial sets the function that returns a client of the control service at an address.
func WithDial(dial func(address string) control.Control) Option {
	return func(s *Syncer) { s.dial = dial }
}

// WithAdopted sets the function that is called with each version that the Syncer adopts, one at a
// time and in order.
func WithAdopted(adopted func(*carawayspread.Config)) Option {
	return func(s *Syncer) { s.adopted = adopted }
}

// WithInstance sets the instance ID that the daemon sends in its calls.
func WithInstance(id string) Option { return func(s *Syncer) { s.instance = id } }

// WithLogger sets the logger of the Syncer's events.
func WithLogger(logger log.Interface) Option { return func(s *Syncer) { s.logger = logger } }

// WithTimes sets the mean time between polls, the age at which a confirmation is too old, and how
// long a request waits for a new one. Zero keeps a default.
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
		readJitter:   defaultReadJitter,
		hedge:        defaultHedge,
		wake:         make(chan struct{}, 1),
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
	transport := transfer.New(transfer.Limits{ConnectTimeout: connectTimeout, IdleTimeout: idleTimeout, TotalTimeout: totalTimeout, MaxBytes: responseLimit})
	return control.NewControlProtobufClient("http://"+address, transport.Client())
}

// Held returns the configuration held now; its version is 0 before the first one arrives.
func (s *Syncer) Held() *carawayspread.Config { return s.state.Load().cfg }

// Ready reports whether a configuration was ever confirmed, by the log or through a peer; an empty
// log confirms the empty configuration.
func (s *Syncer) Ready() bool { return !s.state.Load().confirmed.zero() }

// Staleness returns how long ago the held version was last known to be the newest; ok is false if
// it never was.
func (s *Syncer) Staleness() (age time.Duration, ok bool) {
	confirmed := s.state.Load().confirmed
	return confirmed.age(s.clock.Now()), !confirmed.zero()
}

// Current returns the configuration under which the next request is served.
//
// A process that was paused, or cut off, may have missed a change and would serve under a
// configuration that is no longer in force. Its confirmation is then older than the bound, by the
// wall or the monotonic clock, and the request waits for a new one. If a recent attempt to get one
// has failed, the log and the peers are down and not this process: the request is served without a
// wait under the last accepted version.
func (s *Syncer) Current(ctx context.Context) *carawayspread.Config {
	held := s.state.Load()
	now := s.clock.Now()
	if held.confirmed.within(now, s.freshFor) || s.attemptedRecently(now) {
		return held.cfg
	}
	s.reconfirm(ctx)
	return s.Held()
}

func (s *Syncer) attemptedRecently(now time.Time) bool {
	lastAttempt := s.lastAttempt.Load()
	return lastAttempt != nil && lastAttempt.within(now, 2*s.poll)
}

// reconfirm waits for a round that began after now, for at most refreshWithin. A round that is
// already running may have read the log before the process was paused, and confirms nothing about
// the time since. Its confirmation carries the time at which it began, so a second round is started
// if the first one does not suffice.
func (s *Syncer) reconfirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.refreshWithin)
	defer cancel()
	for range 2 {
		s.refresh(ctx)
		now := s.clock.Now()
		if ctx.Err() != nil || s.state.Load().confirmed.within(now, s.freshFor) || s.attemptedRecently(now) {
			return
		}
	}
}

// Adopt adopts the configuration that results from a change which this process has just appended to the
// configuration log, with the record of that change.
func (s *Syncer) Adopt(cfg *carawayspread.Config, r record.Record) {
	s.accept(cfg, []record.Record{r}, stamp{})
}

// accept adopts cfg if it is newer than the held configuration. records lead to it, and confirmed is
// the moment at which it was the newest, zero if unknown. A late or reordered response has an older
// version, and the held one is kept. Its confirmation still counts, since the version that was the
// newest at that moment is not newer than the held one.
func (s *Syncer) accept(cfg *carawayspread.Config, records []record.Record, confirmed stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.state.Load()
	next := &state{cfg: held.cfg, confirmed: held.confirmed.later(confirmed)}
	newer := cfg.Version() > held.cfg.Version()
	if newer {
		next.cfg = cfg
		s.keepRecords(records)
	}
	s.state.Store(next)
	if newer {
		s.logger.WithFields(log.Fields{"version": cfg.Version(), "from": held.cfg.Version()}).Info("config.adopted")
		s.adopted(cfg)
	}
}

// keepRecords keeps records for peers, within the limits of the history. Its caller holds mu.
func (s *Syncer) keepRecords(records []record.Record) {
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
