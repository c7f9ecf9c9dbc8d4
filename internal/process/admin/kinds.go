package admin

import (
	"bytes"
	"fmt"

	"carawayspread"
	"carawayspread/internal/connection/adminapi"
	"carawayspread/internal/version/change"
)

// resourceKind is one kind of resource in a configuration.
type resourceKind interface {
	list(cfg *carawayspread.Config) any
	show(cfg *carawayspread.Config, name string) (any, error)
	set(name string, body []byte) *change.Change
	delete(name string) *change.Change
}

type classes struct{}

func (classes) list(cfg *carawayspread.Config) any {
	answer := adminapi.Classes{Version: cfg.Version(), Classes: []change.Class{}}
	for _, class := range cfg.Classes() {
		answer.Classes = append(answer.Classes, change.WireClass(class))
	}
	return answer
}

func (classes) show(cfg *carawayspread.Config, name string) (any, error) {
	class, ok := cfg.Class(name)
	if !ok {
		return nil, notFound("class", name)
	}
	return adminapi.Class{Version: cfg.Version(), Class: change.WireClass(class)}, nil
}

func (classes) set(name string, body []byte) *change.Change { return parseNamed("classes", name, body) }

func (classes) delete(name string) *change.Change { return change.New(change.DeleteClass(name)) }

type workspaces struct{}

func (workspaces) list(cfg *carawayspread.Config) any {
	answer := adminapi.Workspaces{Version: cfg.Version(), Workspaces: []change.Workspace{}}
	for _, workspace := range cfg.Workspaces() {
		answer.Workspaces = append(answer.Workspaces, change.Workspace{Name: workspace.Name()})
	}
	return answer
}

func (workspaces) show(cfg *carawayspread.Config, name string) (any, error) {
	if _, ok := cfg.Workspace(name); !ok {
		return nil, notFound("workspace", name)
	}
	return adminapi.Workspaces{Version: cfg.Version(), Workspaces: []change.Workspace{{Name: name}}}, nil
}

func (workspaces) set(name string, body []byte) *change.Change {
	return parseNamed("workspaces", name, body)
}

func (workspaces) delete(name string) *change.Change {
	return change.New(change.DeleteWorkspace(name))
}

type services struct{}

func (services) list(cfg *carawayspread.Config) any {
	answer := adminapi.Services{Version: cfg.Version(), Services: []change.Service{}}
	for _, service := range cfg.Services() {
		answer.Services = append(answer.Services, change.WireService(service))
	}
	return answer
}

func (services) show(cfg *carawayspread.Config, name string) (any, error) {
	service, ok := cfg.Service(name)
	if !ok {
		return nil, notFound("service", name)
	}
	return adminapi.Service{Version: cfg.Version(), Service: change.WireService(service)}, nil
}

func (services) set(name string, body []byte) *change.Change {
	return parseNamed("services", name, body)
}

func (services) delete(name string) *change.Change { return change.New(change.DeleteService(name)) }

func notFound(kind, name string) error {
	return carawayspread.NewError(
		carawayspread.CodeNotFound, fmt.Sprintf("there is no %s %q", kind, name), carawayspread.NotRun(),
	)
}

// parseNamed parses the body of a resource whose name is in the path. The body may be empty and may
// omit the name.
func parseNamed(field, name string, body []byte) *change.Change {
	if len(bytes.TrimSpace(body)) == 0 {
		body = []byte("{}")
	}
	return change.ParseOne(field, name, body)
}
