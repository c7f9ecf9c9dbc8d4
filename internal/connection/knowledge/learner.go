// Package knowledge lets a process learn routes and endpoints from its peers: from
// the one that reads the platform's store for its zone, or from any peer while the
// store does not answer.
//
// It is needed by processes that start, perhaps all at once after a power failure, while
// the store is down or rejects some of them. Without it they would refuse every request
// until the store answers again, although a peer knows the routes, and a process that is
// partitioned from the store alone would keep serving by routes that the others have already
// replaced. Versions are assigned by the store, so no clocks are compared and an older
// version never replaces a newer one.
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
	// pollInterval is the time between two checks whether peers must be queried. A store that
	// answers does so in a tenth of it. Routes learned from peers are in use within two seconds.
	pollInterval = 500 * time.Millisecond
	// connectTimeout bounds connecting to a peer. It is many times the network latency, and less
	// than callers wait.
	connectTimeout = 400 * time.Millisecond
	// idleTimeout bounds the time without a byte of a peer's answer. It is enough for a small
	// instance to compress the largest configuration, and for a link that is busy with requests of
	// callers to transfer something.
	idleTimeout = time.Second
	// totalTimeout bounds a whole transfer. By then the guaranteed time to apply a change has
	// passed and the store has been queried.
	totalTimeout = 15 * time.Second
	// maxAnswerBytes bounds a peer's answer: several times the largest list of endpoints or
	// configuration.
	maxAnswerBytes = 16 << 20
	// peersPerPoll is how many peers are tried in one poll: one may be partitioned as well, and
	// one may have just started.
	peersPerPoll = 3
)

// Holder stores the knowledge of this process.
type Holder interface {
	// Status returns the status of a resource.
	Status(resource carawayspread.Resource) carawayspread.ResourceStatus
	// NewerThan returns the resources that are newer than these versions.
	NewerThan(routes, endpoints uint64) carawayspread.Knowledge
	// Learn adopts the resources that are newer than the stored ones, and reports whether there were
	// any.
	Learn(carawayspread.Knowledge) (bool, error)
	// Stale reports whether the knowledge has not been confirmed for too long.
	Stale() bool
}

// Learner queries peers and answers their queries.
type Learner struct {
	holder  Holder
	peers   func() []string // IP addresses and ports
	clock   carawayspread.Clock
	log     log.Interface
	learnt  *metrics.Counter
	givenUp *metrics.Counter
	bytes   *metrics.Counter
	uptime  carawayspread.Uptime
	observe func(requestedAt, storeTime time.Duration)
	cache   *packCache
	// pulling is held for a resource while a peer is queried for it.
	pulling [carawayspread.ResourceCount]sync.Mutex
}

// Option sets an optional part of a Learner.
type Option func(*Learner)

// WithStoreTime sets a function that receives the bounds of the store's monotonic clock that peers
// report, each with the uptime at which it was requested.
func WithStoreTime(uptime carawayspread.Uptime, observe func(requestedAt, storeTime time.Duration)) Option {
	return func(l *Learner) { l.uptime, l.observe = uptime, observe }
}

// New returns a Learner for the holder. The function peers returns IP addresses and ports.
func New(holder Holder, peers func() []string, clock carawayspread.Clock, l log.Interface, set *metrics.Set, opts ...Option) *Learner {
	learner := &Learner{
		holder: holder, peers: peers, clock: clock, log: l, cache: newPackCache(),
		learnt:  set.GetOrCreateCounter("gateway_learnt_from_peers_total"),
		givenUp: set.GetOrCreateCounter("gateway_peer_transfers_given_up_total"),
		bytes:   set.GetOrCreateCounter("gateway_peer_transfer_bytes_total"),
	}
	for _, opt := range opts {
		opt(learner)
	}
	return learner
}

// Handler returns the HTTP handler for queries of peers.
func (l *Learner) Handler() http.Handler { return NewKnowledgeServer(l) }

// Newer implements the Knowledge service. A caller that does not accept changes gets the complete
// routes.
func (l *Learner) Newer(_ context.Context, req *NewerRequest) (*NewerResponse, error) {
	routes := req.Routes
	if own := l.holder.Status(carawayspread.ResourceRoutes).Version; !req.Changes && own > routes {
		routes = 0 // complete routes
	}
	known := l.holder.NewerThan(routes, req.List)
	return &NewerResponse{
		Routes:  l.toWire(carawayspread.ResourceRoutes, known.Routes, req.Changes),
		List:    l.toWire(carawayspread.ResourceEndpoints, known.Endpoints, req.Changes),
		StoreMs: uint64(known.StoreTime / time.Millisecond),
	}, nil
}

// Run queries peers whenever the holder's knowledge is stale, until ctx ends.
func (l *Learner) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.clock.After(pollInterval*9/10 + rand.N(pollInterval/5)):
		}
		if l.holder.Stale() {
			l.pollPeers(ctx)
		}
	}
}

// pollPeers queries peers in random order until one has something newer.
func (l *Learner) pollPeers(ctx context.Context) {
	peers := l.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(peersPerPoll, len(peers))] {
		if l.pullAll(ctx, peer) {
			return
		}
	}
}

// pullAll queries a peer for all resources concurrently. It reports whether the peer had something
// newer and nothing failed.
func (l *Learner) pullAll(ctx context.Context, peer string) bool {
	var learnt [carawayspread.ResourceCount]bool
	var errs [carawayspread.ResourceCount]error
	var pulls sync.WaitGroup
	for resource := range carawayspread.ResourceCount {
		pulls.Go(func() { learnt[resource], errs[resource] = l.learn(ctx, peer, resource) })
	}
	pulls.Wait()
	return slices.Contains(learnt[:], true) && errors.Join(errs[:]...) == nil
}

