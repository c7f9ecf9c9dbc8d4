package routingcheck

import (
	"net"
	"strings"

	"carawayspread"
)

// MaxPriority is the least urgent priority that engines distinguish.
const MaxPriority = 9

// Check returns what is wrong with a draft. Values that cannot be read are not its concern.
func Check(d *Draft) Findings {
	c := checker{draft: d, services: map[string]carawayspread.RoutedService{}, used: map[string]bool{}}
	c.checkServices()
	for _, r := range d.Routes {
		c.checkMatch(r)
		c.checkShares(r)
		c.checkLimits(r)
	}
	c.checkDuplicates()
	c.checkUnused()
	c.checkKeys()
	c.found.Sort()
	return c.found
}

type checker struct {
	draft    *Draft
	services map[string]carawayspread.RoutedService
	used     map[string]bool // services with a share of a route
	found    Findings
}

func (c *checker) checkServices() {
	for _, s := range c.draft.Services {
		if _, twice := c.services[s.Value.Name]; twice {
			c.found.Errors.Add(s.Place(), "another service is named %q", s.Value.Name)
		}
		c.services[s.Value.Name] = s.Value
		e := s.Value.Engine
		if e == nil {
			continue
		}
		if e.Slots <= 0 || e.KVTokens <= 0 {
			c.found.Errors.Add(s.Place(), "engines with %d slots and KV memory for %d tokens run nothing", e.Slots, e.KVTokens)
		}
		if e.TokensPerEvent > e.KVTokens && e.KVTokens > 0 {
			c.found.Warnings.Add(s.Place(), "an event of %d tokens exceeds the KV memory of %d tokens", e.TokensPerEvent, e.KVTokens)
		}
		if e.MovesRuns && e.LinkBitsPerSecond <= 0 {
			c.found.Warnings.Add(s.Place(), "running requests move over links without bandwidth")
		}
	}
}

// checkMatch reports hosts and prefixes that the host and path of no request can have. Both are compared as callers
// send them: the host without its port, the path escaped and without its query.
func (c *checker) checkMatch(r Entry[*carawayspread.Route]) {
	host, prefix := r.Value.Host, r.Value.Prefix
	if _, _, err := net.SplitHostPort(host); err == nil {
		c.found.Warnings.Add(r.Place(), "never matches: host %q has a port, and hosts are compared without", host)
	} else if host == "" || strings.ContainsAny(host, "/?# \t\r\n") {
		c.found.Warnings.Add(r.Place(), "never matches: no request has the host %q", host)
	}
	if strings.ContainsAny(prefix, "?# \t\r\n") || strings.ContainsFunc(prefix, func(char rune) bool { return char < ' ' || char > '~' }) {
		c.found.Warnings.Add(r.Place(), "never matches: an escaped path does not contain the prefix %q", prefix)
	}
}

func (c *checker) checkShares(r Entry[*carawayspread.Route]) {
	total, several := 0, len(r.Value.Shares) > 1
	for _, share := range r.Value.Shares {
		total += share.Weight
		service, known := c.services[share.Service]
		switch {
		case !known:
			c.found.Errors.Add(r.Place(), "service %q is not configured", share.Service)
		case r.Value.Prompt && service.Engine == nil && !several:
			c.found.Warnings.Add(r.Place(), "its requests carry prompts, and service %q has no engines", share.Service)
		}
		if share.Weight > 0 || !several {
			c.used[share.Service] = true
		} else {
			c.found.Warnings.Add(r.Place(), "service %q gets none of its requests: weight 0", share.Service)
		}
	}
	if total == 0 && several {
		c.found.Errors.Add(r.Place(), "all weights are 0")
	}
}

func (c *checker) checkLimits(r Entry[*carawayspread.Route]) {
	route := r.Value
	contradicts := func(holds bool, format string, args ...any) {
		if holds {
			c.found.Warnings.Add(r.Place(), format, args...)
		}
	}
	if route.Timeout <= 0 {
		c.found.Errors.Add(r.Place(), "without a time limit its requests are given up at once")
		return
	}
	contradicts(route.TargetLatency > route.Timeout, "the target of %s is never met: the time limit is %s", route.TargetLatency, route.Timeout)
	contradicts(route.TargetGap > route.Timeout, "the target of %s between events exceeds the time limit of %s", route.TargetGap, route.Timeout)
	contradicts(route.TargetGap > 0 && !route.Stream, "a target between events has no effect: answers are no streams")
	contradicts(route.MaxAttempts > 1 && route.Retry == carawayspread.RetryNever, "%d attempts are allowed to requests that may run once", route.MaxAttempts)
	contradicts(route.Priority < 0 || route.Priority > MaxPriority, "priority %d is as the nearest of 0 to %d", route.Priority, MaxPriority)
	contradicts(!route.Anonymous && c.draft.Keyed && len(c.draft.Workspaces) == 0, "never matches: it needs an API key, and no workspace has one")
}

// checkDuplicates reports routes that others hide. Of those with the same host and prefix the one whose name sorts
// last is found.
func (c *checker) checkDuplicates() {
	type match struct{ host, prefix string }
	found, names := map[match]Entry[*carawayspread.Route]{}, map[string]bool{}
	for _, r := range c.draft.Routes {
		if names[r.Value.Name] {
			c.found.Errors.Add(r.Place(), "another route is named %q", r.Value.Name)
		}
		names[r.Value.Name] = true
		key := match{strings.ToLower(r.Value.Host), r.Value.Prefix}
		other, twice := found[key]
		switch {
		case !twice || other.Value.Name < r.Value.Name:
			found[key] = r
		default:
			other, r = r, other
		}
		if twice {
			c.found.Warnings.Add(other.Place(), "never matches: route %q has the same host and prefix", r.Value.Name)
		}
	}
}

func (c *checker) checkUnused() {
	for _, s := range c.draft.Services {
		if !c.used[s.Value.Name] {
			c.found.Warnings.Add(s.Place(), "no route sends requests to service %q", s.Value.Name)
		}
	}
}

// checkKeys reports keys that identify nobody. It names workspaces, never keys.
func (c *checker) checkKeys() {
	holders, names := map[carawayspread.KeyDigest]string{}, map[string]bool{}
	for _, w := range c.draft.Workspaces {
		name := w.Value.Workspace.Name()
		if names[name] {
			c.found.Errors.Add(w.Place(), "another workspace is named %q", name)
		}
		names[name] = true
		if len(w.Value.Keys) == 0 {
			c.found.Warnings.Add(w.Place(), "workspace %q has no API key", name)
		}
		for i, key := range w.Value.Keys {
			digest := carawayspread.DigestKey(key)
			if other, held := holders[digest]; held && other != name {
				c.found.Errors.Add(w.Place(), "key %d of workspace %q is also a key of %q, and identifies neither", i, name, other)
			}
			holders[digest] = name
		}
	}
}
