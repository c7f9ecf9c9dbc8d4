// Package fleet runs gateways as processes of their own before stand-ins of the
// platform, has callers ask them, and injects a schedule's faults meanwhile.
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
	// grace, leaving and megabytes are what the settings of each gateway grant and
	// promise; of the order that users grant.
	grace     = 8 * time.Second
	leaving   = 2 * time.Second
	megabytes = 100
	// ratio and slack, in each budget, bound retries of all gateways together.
	ratio  = 0.2
	slack  = 50
	budget = 10 * time.Second
	// late is how much later than promised something may be seen on a busy machine.
	late = time.Second
	// plainWorkers, readers and answerers serve; one of each more than is needed, so
	// that a fault of one leaves another.
	plainWorkers, readers, answerers = 4, 2, 3
	// callersEach and thinking give each gateway some 200 requests a second.
	callersEach = 4
	thinking    = 15 * time.Millisecond
)

// timeouts are those of the routes.
var timeouts = map[caller.Kind]time.Duration{
	caller.Safe: 2 * time.Second, caller.Unsafe: 2 * time.Second, caller.Stream: 4 * time.Second,
}

// Fleet is gateways with everything round them.
type Fleet struct {
	clock    carawayspread.Clock
	history  *history.History
	store    *rows.Store
	server   *http.Server
	storeBy  *relay.Relay
	gateways []*gateway
	begun    time.Time

	mu      sync.Mutex
	workers []*listed
	all     []*listed // those that left too
	version int
	seq     int
	failed  []error // of injecting, not of the programs
}

// gateway is one gateway.
type gateway struct {
	name    string
	listen  string
	program *program.Program
	busy    sync.Mutex // one fault of the process at a time
}

// listed is one worker in the list, behind a relay.
type listed struct {
	worker  *worker.Worker
	by      *relay.Relay
	service string
	role    string
	limited atomic.Bool // it names a rate
}

// New starts stand-ins and so many gateways of the binary, which log to dir.
func New(binary, dir string, size int, clock carawayspread.Clock) (*Fleet, error) {
	begun := clock.Now()
	f := &Fleet{clock: clock, store: rows.New(), begun: begun, history: history.New(history.Terms{
		Timeouts: timeouts, Late: late, Leaving: leaving, Ratio: ratio, Slack: slack, Window: budget, Megabytes: megabytes,
	}, begun)}
	if err := f.start(binary, dir, size); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(binary, dir string, size int) error {
	if err := f.serveStore(); err != nil {
		return err
	}
	f.routes()
	for n := range plainWorkers + readers + answerers {
		service, role := "plain", ""
		if n >= plainWorkers {
			service, role = "model", "prefill"
		}
		if n >= plainWorkers+readers {
			role = "decode"
		}
		if err := f.come(service, role); err != nil {
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
	f.storeBy, err = relay.New(listener.Addr().String(), f.clock)
	return err
}

func (f *Fleet) startGateways(binary, dir string, size int) error {
	ports, err := freePorts(4 * size)
	if err != nil {
		return err
	}
	for n := range size {
		own := ports[4*n : 4*n+4]
		var seeds []string
		for other := range size {
			if other != n {
				seeds = append(seeds, fmt.Sprintf("%q", ports[4*other+2]))
			}
		}
		name := fmt.Sprint("g", n)
		settings := filepath.Join(dir, name+".jsonc")
		text := fmt.Sprintf(`{"instance":{"id":%q,"zone":"z"},"addresses":{"listen":%q,"health":%q,"peer":%q,"metrics":%q},
"store":%q,"seeds":[%s],"grace":"%v","memoryMegabytes":%d,"promises":{"leaving":"%v","inForce":"%v"},
"retries":{"ratio":%g,"slack":%d,"window":"%v"}}
`, name, own[0], own[1], own[2], own[3], f.storeBy.Address(), strings.Join(seeds, ","), grace, megabytes, leaving, leaving, ratio, slack, budget)
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
		p, err := program.New(filepath.Join(dir, name+".log"), binary, "--config", settings)
		if err != nil {
			return err
		}
		f.gateways = append(f.gateways, &gateway{name: name, listen: own[0], program: p})
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// ownHost returns a loopback address of this process alone. Another soak, or a connection
// that leaves from the common one, would take the port of a gateway while it restarts.
func ownHost() string {
	pid := os.Getpid()
	return net.IPv4(127, 1+byte(pid>>16&0x3f), byte(pid>>8), byte(pid)).String()
}

// freePorts returns addresses on loopback that nobody listens on.
func freePorts(n int) ([]string, error) {
	var all []string
	for range n {
		l, err := net.Listen("tcp4", net.JoinHostPort(ownHost(), "0"))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		defer func() { _ = l.Close() }()
		all = append(all, l.Addr().String())
	}
	return all, nil
}

// Close ends what was started.
func (f *Fleet) Close() {
	for _, g := range f.gateways {
		g.program.Close()
	}
	for _, p := range f.all {
		p.by.Close()
		p.worker.Close()
	}
	if f.storeBy != nil {
		f.storeBy.Close()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
}

// History returns what was seen; of workers after Run.
func (f *Fleet) History() *history.History { return f.history }

// collect adds what the workers saw.
func (f *Fleet) collect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.all {
		f.history.Ran(p.worker.ID(), p.worker.Requests())
	}
}

// Failed returns what went wrong with the injecting itself.
func (f *Fleet) Failed() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}
