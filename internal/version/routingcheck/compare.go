package routingcheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"carawayspread"
)

// Compare returns a line for each entry that differs between the configuration in force and a draft, ordered. Of
// API keys it says how many there are, never what they are.
func Compare(inForce, draft *Draft) []string {
	var lines []string
	lines = append(lines, differences("route", byName(inForce.Routes, routeName), byName(draft.Routes, routeName))...)
	lines = append(lines, differences("service", byName(inForce.Services, serviceName), byName(draft.Services, serviceName))...)
	lines = append(lines, differences("workspace", byName(inForce.Workspaces, workspaceName), byName(draft.Workspaces, workspaceName))...)
	if inForce.Limits != draft.Limits {
		lines = append(lines, fmt.Sprintf("~ limits: body bytes %d -> %d", inForce.Limits.BodyBytes, draft.Limits.BodyBytes))
	}
	if inForce.Keyed != draft.Keyed {
		lines = append(lines, fmt.Sprintf("~ API keys needed: %t -> %t", inForce.Keyed, draft.Keyed))
	}
	return lines
}

func routeName(r *carawayspread.Route) string          { return r.Name }
func serviceName(s carawayspread.RoutedService) string { return s.Name }
func workspaceName(w carawayspread.KeyHolder) string   { return w.Workspace.Name() }
func byName[T any](entries []Entry[T], name func(T) string) map[string]T {
	all := make(map[string]T, len(entries))
	for _, e := range entries {
		all[name(e.Value)] = e.Value
	}
	return all
}

// differences returns a line for each name that is added (+), dropped (-) or changed (~).
func differences[T any](kind string, before, after map[string]T) []string {
	var lines []string
	for name := range before {
		if _, kept := after[name]; !kept {
			lines = append(lines, fmt.Sprintf("- %s %s", kind, name))
		}
	}
	for name, next := range after {
		old, existed := before[name]
		switch {
		case !existed:
			lines = append(lines, fmt.Sprintf("+ %s %s", kind, name))
		case !reflect.DeepEqual(old, next):
			lines = append(lines, fmt.Sprintf("~ %s %s: %s", kind, name, strings.Join(changes(old, next), ", ")))
		}
	}
	slices.SortFunc(lines, func(a, b string) int { return strings.Compare(a[2:]+a[:1], b[2:]+b[:1]) })
	return lines
}

// changes names the fields that differ, with their values unless they are API keys.
func changes(before, after any) []string {
	if holder, ok := before.(carawayspread.KeyHolder); ok {
		return keyChanges(holder, after.(carawayspread.KeyHolder))
	}
	old, next := reflect.Indirect(reflect.ValueOf(before)), reflect.Indirect(reflect.ValueOf(after))
	var lines []string
	for i := range old.NumField() {
		a, b := reflect.Indirect(old.Field(i)), reflect.Indirect(next.Field(i))
		if !reflect.DeepEqual(old.Field(i).Interface(), next.Field(i).Interface()) {
			lines = append(lines, fmt.Sprintf("%s %s -> %s", old.Type().Field(i).Name, text(a), text(b)))
		}
	}
	return lines
}

// text formats a value that may be absent.
func text(v reflect.Value) string {
	if !v.IsValid() {
		return "none"
	}
	return fmt.Sprintf("%+v", v.Interface())
}

func keyChanges(before, after carawayspread.KeyHolder) []string {
	var lines []string
	if before.Workspace != after.Workspace {
		lines = append(lines, "priority")
	}
	added, dropped := 0, 0
	for _, key := range after.Keys {
		if !slices.Contains(before.Keys, key) {
			added++
		}
	}
	for _, key := range before.Keys {
		if !slices.Contains(after.Keys, key) {
			dropped++
		}
	}
	if added+dropped > 0 || len(lines) == 0 {
		lines = append(lines, fmt.Sprintf("API keys: %d added, %d revoked", added, dropped))
	}
	return lines
}
