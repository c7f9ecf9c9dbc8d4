// Package fleet runs gateways as separate processes against stand-ins of the platform, sends
// them requests of callers, and injects the faults of a schedule meanwhile.
package fleet

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/soak/history"
	"carawayspread/internal/soak/program"
	"carawayspread/internal/soak/relay"
	"carawayspread/internal/standin/caller"
	"carawayspread/internal/standin/rows"
	"carawayspread/internal/standin/worker"
)

const (
	// grace, drainBound and memoryMegabytes go into the settings of each gateway: what it is
	// granted and what it guarantees. They are of the order that users set.
	grace           = 8 * time.Second
	drainBound      = 2 * time.Second
	memoryMegabytes = 100
	// retryRatio and retrySlack, in each retryWindow, bound the retries of all gateways together.
	retryRatio  = 0.2
	retrySlack  = 50
	retryWindow = 10 * time.Second
	// tolerance is how much later than guaranteed something may be observed on a busy machine.
	tolerance = time.Second
	// There is one worker more than needed of each of plainWorkers, prefillWorkers and
	// decodeWorkers, so that a fault of one leaves another.
	plainWorkers, prefillWorkers, decodeWorkers = 4, 2, 4
	// callersPerGateway and meanThinkTime give each gateway some 200 requests per second.
	callersPerGateway = 4
	meanThinkTime     = 15 * time.Millisecond
	// eventDelay makes streams last long enough to be under way when a fault begins.
	eventDelay = 40 * time.Millisecond
)

// versions are those of the workers' software, which serve side by side.
var versions = []string{"v1", "v2"}

// newTimeouts returns the timeouts of the routes.
func newTimeouts() map[caller.Kind]time.Duration {
	return map[caller.Kind]time.Duration{
		caller.Safe: 2 * time.Second, caller.Unsafe: 2 * time.Second, caller.Stream: 4 * time.Second, caller.Once: 4 * time.Second,
	}
}

// Fleet holds the gateways, their workers and the store.
type Fleet struct {
	clock      carawayspread.Clock
	history    *history.History
	store      *rows.Store
	server     *http.Server
	storeRelay *relay.Relay
	gateways   []*gateway
	loadStart  time.Time
	harmful    bool                          // a caller sends requests that crash workers
	crowds     bool                          // clients that do not behave call all gateways
	releases   bool                          // workers are replaced by ones of other versions
	releaseMu  sync.Mutex                    // held during a release
	drains     bool                          // callers keep connections open until their process is gone
	timeouts   map[caller.Kind]time.Duration // of the routes
	thinkTime  time.Duration
	eventDelay time.Duration // of workers
	events     int           // of a stream
	zones      int
	refusals   float64 // share of the requests that workers refuse

	mu              sync.Mutex
	workers         []*listedWorker
	allWorkers      []*listedWorker // including drained ones
	version         int
	release         int // the version of the workers' software, where it is one
	seq             int
	injectionErrors []error // of the injection itself, not of the gateways
}

// gateway is one gateway process.
type gateway struct {
	name    string
	listen  string
	program *program.Program
	store   *relay.Relay // its connections to the store
	faultMu sync.Mutex   // held during a fault of the process: one at a time
	ending  atomic.Bool  // it was told to end
}

// listedWorker is one worker in the store's list, behind a relay.
type listedWorker struct {
	worker      *worker.Worker
	relay       *relay.Relay
	service     string
	role        string
	version     string // of its software
	zone        string
	rateLimited atomic.Bool // it reports a rate
}

// Option sets an optional part of a fleet.
type Option func(*Fleet)

