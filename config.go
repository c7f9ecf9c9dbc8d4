package carawayspread

import (
	"sort"
	"sync"

	"github.com/google/btree"
)

// workspaceTreeDegree is the degree of the B-tree of workspaces. A change copies the nodes on one
// path from the root; a degree of 16 keeps that near 2 KB with thousands of workspaces.
const workspaceTreeDegree = 16

// Version is the number of an accepted configuration. Each accepted change raises it by one; zero
// means that no configuration is known.
type Version uint64

// Workspace is one of the groups that share the fleet. It has no weight: its share of the fleet
// follows from the targets and from the measured work.
type Workspace struct {
	name        string // unique in a configuration, not empty
	priority    int    // 0 is the most urgent; ignored unless hasPriority
	hasPriority bool
}

// WorkspaceOption sets an optional part of a Workspace.
type WorkspaceOption func(*Workspace)

// WithPriority sets a priority that overrides that of the route.
func WithPriority(priority int) WorkspaceOption {
	return func(w *Workspace) { w.priority, w.hasPriority = priority, true }
}

// NewWorkspace returns a workspace.
func NewWorkspace(name string, opts ...WorkspaceOption) Workspace {
	w := Workspace{name: name}
	for _, opt := range opts {
		opt(&w)
	}
	return w
}

// Priority returns the workspace's own priority, or that of the route if the workspace has none.
// 0 is the most urgent.
func (w Workspace) Priority(ofRoute int) int {
	if w.hasPriority {
		return w.priority
	}
	return ofRoute
}

// Name returns the name of the workspace.
func (w Workspace) Name() string { return w.name }

// Config is one accepted configuration. It is immutable: a request is handled under the
// configuration that was current when it arrived.
type Config struct {
	version  Version
	classes  map[string]Class
	services map[string]Service
	byModel  map[string]string // name of the service that offers each model
	// workspaces shares its unmodified nodes with the trees of earlier and later versions.
	workspaces *btree.BTreeG[Workspace]
	// cloneMu guards Clone, which marks the nodes of both trees as shared. Lookups need no lock.
	cloneMu sync.Mutex
}

// Edit is the difference between a configuration and its next version. Its maps and slices must
// not be modified afterwards.
type Edit struct {
	Classes          map[string]Class   // all classes; nil keeps them
	Services         map[string]Service // all services; nil keeps them
	SetWorkspaces    []Workspace
	DeleteWorkspaces []string
}

// NewConfig returns a configuration with that version. The maps are keyed by name and must not be
// modified afterwards.
func NewConfig(version Version, classes map[string]Class, workspaces map[string]Workspace, services map[string]Service) *Config {
	tree := btree.NewG(workspaceTreeDegree, func(a, b Workspace) bool { return a.name < b.name })
	for _, workspace := range workspaces {
		tree.ReplaceOrInsert(workspace)
	}
	return &Config{
		version: version, classes: classes, services: services,
		byModel: serviceByModel(services), workspaces: tree,
	}
}

func serviceByModel(services map[string]Service) map[string]string {
	byModel := map[string]string{}
	for name, service := range services {
		for _, model := range service.models {
			byModel[model] = name
		}
	}
	return byModel
}

// Next returns the configuration with that version that results from the edit. It shares
// everything that the edit does not change.
func (c *Config) Next(version Version, edit Edit) *Config {
	next := &Config{
		version: version, classes: c.classes, services: c.services,
		byModel: c.byModel, workspaces: c.workspaces,
	}
	if edit.Classes != nil {
		next.classes = edit.Classes
	}
	if edit.Services != nil {
		next.services = edit.Services
		next.byModel = serviceByModel(edit.Services)
	}
	if len(edit.SetWorkspaces) == 0 && len(edit.DeleteWorkspaces) == 0 {
		return next
	}
	next.workspaces = c.cloneWorkspaces()
	for _, name := range edit.DeleteWorkspaces {
		next.workspaces.Delete(Workspace{name: name})
	}
	for _, workspace := range edit.SetWorkspaces {
		next.workspaces.ReplaceOrInsert(workspace)
	}
	return next
}

func (c *Config) cloneWorkspaces() *btree.BTreeG[Workspace] {
	c.cloneMu.Lock()
	defer c.cloneMu.Unlock()
	return c.workspaces.Clone()
}

// Version returns the version of the configuration.
func (c *Config) Version() Version { return c.version }

// Class returns the class with that name.
func (c *Config) Class(name string) (Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// Workspace returns the workspace with that name.
func (c *Config) Workspace(name string) (Workspace, bool) {
	return c.workspaces.Get(Workspace{name: name})
}

// Service returns the service with that name.
func (c *Config) Service(name string) (Service, bool) {
	service, ok := c.services[name]
	return service, ok
}

// ServiceOfModel returns the service that offers the model.
func (c *Config) ServiceOfModel(model string) (Service, bool) {
	name, ok := c.byModel[model]
	if !ok {
		return Service{}, false
	}
	return c.Service(name)
}

// Classes returns the classes ordered by name.
func (c *Config) Classes() []Class { return sortedByName(c.classes) }

// Workspaces returns the workspaces ordered by name.
func (c *Config) Workspaces() []Workspace {
	workspaces := make([]Workspace, 0, c.workspaces.Len())
	c.workspaces.Ascend(func(workspace Workspace) bool {
		workspaces = append(workspaces, workspace)
		return true
	})
	return workspaces
}

// Services returns the services ordered by name.
func (c *Config) Services() []Service { return sortedByName(c.services) }

// Models returns the names of all offered models in alphabetical order.
func (c *Config) Models() []string {
	models := make([]string, 0, len(c.byModel))
	for model := range c.byModel {
		models = append(models, model)
	}
	sort.Strings(models)
	return models
}

func sortedByName[T any](byName map[string]T) []T {
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	sort.Strings(names)
	values := make([]T, 0, len(names))
	for _, name := range names {
		values = append(values, byName[name])
	}
	return values
}
