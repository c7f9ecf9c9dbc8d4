package routingcheck_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/version/finding"
	"carawayspread/internal/version/routingcheck"
)

func entry[T any](v T) routingcheck.Entry[T] {
	return routingcheck.Entry[T]{Value: v, Place: func() finding.Place { return finding.Place{File: "f", Line: 1, Column: 1} }}
}

// route returns a route of which nothing is found.
func route(name, prefix string, edit func(*carawayspread.Route)) routingcheck.Entry[*carawayspread.Route] {
	r := &carawayspread.Route{
		Name: name, Host: "a.example", Prefix: prefix, Shares: []carawayspread.Share{{Service: "s", Weight: 1}},
		Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 1,
	}
	if edit != nil {
		edit(r)
	}
	return entry(r)
}

func draft(routes ...routingcheck.Entry[*carawayspread.Route]) *routingcheck.Draft {
	return &routingcheck.Draft{
		Version: 2, Routes: routes, Services: []routingcheck.Entry[carawayspread.RoutedService]{entry(carawayspread.RoutedService{Name: "s"})},
	}
}

func TestCheck(t *testing.T) {
	with := func(edit func(*carawayspread.Route)) *routingcheck.Draft { return draft(route("r", "/a/", edit)) }
	holders := func(all ...carawayspread.KeyHolder) *routingcheck.Draft {
		d := with(nil)
		d.Keyed = true
		for _, h := range all {
			d.Workspaces = append(d.Workspaces, entry(h))
		}
		return d
	}
	holder := func(name string, keys ...string) carawayspread.KeyHolder {
		return carawayspread.KeyHolder{Workspace: carawayspread.NewWorkspace(name), Keys: keys}
	}
	for name, c := range map[string]struct {
		draft        *routingcheck.Draft
		err, warning string // part of the only finding; empty for none
	}{
		"nothing wrong":       {draft: with(nil)},
		"hidden by its twin":  {draft: draft(route("r2", "/a/", nil), route("r1", "/a/", func(r *carawayspread.Route) { r.Host = "A.example" })), warning: `never matches: route "r2"`},
		"host with a port":    {draft: with(func(r *carawayspread.Route) { r.Host = "a.example:80" }), warning: "never matches: host"},
		"host with a slash":   {draft: with(func(r *carawayspread.Route) { r.Host = "a/b" }), warning: "never matches: no request"},
		"unescaped prefix":    {draft: with(func(r *carawayspread.Route) { r.Prefix = "/größe/" }), warning: "never matches: an escaped path"},
		"prefix with a query": {draft: with(func(r *carawayspread.Route) { r.Prefix = "/a?b/" }), warning: "never matches: an escaped path"},
		"unknown service": {draft: with(func(r *carawayspread.Route) {
			r.Shares = append(r.Shares, carawayspread.Share{Service: "x", Weight: 1})
		}), err: `service "x" is not configured`},
		"target over limit":       {draft: with(func(r *carawayspread.Route) { r.TargetLatency = 2 * time.Second }), warning: "never met"},
		"no time limit":           {draft: with(func(r *carawayspread.Route) { r.Timeout = 0 }), err: "without a time limit"},
		"gap without a stream":    {draft: with(func(r *carawayspread.Route) { r.TargetGap = time.Millisecond }), warning: "are no streams"},
		"attempts of run-once":    {draft: with(func(r *carawayspread.Route) { r.MaxAttempts = 2 }), warning: "may run once"},
		"priority out of range":   {draft: with(func(r *carawayspread.Route) { r.Priority = 10 }), warning: "priority 10"},
		"prompts without engines": {draft: with(func(r *carawayspread.Route) { r.Prompt = true }), warning: "has no engines"},
		"nobody has a key":        {draft: holders(), warning: "no workspace has one"},
		"workspace without key":   {draft: holders(holder("w", "k"), holder("v")), warning: `workspace "v" has no API key`},
		"key of two":              {draft: holders(holder("w", "k"), holder("v", "k")), err: "identifies neither"},
	} {
		t.Run(name, func(t *testing.T) {
			found := routingcheck.Check(c.draft)
			expect(t, found.Errors, c.err)
			expect(t, found.Warnings, c.warning)
		})
	}
}

// expect checks that the list has one finding with the text, or none if it is empty.
func expect(t *testing.T, list finding.List, text string) {
	t.Helper()
	if text == "" {
		qt.Check(t, list, qt.HasLen, 0)
		return
	}
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Check(t, list.Error(), qt.Contains, text)
}

// Guards against API keys in what operators print and pass on.
func TestCompareNamesNoKeys(t *testing.T) {
	before, after := draft(route("kept", "/a/", nil), route("gone", "/b/", nil)), draft(
		route("kept", "/a/", func(r *carawayspread.Route) { r.Timeout = 2 * time.Second }), route("new", "/c/", nil))
	workspace := func(keys ...string) []routingcheck.Entry[carawayspread.KeyHolder] {
		return []routingcheck.Entry[carawayspread.KeyHolder]{entry(carawayspread.KeyHolder{Workspace: carawayspread.NewWorkspace("w"), Keys: keys})}
	}
	before.Workspaces, after.Workspaces = workspace("secret1", "secret2"), workspace("secret2", "secret3", "secret4")
	lines := routingcheck.Compare(before, after)
	qt.Check(t, lines, qt.DeepEquals, []string{
		"- route gone", "~ route kept: Timeout 1s -> 2s", "+ route new", "~ workspace w: API keys: 2 added, 1 revoked",
	})
	qt.Check(t, strings.Contains(strings.Join(lines, "\n"), "secret"), qt.IsFalse)
	qt.Check(t, routingcheck.Compare(before, before), qt.HasLen, 0)
}
