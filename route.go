package carawayspread

import (
	"cmp"
	"maps"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/btree"
)

// RetryPolicy says what may be done with a request whose attempt failed.
type RetryPolicy int

// Kinds of repetition. The zero value is the strictest.
const (
	RetryNever      RetryPolicy = iota // at most one attempt may run
	RetryResume                        // a stream that may go on elsewhere after its last whole event
	RetryIdempotent                    // may run more than once
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
	Retry  RetryPolicy
	Stream bool // answered by server-sent events with growing identifiers
	Prompt bool // requests carry a prompt for an engine
	// Anonymous routes take requests without an API key.
	Anonymous   bool
	MaxAttempts int // endpoints that may run one request; at least 1
	Priority    int // 0 is the most urgent
	// Timeout is the longest time from arrival to the final answer, or to the
	// last event of a stream.
	Timeout time.Duration
	// TargetLatency is the time from arrival to the answer, or to the first event.
	TargetLatency time.Duration
	// TargetGap is the longest time between two events of an answer that is in time;
	// zero where none is stated.
	TargetGap time.Duration
}

// EngineTraits is what operators state of the engines of a service.
type EngineTraits struct {
	Slots             int   // requests that one engine batches
	KVTokens          int   // tokens that the memory of one engine holds
	KVBytesPerToken   int   // bytes of KV cache for each token
	LinkBitsPerSecond int64 // bits a second between engines
	TokensPerEvent    int   // tokens of one event; zero where it is not stated
	// FetchesKV says that an engine takes parts of prompts from another one that
	// holds them, where it is told which.
	FetchesKV bool
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

// routeDegree is the fan-out of the tree of routes. A change copies one path of nodes.
const routeDegree = 16

// Routing is one accepted set of routes. It is immutable and shares what has not
// changed with the one before it.
type Routing struct {
	version  Version
	routes   *btree.BTreeG[hostedRoute]
	services map[string]RoutedService
	limits   CallerLimits
	keyring  *Keyring // nil where callers need no key
}

// hostedRoute is a route in the order of host, prefix and name.
type hostedRoute struct {
	host string // in lower case
	*Route
}

func hosted(route *Route) hostedRoute {
	return hostedRoute{host: strings.ToLower(route.Host), Route: route}
}

func lessRoute(a, b hostedRoute) bool {
	return cmp.Or(strings.Compare(a.host, b.host), strings.Compare(a.Prefix, b.Prefix), strings.Compare(a.Name, b.Name)) < 0
}

// RoutingOption sets an optional part of a Routing.
type RoutingOption func(*Routing)

// WithKeyring has routes that are not anonymous ask for an API key.
func WithKeyring(k *Keyring) RoutingOption { return func(t *Routing) { t.keyring = k } }

// RoutingEdit is what the next version of a Routing replaces. What it holds must not be
// modified afterwards.
type RoutingEdit struct {
	Version      Version
	Drop, Put    []*Route // dropped first
	DropServices []RoutedService
	PutServices  []RoutedService
	Limits       *CallerLimits // nil keeps them
	Keyring      *Keyring      // nil where callers need no key
}

// NewRouting returns the routes with that version. Routes and services must not
// be modified afterwards.
func NewRouting(version Version, routes []*Route, services map[string]RoutedService, limits CallerLimits, opts ...RoutingOption) *Routing {
	t := &Routing{version: version, routes: btree.NewG(routeDegree, lessRoute), services: services, limits: limits}
	for _, route := range routes {
		t.routes.ReplaceOrInsert(hosted(route))
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Next returns the routes that differ by the edit. It is not safe to be called by two
// at once; lookups may go on meanwhile.
func (t *Routing) Next(edit RoutingEdit) *Routing {
	next := &Routing{version: edit.Version, routes: t.routes.Clone(), services: t.services, limits: t.limits, keyring: edit.Keyring}
	for _, route := range edit.Drop {
		next.routes.Delete(hosted(route))
	}
	for _, route := range edit.Put {
		next.routes.ReplaceOrInsert(hosted(route))
	}
	if len(edit.DropServices)+len(edit.PutServices) > 0 {
		next.services = make(map[string]RoutedService, len(t.services)+len(edit.PutServices))
		maps.Copy(next.services, t.services)
		for _, service := range edit.DropServices {
			delete(next.services, service.Name)
		}
		for _, service := range edit.PutServices {
			next.services[service.Name] = service
		}
	}
	if edit.Limits != nil {
		next.limits = *edit.Limits
	}
	return next
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

// afterNames is greater than the names of routes.
const afterNames = string(utf8.MaxRune)

// Find returns the route of the host whose prefix is the longest that begins
// the path. The path is taken as the caller sent it.
//
// The last route up to the path either begins it, and is the longest that does, or
// shares a shorter beginning with it, which no longer prefix exceeds.
func (t *Routing) Find(host, path string) (*Route, bool) {
	at := hosted(&Route{Host: host, Prefix: path, Name: afterNames})
	for {
		var last hostedRoute
		t.routes.DescendLessOrEqual(at, func(route hostedRoute) bool {
			last = route
			return false
		})
		if last.Route == nil || last.host != at.host {
			return nil, false
		}
		if strings.HasPrefix(path, last.Prefix) {
			return last.Route, true
		}
		at.Prefix = path[:shared(at.Prefix, last.Prefix)]
	}
}

// shared returns how many bytes two texts begin with alike.
func shared(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// Len returns the number of routes.
func (t *Routing) Len() int { return t.routes.Len() }
