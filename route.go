package carawayspread

import (
	"sort"
	"strings"
	"time"
)

// Repeat says what may be done with a request whose attempt failed.
type Repeat int

// Kinds of repetition. The zero value is the strictest.
const (
	RepeatNever  Repeat = iota // at most one attempt may run
	RepeatResume               // a stream that may go on elsewhere after its last whole event
	RepeatSafe                 // may run more than once
)

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  int // relative to the other shares of the route; not negative
}

// Route says which service answers a group of requests and what its callers
// may expect. It is immutable.
type Route struct {
	Name   string
	Host   string
	Prefix string  // begins and ends with a slash
	Shares []Share // not empty
	Repeat Repeat
	Stream bool // answered by server-sent events with growing identifiers
	Prompt bool // requests carry a prompt for an engine
	// Anonymous routes take requests without an API key.
	Anonymous bool
	Attempts  int // endpoints that may run one request; at least 1
	Priority  int // 0 is the most urgent
	// Timeout is the longest time from arrival to the final answer, or to the
	// last event of a stream.
	Timeout time.Duration
	// Target is the time from arrival to the answer, or to the first event.
	Target time.Duration
	// Pause is the longest time between two events of an answer that is in time;
	// zero where none is stated.
	Pause time.Duration
}

// EngineTraits is what operators state of the engines of a service.
type EngineTraits struct {
	Slots      int   // requests that one engine batches
	KVTokens   int   // tokens that the memory of one engine holds
	TokenBytes int   // bytes of KV cache for each token
	LinkBits   int64 // bits a second between engines
	Stride     int   // tokens of one event; zero where it is not stated
	// Fetches says that an engine takes parts of prompts from another one that
	// holds them, where it is told which.
	Fetches bool
}

// RoutedService is a service as routes name it.
type RoutedService struct {
	Name   string
	Engine *EngineTraits // nil for plain services
}

// CallerLimits bounds what a caller may send.
type CallerLimits struct {
	BodyBytes int64
}

// Routing is one accepted set of routes. It is immutable.
type Routing struct {
	version  Version
	byHost   map[string][]*Route // longest prefix first
	services map[string]RoutedService
	limits   CallerLimits
	keyring  *Keyring // nil where callers need no key
}

// RoutingOption sets an optional part of a Routing.
type RoutingOption func(*Routing)

// WithKeyring has routes that are not anonymous ask for an API key.
func WithKeyring(k *Keyring) RoutingOption { return func(t *Routing) { t.keyring = k } }

// NewRouting returns the routes with that version. Routes and services must not
// be modified afterwards.
func NewRouting(version Version, routes []*Route, services map[string]RoutedService, limits CallerLimits, opts ...RoutingOption) *Routing {
	t := &Routing{version: version, byHost: map[string][]*Route{}, services: services, limits: limits}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, opt := range opts {
		opt(t)
	}
	for _, of := range t.byHost {
		sort.SliceStable(of, func(i, j int) bool { return len(of[i].Prefix) > len(of[j].Prefix) })
	}
	return t
}

// Version returns the number of the accepted set.
func (t *Routing) Version() Version { return t.version }

// Limits returns what a caller may send.
func (t *Routing) Limits() CallerLimits { return t.limits }

// Keyring returns the API keys that callers need; nil where they need none.
func (t *Routing) Keyring() *Keyring { return t.keyring }

// Service finds a service by name.
func (t *Routing) Service(name string) (RoutedService, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Services returns all services by name; not to be modified.
func (t *Routing) Services() map[string]RoutedService { return t.services }

// Find returns the route of the host whose prefix is the longest that begins
// the path. The path is taken as the caller sent it.
func (t *Routing) Find(host, path string) (*Route, bool) {
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Len returns the number of routes.
func (t *Routing) Len() int {
	n := 0
	for _, of := range t.byHost {
		n += len(of)
	}
	return n
}
