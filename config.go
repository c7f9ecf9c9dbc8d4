package carawayspread

import "sort"

// Version numbers the accepted configurations. Each accepted change raises it
// by one; zero means that no configuration is known.
type Version uint64

// Workspace is a group that shares the fleet. It has no weight: shares follow
// from the targets and from measured work.
type Workspace struct {
	name string // unique in a configuration, not empty
}

// NewWorkspace returns a workspace.
func NewWorkspace(name string) Workspace { return Workspace{name: name} }

// Name returns the name of the workspace.
func (w Workspace) Name() string { return w.name }

// Config is one accepted configuration. It is immutable: readers on the path
// of a request hold the one that was current when the request arrived.
type Config struct {
	version    Version
	classes    map[string]Class
	workspaces map[string]Workspace
	services   map[string]Service
	byModel    map[string]string // model to the name of the service that offers it
}

// NewConfig returns the configuration with that version. The maps are keyed by
// name and must not be modified afterwards.
func NewConfig(version Version, classes map[string]Class, workspaces map[string]Workspace, services map[string]Service) *Config {
	byModel := map[string]string{}
	for name, service := range services {
		for _, model := range service.models {
			byModel[model] = name
		}
	}
	return &Config{version: version, classes: classes, workspaces: workspaces, services: services, byModel: byModel}
}

// Version returns the number of the configuration.
func (c *Config) Version() Version { return c.version }

// Class finds a class by name.
func (c *Config) Class(name string) (Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// Workspace finds a workspace by name.
func (c *Config) Workspace(name string) (Workspace, bool) {
	workspace, ok := c.workspaces[name]
	return workspace, ok
}

// Service finds a service by name.
func (c *Config) Service(name string) (Service, bool) {
	service, ok := c.services[name]
	return service, ok
}

// ServiceOfModel finds the service that offers a model.
func (c *Config) ServiceOfModel(model string) (Service, bool) {
	name, ok := c.byModel[model]
	if !ok {
		return Service{}, false
	}
	return c.Service(name)
}

// Classes returns the classes ordered by name.
func (c *Config) Classes() []Class { return sorted(c.classes) }

// Workspaces returns the workspaces ordered by name.
func (c *Config) Workspaces() []Workspace { return sorted(c.workspaces) }

// Services returns the services ordered by name.
func (c *Config) Services() []Service { return sorted(c.services) }

// Models returns the names of all offered models in alphabetical order.
func (c *Config) Models() []string {
	models := make([]string, 0, len(c.byModel))
	for model := range c.byModel {
		models = append(models, model)
	}
	sort.Strings(models)
	return models
}

func sorted[T any](byName map[string]T) []T {
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
