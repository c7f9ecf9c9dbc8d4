// Package change holds one change of the configuration as a typed delta: the
// classes, workspaces and services that it sets and deletes, as one group that
// is accepted or refused as a whole.
//
// The configuration log stores deltas and daemons exchange them: with thousands of workspaces and
// thousands of changes a day, full copies would cost each daemon megabytes a minute.
package change

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"carawayspread"
	"carawayspread/internal/version/document"
	"carawayspread/internal/version/finding"
)

// Change is one delta. It is immutable.
type Change struct {
	set           values
	delete        names
	source        document.Node // the text that it was parsed from; the zero Node if there is none
	pathPrefix    string        // path of that text in the change; empty for a whole change
	parseFindings finding.List
}

type values struct {
	classes    []carawayspread.Class
	workspaces []carawayspread.Workspace
	services   []carawayspread.Service
}

type names struct {
	Classes    []string `json:"classes,omitempty"`
	Workspaces []string `json:"workspaces,omitempty"`
	Services   []string `json:"services,omitempty"`
}

// Option adds one edit to a change.
type Option func(*Change)

// New returns a change made of the options.
func New(opts ...Option) *Change {
	c := &Change{}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// SetClass adds or replaces a class.
func SetClass(class carawayspread.Class) Option {
	return func(c *Change) { c.set.classes = append(c.set.classes, class) }
}

// SetWorkspace adds a workspace.
func SetWorkspace(workspace carawayspread.Workspace) Option {
	return func(c *Change) { c.set.workspaces = append(c.set.workspaces, workspace) }
}

// SetService adds or replaces a service.
func SetService(service carawayspread.Service) Option {
	return func(c *Change) { c.set.services = append(c.set.services, service) }
}

// DeleteClass removes a class.
func DeleteClass(name string) Option {
	return func(c *Change) { c.delete.Classes = append(c.delete.Classes, name) }
}

// DeleteWorkspace removes a workspace.
func DeleteWorkspace(name string) Option {
	return func(c *Change) { c.delete.Workspaces = append(c.delete.Workspaces, name) }
}

// DeleteService removes a service.
func DeleteService(name string) Option {
	return func(c *Change) { c.delete.Services = append(c.delete.Services, name) }
}

// FromConfig returns the change that turns an empty configuration into cfg.
func FromConfig(cfg *carawayspread.Config) *Change {
	return &Change{set: values{
		classes:    cfg.Classes(),
		workspaces: cfg.Workspaces(),
		services:   cfg.Services(),
	}}
}

// Apply checks the change and returns the next version of the configuration.
// Its error is the finding.List of Check.
func (c *Change) Apply(cfg *carawayspread.Config) (*carawayspread.Config, error) {
	if err := c.Check(cfg); err != nil {
		return nil, err
	}
	return c.Replay(cfg), nil
}

// Replay returns the next version of the configuration without the checks. An accepted change must
// apply on every daemon and at any later time; a daemon with stricter checks would otherwise be
// stuck at the version before it.
func (c *Change) Replay(cfg *carawayspread.Config) *carawayspread.Config {
	return cfg.Next(cfg.Version()+1, c.edit(cfg))
}

func (c *Change) edit(cfg *carawayspread.Config) carawayspread.Edit {
	edit := carawayspread.Edit{
		SetWorkspaces:    c.set.workspaces,
		DeleteWorkspaces: c.delete.Workspaces,
	}
	if len(c.set.classes)+len(c.delete.Classes) > 0 {
		edit.Classes = merged(cfg.Classes(), c.set.classes, c.delete.Classes)
	}
	if len(c.set.services)+len(c.delete.Services) > 0 {
		edit.Services = merged(cfg.Services(), c.set.services, c.delete.Services)
	}
	return edit
}

func merged[T interface{ Name() string }](old, set []T, deleted []string) map[string]T {
	all := make(map[string]T, len(old)+len(set))
	for _, value := range old {
		all[value.Name()] = value
	}
	for _, name := range deleted {
		delete(all, name)
	}
	for _, value := range set {
		all[value.Name()] = value
	}
	return all
}

// Inverse returns the change that undoes c after c has been applied to cfg. It restores the values
// that c replaces or deletes and deletes those that c adds.
func (c *Change) Inverse(cfg *carawayspread.Config) *Change {
	inverse := &Change{}
	undo(nameList(c.set.classes), c.delete.Classes, cfg.Class, &inverse.set.classes, &inverse.delete.Classes)
	undo(nameList(c.set.workspaces), c.delete.Workspaces, cfg.Workspace, &inverse.set.workspaces, &inverse.delete.Workspaces)
	undo(nameList(c.set.services), c.delete.Services, cfg.Service, &inverse.set.services, &inverse.delete.Services)
	return inverse
}

func undo[T any](set, deleted []string, find func(string) (T, bool), restored *[]T, removed *[]string) {
	for _, name := range slices.Concat(set, deleted) {
		if old, ok := find(name); ok {
			*restored = append(*restored, old)
			continue
		}
		*removed = append(*removed, name)
	}
}

// Touches returns the kind and name of each value that the change sets or deletes, such as
// "class rulings", in alphabetical order.
func (c *Change) Touches() []string {
	touched := map[string]bool{}
	add := func(kind string, names ...string) {
		for _, name := range names {
			touched[fmt.Sprintf("%s %s", kind, name)] = true
		}
	}
	add("class", slices.Concat(nameList(c.set.classes), c.delete.Classes)...)
	add("workspace", slices.Concat(nameList(c.set.workspaces), c.delete.Workspaces)...)
	add("service", slices.Concat(nameList(c.set.services), c.delete.Services)...)
	return slices.Sorted(maps.Keys(touched))
}

// Len returns the number of values that the change sets and deletes.
func (c *Change) Len() int {
	return len(c.set.classes) + len(c.set.workspaces) + len(c.set.services) +
		len(c.delete.Classes) + len(c.delete.Workspaces) + len(c.delete.Services)
}

// MarshalJSON returns the change in the form that Parse reads.
func (c *Change) MarshalJSON() ([]byte, error) { return json.Marshal(c.Stored()) }

func nameList[T interface{ Name() string }](values []T) []string {
	list := make([]string, 0, len(values))
	for _, value := range values {
		list = append(list, value.Name())
	}
	return list
}
