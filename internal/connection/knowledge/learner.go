// Package knowledge lets a process learn routes and endpoints from its peers: from
// the one that reads the platform's store for its zone, or from any where the store
// does not answer.
//
// Load pattern: processes that start, all at once after a loss of power, while
// the store is down or turns some of them away. Without it they refuse every
// request until the store is back, though a peer knows where to send them; and a
// process that is cut off from the store alone serves by routes that others have
// left behind. Versions are the store's own, so that no clock is compared and
// nothing older is taken.
package knowledge

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"carawayspread"
	"carawayspread/internal/connection/transfer"
)

const (
	// askEvery is the time between two looks. A store that answers does so in a
	// tenth of it; routes learnt so are in force inside two seconds.
	askEvery = 500 * time.Millisecond
	// connectTime bounds the connection to a peer: many times a message's way, and less
	// than a caller's patience.
	connectTime = 400 * time.Millisecond
	// silence bounds the time without a byte of a peer's answer. In it a small instance
	// packs the largest configuration, and a link on which callers press passes
	// something on.
	silence = time.Second
	// wholeTime is the end of any answer: by then the promise is lost and the store has
	// been asked.
	wholeTime = 15 * time.Second
	// answerLimit bounds a peer's answer in bytes: several times the largest list or
	// configuration.
	answerLimit = 16 << 20
	// asked is how many peers are tried at one look: one may be cut off as well,
	// one may have just started.
	asked = 3
)

// Holder keeps what is known.
type Holder interface {
	// Status returns what is known of a matter.
	Status(of carawayspread.Resource) carawayspread.ResourceStatus
	// NewerThan returns what is newer than these versions.
	NewerThan(routes, list uint64) carawayspread.Knowledge
	// Learn takes what is newer than what it has, and reports whether it did.
	Learn(carawayspread.Knowledge) (bool, error)
	// Stale reports whether what is known has not been confirmed for too long.
	Stale() bool
}

// Learner asks peers and answers theirs.
type Learner struct {
	holder  Holder
	peers   func() []string // addresses, IP number and port
	clock   carawayspread.Clock
	log     log.Interface
	learnt  *metrics.Counter
	givenUp *metrics.Counter
	bytes   *metrics.Counter
	uptime  carawayspread.Uptime
	observe func(asked, stamp time.Duration)
	packer  *packer
	// asking is held while a peer is asked for the matter.
	asking [carawayspread.ResourceCount]sync.Mutex
}

// Option sets an optional part of a Learner.
type Option func(*Learner)

// WithStoreTime has bounds of the store's steady clock observed that peers state, with
// the uptime at which each was asked for.
func WithStoreTime(uptime carawayspread.Uptime, observe func(asked, stamp time.Duration)) Option {
	return func(l *Learner) { l.uptime, l.observe = uptime, observe }
}

// New returns a learner for the holder.
func New(holder Holder, peers func() []string, clock carawayspread.Clock, l log.Interface, set *metrics.Set, opts ...Option) *Learner {
	learner := &Learner{
		holder: holder, peers: peers, clock: clock, log: l, packer: newPacker(),
		learnt:  set.GetOrCreateCounter("gateway_learnt_from_peers_total"),
		givenUp: set.GetOrCreateCounter("gateway_peer_transfers_given_up_total"),
		bytes:   set.GetOrCreateCounter("gateway_peer_transfer_bytes_total"),
	}
	for _, opt := range opts {
		opt(learner)
	}
	return learner
}

// Handler answers peers.
func (l *Learner) Handler() http.Handler { return NewKnowledgeServer(l) }

// Newer implements the service.
func (l *Learner) Newer(_ context.Context, req *NewerRequest) (*NewerResponse, error) {
	routes := req.Routes
	if have := l.holder.Status(carawayspread.ResourceRoutes).Version; !req.Changes && have > routes {
		routes = 0 // the whole
	}
	known := l.holder.NewerThan(routes, req.List)
	return &NewerResponse{
		Routes:  l.toWire(carawayspread.ResourceRoutes, known.Routes, req.Changes),
		List:    l.toWire(carawayspread.ResourceEndpoints, known.Endpoints, req.Changes),
		StoreMs: uint64(known.StoreTime / time.Millisecond),
	}, nil
}

// Run asks until ctx ends.
func (l *Learner) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.clock.After(askEvery*9/10 + rand.N(askEvery/5)):
		}
		if l.holder.Stale() {
			l.ask(ctx)
		}
	}
}

// ask tries peers in random order until one brings something new.
func (l *Learner) ask(ctx context.Context) {
	peers := l.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(asked, len(peers))] {
		if l.askAll(ctx, peer) {
			return
		}
	}
}

// askAll asks a peer for each matter at once, and reports whether it brought something
// new and nothing that cannot be read.
func (l *Learner) askAll(ctx context.Context, peer string) bool {
	var learnt [carawayspread.ResourceCount]bool
	var errs [carawayspread.ResourceCount]error
	var asking sync.WaitGroup
	for of := range carawayspread.ResourceCount {
		asking.Go(func() { learnt[of], errs[of] = l.learn(ctx, peer, of) })
	}
	asking.Wait()
	return slices.Contains(learnt[:], true) && errors.Join(errs[:]...) == nil
}