// Pull learns a newer version of a resource from one peer. It returns ErrTooSoon if another pull of
// the resource is running.
func (l *Learner) Pull(ctx context.Context, peer string, resource carawayspread.Resource) error {
	_, err := l.learn(ctx, peer, resource)
	return err
}

// PullStoreTime queries a peer only for its bound of the store's monotonic clock.
func (l *Learner) PullStoreTime(ctx context.Context, peer string) error {
	_, err := l.query(ctx, peer, aboutStoreTime, &NewerRequest{Routes: math.MaxUint64, List: math.MaxUint64})
	return err
}

// aboutStoreTime stands for the resource in the logs of queries for the store's clock alone.
const aboutStoreTime = "storeTime"

// answer is the response of a peer.
type answer struct {
	*NewerResponse
	received int64 // bytes
	took     time.Duration
}

// query sends a request to a peer, and reports its bound of the store's clock to the observer.
func (l *Learner) query(ctx context.Context, peer string, about string, req *NewerRequest) (answer, error) {
	var requestedAt time.Duration
	if l.observe != nil {
		requestedAt = l.uptime.Uptime()
	}
	start := l.clock.Now()
	fetch := transfer.New(transfer.Limits{ConnectTimeout: connectTimeout, IdleTimeout: idleTimeout, TotalTimeout: totalTimeout, MaxBytes: maxAnswerBytes})
	got, err := NewKnowledgeProtobufClient("http://"+peer, fetch.Client()).Newer(ctx, req)
	received, took := fetch.Received(), l.clock.Now().Sub(start)
	l.bytes.AddInt64(received)
	if err != nil && ctx.Err() == nil {
		l.givenUp.Inc()
		l.log.WithError(err).WithField("peer", peer).WithField("of", about).
			WithField("bytes", received).WithField("ms", took.Milliseconds()).Warn("cannot learn from a peer")
	}
	if err == nil && l.observe != nil {
		l.observe(requestedAt, time.Duration(got.StoreMs)*time.Millisecond)
	}
	return answer{got, received, took}, err
}

// learn adopts the peer's version of a resource, and reports whether it was newer. Only one peer at a
// time is queried for a resource, because two would send the same.
func (l *Learner) learn(ctx context.Context, peer string, resource carawayspread.Resource) (bool, error) {
	if !l.pulling[resource].TryLock() {
		return false, carawayspread.ErrTooSoon
	}
	defer l.pulling[resource].Unlock()
	return l.learnSince(ctx, peer, resource, l.holder.Status(resource).Version)
}

// learnSince adopts the changes since that version, or the complete resource if they do not apply.
func (l *Learner) learnSince(ctx context.Context, peer string, resource carawayspread.Resource, version uint64) (bool, error) {
	req := &NewerRequest{Routes: math.MaxUint64, List: math.MaxUint64, Changes: true}
	if resource == carawayspread.ResourceRoutes {
		req.Routes = version
	} else {
		req.List = version
	}
	got, err := l.query(ctx, peer, resource.String(), req)
	if err != nil {
		return false, err
	}
	learnt, err := l.adopt(got.NewerResponse)
	if errors.Is(err, carawayspread.ErrDeltaMismatch) && version > 0 {
		return l.learnSince(ctx, peer, resource, 0)
	}
	if err != nil {
		l.log.WithError(err).WithField("peer", peer).Warn("the answer of a peer cannot be adopted")
		return learnt, err
	}
	if learnt {
		l.learnt.Inc()
		d := got.GetRoutes()
		if resource == carawayspread.ResourceEndpoints {
			d = got.GetList()
		}
		l.log.WithField("peer", peer).WithField("of", resource.String()).WithField("version", d.GetVersion()).
			WithField("since", d.GetSince()).WithField("bytes", got.received).WithField("ms", got.took.Milliseconds()).Info("learnt from a peer")
	}
	return learnt, nil
}

// adopt decodes a peer's answer and passes it to the holder.
func (l *Learner) adopt(got *NewerResponse) (bool, error) {
	routes, err := fromWire(got.Routes)
	if err != nil {
		return false, err
	}
	endpoints, err := fromWire(got.List)
	if err != nil {
		return false, err
	}
	return l.holder.Learn(carawayspread.Knowledge{Routes: routes, Endpoints: endpoints})
}

// toWire returns a document for a peer, compressed if the peer accepts that and the body is long
// enough.
func (l *Learner) toWire(resource carawayspread.Resource, d carawayspread.Document, acceptsPacked bool) *Document {
	if d.Version == 0 {
		return nil
	}
	wire := &Document{Version: d.Version, Since: d.Since, Body: d.Body}
	if !acceptsPacked || len(d.Body) < minPackedBody {
		return wire
	}
	packed, err := l.cache.pack(resource, d)
	if err != nil {
		l.log.WithError(err).WithField("of", resource.String()).Error("a document cannot be compressed")
		return wire
	}
	wire.Body, wire.Packed = packed, true
	return wire
}

func fromWire(d *Document) (carawayspread.Document, error) {
	body := d.GetBody()
	if d.GetPacked() {
		var err error
		if body, err = transfer.Unpack(body, maxUnpackedBytes); err != nil {
			return carawayspread.Document{}, err
		}
	}
	return carawayspread.Document{Version: d.GetVersion(), Since: d.GetSince(), Body: body}, nil
}
