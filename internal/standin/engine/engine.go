// Package engine is a stand-in for a model engine: the OpenAI completion
// protocol with server-sent events, and an order API. Its answers are a
// function of the prompt, so that a resumed answer can be compared with the
// whole one.
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

// Engine is one engine. It is an http.Handler and safe for concurrent use.
type Engine struct {
	mux         *http.ServeMux
	models      []string
	checksFence bool
	slots       chan struct{}
	tokenEvery  time.Duration // pause between tokens
	prefillRate int           // prompt tokens a second; zero for no pause
	roleChange  time.Duration // how long a role change takes the engine away
	restart     time.Duration // how long a crash lasts
	// changeEnds lets role changes end when it is closed; nil lets them end by time.
	changeEnds <-chan struct{}

	waiting atomic.Int64
	served  atomic.Int64 // answers that were sent whole

	mu      sync.Mutex
	state   carawayspread.EngineState
	orders  []carawayspread.Order         // carried out, in order
	done    map[string]bool               // ids of carried out orders
	cancels map[string]context.CancelFunc // running requests by id
	down    time.Time                     // crashed until then
	crashes int
	runs    map[string]int // starts by request id
	events  []cacheEvent
	alive   context.Context // ends with a crash
	kill    context.CancelFunc
}

// Option sets a property of an Engine.
type Option func(*Engine)

// Models sets the resident models.
func Models(names ...string) Option { return func(e *Engine) { e.models = names } }

// ChecksFence makes the engine refuse orders with an outdated fencing number.
func ChecksFence() Option { return func(e *Engine) { e.checksFence = true } }

// Slots sets how many requests the engine batches.
func Slots(n int) Option { return func(e *Engine) { e.slots = make(chan struct{}, n) } }

// TokenEvery sets the pause between tokens.
func TokenEvery(d time.Duration) Option { return func(e *Engine) { e.tokenEvery = d } }

// PrefillRate sets the prompt tokens processed in a second.
func PrefillRate(n int) Option { return func(e *Engine) { e.prefillRate = n } }

// RoleChange sets how long a role change takes the engine away.
func RoleChange(d time.Duration) Option { return func(e *Engine) { e.roleChange = d } }

// RoleChangeUntil has a role change last until the channel is closed, however slowly the
// test looks at it.
func RoleChangeUntil(ends <-chan struct{}) Option { return func(e *Engine) { e.changeEnds = ends } }

// Restart sets how long a crash lasts.
func Restart(d time.Duration) Option { return func(e *Engine) { e.restart = d } }

// New returns an engine.
func New(opts ...Option) *Engine {
	e := &Engine{
		mux:     http.NewServeMux(),
		models:  []string{"stand-in"},
		slots:   make(chan struct{}, 16),
		done:    map[string]bool{},
		cancels: map[string]context.CancelFunc{},
		runs:    map[string]int{},
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
	e.mux.HandleFunc("POST /orders", e.takeOrder)
	e.mux.HandleFunc("POST /cancel/{id}", e.cancel)
	e.mux.HandleFunc("GET /events", e.showEvents)
	return e
}

// ServeHTTP serves one request; a crashed engine cuts every connection.
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

// Orders returns the orders that were carried out, in order.
func (e *Engine) Orders() []carawayspread.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]carawayspread.Order(nil), e.orders...)
}

// Crash cuts all running requests and stays down for the restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = time.Now().Add(e.restart)
	e.crashes++
	e.kill()
	e.boot()
}

func (e *Engine) crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.down)
}

// boot gives the engine a new life. The caller holds mu, or is New.
func (e *Engine) boot() {
	e.alive, e.kill = context.WithCancel(context.Background())
	e.state.Boot = uuid.NewString()
	e.state.Models = append([]string(nil), e.models...)
	e.state.Fence = 0
	e.state.Changing = false
}

func (e *Engine) life() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.alive
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