// Ask has one peer hand on what is newer of a matter.
func (l *Learner) Ask(ctx context.Context, peer string, of carawayspread.Resource) error {
	_, err := l.learn(ctx, peer, of)
	return err
}

// AskTime has a peer bound the store's steady clock, and hands nothing else on.
func (l *Learner) AskTime(ctx context.Context, peer string) error {
	_, err := l.newer(ctx, peer, storeTime, &NewerRequest{Routes: math.MaxUint64, List: math.MaxUint64})
	return err
}

// storeTime is what a question for the store's clock alone is about, in logs.
const storeTime = "storeTime"

// answer is what a peer hands on.
type answer struct {
	*NewerResponse
	received int64 // bytes
	took     time.Duration
}

// newer asks a peer, and takes its bound on the store's clock.
func (l *Learner) newer(ctx context.Context, peer string, about string, req *NewerRequest) (answer, error) {
	var asked time.Duration
	if l.observe != nil {
		asked = l.uptime.Uptime()
	}
	begun := l.clock.Now()
	way := transfer.New(transfer.Bounds{Connect: connectTime, Silence: silence, Whole: wholeTime, Bytes: answerLimit})
	got, err := NewKnowledgeProtobufClient("http://"+peer, way.Client()).Newer(ctx, req)
	received, took := way.Received(), l.clock.Now().Sub(begun)
	l.bytes.AddInt64(received)
	if err != nil && ctx.Err() == nil {
		l.givenUp.Inc()
		l.log.WithError(err).WithField("peer", peer).WithField("of", about).
			WithField("bytes", received).WithField("ms", took.Milliseconds()).Warn("peer hands nothing on")
	}
	if err == nil && l.observe != nil {
		l.observe(asked, time.Duration(got.StoreMs)*time.Millisecond)
	}
	return answer{got, received, took}, err
}

// learn takes what the peer knows of a matter, and reports whether it was newer. One
// peer at a time is asked for a matter: the same would arrive twice.
func (l *Learner) learn(ctx context.Context, peer string, of carawayspread.Resource) (bool, error) {
	if !l.asking[of].TryLock() {
		return false, carawayspread.ErrTooSoon
	}
	defer l.asking[of].Unlock()
	return l.learnSince(ctx, peer, of, l.holder.Status(of).Version)
}

// learnSince takes changes since that version, and the whole where they do not fit.
func (l *Learner) learnSince(ctx context.Context, peer string, of carawayspread.Resource, version uint64) (bool, error) {
	req := &NewerRequest{Routes: math.MaxUint64, List: math.MaxUint64, Changes: true}
	if of == carawayspread.ResourceRoutes {
		req.Routes = version
	} else {
		req.List = version
	}
	got, err := l.newer(ctx, peer, of.String(), req)
	if err != nil {
		return false, err
	}
	learnt, err := l.take(got.NewerResponse)
	if errors.Is(err, carawayspread.ErrDeltaMismatch) && version > 0 {
		return l.learnSince(ctx, peer, of, 0)
	}
	if err != nil {
		l.log.WithError(err).WithField("peer", peer).Warn("what a peer hands on cannot be read")
		return learnt, err
	}
	if learnt {
		l.learnt.Inc()
		d := got.GetRoutes()
		if of == carawayspread.ResourceEndpoints {
			d = got.GetList()
		}
		l.log.WithField("peer", peer).WithField("of", of.String()).WithField("version", d.GetVersion()).
			WithField("since", d.GetSince()).WithField("bytes", got.received).WithField("ms", got.took.Milliseconds()).Info("learnt from a peer")
	}
	return learnt, nil
}

// take takes a peer's answer.
func (l *Learner) take(got *NewerResponse) (bool, error) {
	routes, err := fromWire(got.Routes)
	if err != nil {
		return false, err
	}
	list, err := fromWire(got.List)
	if err != nil {
		return false, err
	}
	return l.holder.Learn(carawayspread.Knowledge{Routes: routes, Endpoints: list})
}

// toWire returns a document for a peer, packed where the peer takes that and it pays.
func (l *Learner) toWire(of carawayspread.Resource, d carawayspread.Document, packs bool) *Document {
	if d.Version == 0 {
		return nil
	}
	wire := &Document{Version: d.Version, Since: d.Since, Body: d.Body}
	if !packs || len(d.Body) < packLeast {
		return wire
	}
	packed, err := l.packer.pack(of, d)
	if err != nil {
		l.log.WithError(err).WithField("of", of.String()).Error("cannot be packed")
		return wire
	}
	wire.Body, wire.Packed = packed, true
	return wire
}

func fromWire(d *Document) (carawayspread.Document, error) {
	body := d.GetBody()
	if d.GetPacked() {
		var err error
		if body, err = transfer.Unpack(body, unpackedLimit); err != nil {
			return carawayspread.Document{}, err
		}
	}
	return carawayspread.Document{Version: d.GetVersion(), Since: d.GetSince(), Body: body}, nil
}
