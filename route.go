package carawayspread

import (
	"cmp"
	"iter"
	"maps"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/btree"
)

// RetryPolicy says whether a request may be sent again after an attempt failed.
type RetryPolicy int

// Retry policies. The zero value is the strictest.
const (
	RetryNever      RetryPolicy = iota // at most one attempt may run
	RetryResume                        // a stream that may resume at another endpoint after its last complete event
	RetryIdempotent                    // may run more than once
)

// Share is the fraction of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  int // relative to the other shares of the route; not negative
}

// Route defines which services answer a group of requests, and with which targets and limits. It is
// immutable.
type Route struct {
	Name   string
	Host   string
	Prefix string  // begins and ends with a slash
	Shares []Share // not empty
	Retry  RetryPolicy
	Stream bool // answered with server-sent events whose identifiers grow
	Prompt bool // requests carry a prompt for an engine
	// Anonymous says that requests need no API key.
	Anonymous   bool
	MaxAttempts int // limit of the attempts of one request that may have run; at least 1
	Priority    int // 0 is the most urgent
	// Timeout is the longest time from arrival to the final answer, or to the last event of a
	// stream.
	Timeout time.Duration
	// TargetLatency is the target for the time from arrival to the answer, or to the first event of
	// a stream.
	TargetLatency time.Duration
	// TargetGap is the target for the longest gap between two events of an answer; zero if none is
	// set.
	TargetGap time.Duration
	// Patience is how long callers of a stream wait for its first event, and from each event for the
	// next, before they leave; zero if that is unknown.
	Patience time.Duration
}

// EngineTraits are the properties of a service's engines that operators configure.
type EngineTraits struct {
	Slots             int   // requests that one engine runs in one batch
	KVTokens          int   // tokens that fit into the KV cache of one engine
	KVBytesPerToken   int   // bytes of KV cache per token
	LinkBitsPerSecond int64 // bandwidth between engines, in bits per second
	TokensPerEvent    int   // tokens in one event; zero if unknown
	// FetchesKV says that an engine can fetch cached parts of a prompt from another engine that an
	// attempt names.
	FetchesKV bool
	// MovesRuns says that engines hand over running requests: one copies the KV memory of a request to
	// another, where it goes on.
	MovesRuns bool
	// BacksUpRuns says that engines copy the KV memory of a running request to another engine as it
	// grows, so that the request goes on there after a crash.
	BacksUpRuns bool
	// MaxHold is the longest reservation of a slot and KV memory that engines accept; zero if they take
	// none.
	MaxHold time.Duration
}

// RoutedService is a service that routes refer to.
type RoutedService struct {
	Name   string
	Engine *EngineTraits // nil for plain services
}

// CallerLimits are the limits on what a caller may send.
type CallerLimits struct {
	BodyBytes int64
}

// routeTreeDegree is the degree of the B-tree of routes. A change copies the nodes on one path.
const routeTreeDegree = 16

// Routing is one accepted version of the routes. It is immutable and shares what has not changed
// with the version before it.
type Routing struct {
	version  Version
	routes   *btree.BTreeG[hostedRoute]
	services map[string]RoutedService
	limits   CallerLimits
	keyring  *Keyring // nil if callers need no key
}

// hostedRoute is a route that is ordered by host, prefix and name.
type hostedRoute struct {
	host string // lower case
	*Route
}

func newHostedRoute(route *Route) hostedRoute {
	return hostedRoute{host: strings.ToLower(route.Host), Route: route}
}

func lessRoute(a, b hostedRoute) bool {
	return cmp.Or(strings.Compare(a.host, b.host), strings.Compare(a.Prefix, b.Prefix), strings.Compare(a.Name, b.Name)) < 0
}

// RoutingOption sets an optional part of a Routing.
type RoutingOption func(*Routing)

// WithKeyring makes routes that are not anonymous require an API key of the keyring.
func WithKeyring(k *Keyring) RoutingOption { return func(t *Routing) { t.keyring = k } }

// RoutingEdit is the difference between a Routing and its next version. Its contents must not be
// modified afterwards.
type RoutingEdit struct {
	Version      Version
	Drop, Put    []*Route // Drop is applied before Put
	DropServices []RoutedService
	PutServices  []RoutedService
	Limits       *CallerLimits // nil keeps them
	Keyring      *Keyring      // nil if callers need no key
}

// NewRouting returns a Routing with that version. Routes and services must not be modified
// afterwards.
func NewRouting(version Version, routes []*Route, services map[string]RoutedService, limits CallerLimits, opts ...RoutingOption) *Routing {
	t := &Routing{version: version, routes: btree.NewG(routeTreeDegree, lessRoute), services: services, limits: limits}
	for _, route := range routes {
		t.routes.ReplaceOrInsert(newHostedRoute(route))
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Next returns the Routing that results from the edit. It must not be called concurrently with
// itself; concurrent lookups are safe.
func (t *Routing) Next(edit RoutingEdit) *Routing {
	next := &Routing{version: edit.Version, routes: t.routes.Clone(), services: t.services, limits: t.limits, keyring: edit.Keyring}
	for _, route := range edit.Drop {
		next.routes.Delete(newHostedRoute(route))
	}
	for _, route := range edit.Put {
		next.routes.ReplaceOrInsert(newHostedRoute(route))
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

// Version returns the version of the Routing.
func (t *Routing) Version() Version { return t.version }

// Limits returns the limits on what a caller may send.
func (t *Routing) Limits() CallerLimits { return t.limits }

// Keyring returns the keyring with the API keys of callers; nil if they need none.
func (t *Routing) Keyring() *Keyring { return t.keyring }

// Service returns the service with that name.
func (t *Routing) Service(name string) (RoutedService, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Services returns all services by name. The map must not be modified.
func (t *Routing) Services() map[string]RoutedService { return t.services }

// maxName sorts after the names of all routes.
const maxName = string(utf8.MaxRune)

// Find returns the route of the host with the longest prefix of the path. The path is compared as
// the caller sent it.
//
// The last route that does not sort after the path is either the longest match, or it has only a
// shorter prefix in common with the path, and no matching route is longer than that.
func (t *Routing) Find(host, path string) (*Route, bool) {
	bound := newHostedRoute(&Route{Host: host, Prefix: path, Name: maxName})
	for {
		var last hostedRoute
		t.routes.DescendLessOrEqual(bound, func(route hostedRoute) bool {
			last = route
			return false
		})
		if last.Route == nil || last.host != bound.host {
			return nil, false
		}
		if strings.HasPrefix(path, last.Prefix) {
			return last.Route, true
		}
		bound.Prefix = path[:commonPrefixLen(bound.Prefix, last.Prefix)]
	}
}

// commonPrefixLen returns the length of the common prefix of two strings, in bytes.
func commonPrefixLen(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// Routes returns all routes.
func (t *Routing) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		t.routes.Ascend(func(route hostedRoute) bool { return yield(route.Route) })
	}
}

// Len returns the number of routes.
func (t *Routing) Len() int { return t.routes.Len() }
