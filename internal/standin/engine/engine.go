// Package engine is a stand-in for a model engine: the OpenAI completion protocol with server-sent
// events, and an order API. Its output is a function of the prompt, so that a resumed answer can be
// compared with the complete one.
package engine

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"carawayspread"
)

// CrashMarker makes the engine crash when a prompt contains it.
const CrashMarker = "crash-this-engine"

// Engine is one model engine. It is an http.Handler and safe for concurrent use.
type Engine struct {
	mux         *http.ServeMux
	models      []string
	checksFence bool
	slots       chan struct{}
	tokenEvery  time.Duration // time between tokens
	prefillRate int           // prompt tokens per second; zero takes no time
	roleChange  time.Duration // duration of a role change
	restart     time.Duration // time from a crash until the engine serves again
	unframed    bool          // completions end with their connection
	// roleChangeEnds, unless it is nil, ends role changes when it is closed.
	roleChangeEnds <-chan struct{}

	waiting atomic.Int64
	served  atomic.Int64 // answers that were sent completely

	mu          sync.Mutex
	state       carawayspread.EngineState
	orders      []carawayspread.Order         // executed, in order
	executed    map[string]bool               // by order id
	cancels     map[string]context.CancelFunc // of running requests, by request id
	downUntil   time.Time                     // end of the last crash
	crashes     int
	runs        map[string]int // number of starts, by request id
	events      []cacheEvent
	bootContext context.Context // cancelled by a crash
	endBoot     context.CancelFunc
}

// Option sets a property of an Engine.
type Option func(*Engine)

// Models sets the models that are resident after each boot.
func Models(names ...string) Option { return func(e *Engine) { e.models = names } }

// ChecksFence makes the engine refuse orders with an outdated fencing token.
func ChecksFence() Option { return func(e *Engine) { e.checksFence = true } }

// Slots sets the maximum number of requests in the batch.
func Slots(n int) Option { return func(e *Engine) { e.slots = make(chan struct{}, n) } }

// TokenEvery sets the time between tokens.
func TokenEvery(d time.Duration) Option { return func(e *Engine) { e.tokenEvery = d } }

// PrefillRate sets the number of prompt tokens processed per second.
func PrefillRate(n int) Option { return func(e *Engine) { e.prefillRate = n } }

// RoleChange sets the duration of a role change.
func RoleChange(d time.Duration) Option { return func(e *Engine) { e.roleChange = d } }

// RoleChangeUntil makes a role change last at least until the channel is closed, so that a slow test
// can still observe it.
func RoleChangeUntil(ends <-chan struct{}) Option { return func(e *Engine) { e.roleChangeEnds = ends } }

// Restart sets the time from a crash until the engine serves again.
func Restart(d time.Duration) Option { return func(e *Engine) { e.restart = d } }

// Unframed makes completions end with their connection, without a length and chunks.
func Unframed() Option { return func(e *Engine) { e.unframed = true } }

// New returns an engine.
func New(opts ...Option) *Engine {
	e := &Engine{
		mux:      http.NewServeMux(),
		models:   []string{"stand-in"},
		slots:    make(chan struct{}, 16),
		executed: map[string]bool{},
		cancels:  map[string]context.CancelFunc{},
		runs:     map[string]int{},
	}
	for _, opt := range opts {
		opt(e)
	}
	e.state.Role = carawayspread.RoleBoth
	e.boot()
	e.mux.HandleFunc("GET /v1/models", e.listModels)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("GET /state", e.showState)
	e.mux.HandleFunc("POST /orders", e.handleOrder)
	e.mux.HandleFunc("POST /cancel/{id}", e.cancel)
	e.mux.HandleFunc("GET /events", e.showEvents)
	return e
}

// ServeHTTP serves one request; a crashed engine closes every connection without a response.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.crashed() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Runs returns how often a request id was started.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// Orders returns the executed orders, in order.
func (e *Engine) Orders() []carawayspread.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]carawayspread.Order(nil), e.orders...)
}

// Crash aborts all running requests and keeps the engine down for the restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.downUntil = time.Now().Add(e.restart)
	e.crashes++
	e.endBoot()
	e.boot()
}

func (e *Engine) crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

// boot starts the engine with a new boot id, its initial models and no fencing token. The caller
// holds mu, or is New.
func (e *Engine) boot() {
	e.bootContext, e.endBoot = context.WithCancel(context.Background())
	e.state.Boot = uuid.NewString()
	e.state.Models = append([]string(nil), e.models...)
	e.state.Fence = 0
	e.state.Changing = false
}

func (e *Engine) currentBoot() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootContext
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int { return len(e.slots) }

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Starts returns how many requests the engine has started.
func (e *Engine) Starts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	starts := 0
	for _, n := range e.runs {
		starts += n
	}
	return starts
}