// New starts the stand-ins and size gateways of the binary, which log to dir.
func New(binary, dir string, size int, clock carawayspread.Clock, opts ...Option) (*Fleet, error) {
	start, timeouts := clock.Now(), newTimeouts()
	f := &Fleet{clock: clock, timeouts: timeouts, store: rows.New(), loadStart: start, thinkTime: meanThinkTime, eventDelay: eventDelay, events: worker.Events, zones: 1, history: history.New(history.Bounds{
		Timeouts: timeouts, Tolerance: tolerance, Drain: drainBound, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow, MemoryMegabytes: memoryMegabytes, Grace: grace,
	}, start)}
	for _, opt := range opts {
		opt(f)
	}
	if err := f.start(binary, dir, size); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// engineFields says that workers of models hand over running requests.
const engineFields = `,"moves":true`

func (f *Fleet) start(binary, dir string, size int) error {
	if err := f.serveStore(); err != nil {
		return err
	}
	f.store.SetEngineFields(engineFields)
	f.publishRoutes()
	for n := range plainWorkers + prefillWorkers + decodeWorkers {
		service, role, version := "plain", "", versions[n%len(versions)]
		if f.releases {
			version = versions[0]
		}
		if n >= plainWorkers {
			service, role = "model", "prefill"
		}
		if n >= plainWorkers+prefillWorkers {
			role = "decode"
		}
		if err := f.addWorker(service, role, version); err != nil {
			return err
		}
	}
	return f.startGateways(binary, dir, size)
}

func (f *Fleet) serveStore() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	f.server = &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(listener) }()
	f.storeRelay, err = relay.New(listener.Addr().String(), f.clock)
	return err
}

func (f *Fleet) startGateways(binary, dir string, size int) error {
	addresses, err := freeAddresses(4 * size)
	if err != nil {
		return err
	}
	for n := range size {
		own := addresses[4*n : 4*n+4]
		var seeds []string
		for other := range size {
			if other != n {
				seeds = append(seeds, fmt.Sprintf("%q", addresses[4*other+2]))
			}
		}
		name := fmt.Sprint("g", n)
		storeRelay, err := relay.New(f.storeRelay.Address(), f.clock)
		if err != nil {
			return err
		}
		settings := filepath.Join(dir, name+".jsonc")
		text := fmt.Sprintf(`{"instance":{"id":%q,"zone":%q},"addresses":{"listen":%q,"health":%q,"peer":%q,"metrics":%q},
"store":%q,"seeds":[%s],"grace":"%v","memoryMegabytes":%d,"promises":{"leaving":"%v","inForce":"%v"},
"retries":{"ratio":%g,"slack":%d,"window":"%v"},"firstStart":true}
`, name, f.zone(n), own[0], own[1], own[2], own[3], storeRelay.Address(), strings.Join(seeds, ","), grace, memoryMegabytes, drainBound, drainBound, retryRatio, retrySlack, retryWindow)
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
		p, err := program.New(filepath.Join(dir, name+".log"), binary, "--config", settings)
		if err != nil {
			return err
		}
		f.gateways = append(f.gateways, &gateway{name: name, listen: own[0], program: p, store: storeRelay})
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// zone returns the zone of the nth gateway or worker.
func (f *Fleet) zone(n int) string { return "z" + strings.Repeat("z", n%f.zones) }

// ownHost returns a loopback address that only this process uses. On a shared address, another
// soak or an outgoing connection could take the port of a gateway while it restarts.
func ownHost() string {
	pid := os.Getpid()
	return net.IPv4(127, 1+byte(pid>>16&0x3f), byte(pid>>8), byte(pid)).String()
}

// freeAddresses returns loopback addresses, with ports, on which nobody listens.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp4", net.JoinHostPort(ownHost(), "0"))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// Close stops everything that New started.
func (f *Fleet) Close() {
	for _, g := range f.gateways {
		g.program.Close()
		g.store.Close()
	}
	for _, p := range f.allWorkers {
		p.relay.Close()
		p.worker.Close()
	}
	if f.storeRelay != nil {
		f.storeRelay.Close()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
}

// History returns the observations. It has those of the workers only after Run.
func (f *Fleet) History() *history.History { return f.history }

// collectRequests records what the workers received.
func (f *Fleet) collectRequests() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.allWorkers {
		f.history.RecordRequests(p.worker.ID(), p.worker.Requests())
		f.history.RecordMoves(p.worker.ID(), p.worker.Violations())
	}
}

// InjectionErrors returns the errors of the fault injection itself.
func (f *Fleet) InjectionErrors() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.injectionErrors
}
