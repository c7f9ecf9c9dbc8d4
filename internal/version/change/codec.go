package change

import (
	"strings"
	"time"

	"carawayspread"
	"carawayspread/internal/version/document"
	"carawayspread/internal/version/finding"
)

// Stored is the JSON form of a change for use inside a larger document, which is then encoded and
// decoded in one pass: encoding/json takes two more for a type that encodes itself, as Change does.
type Stored struct {
	Set    *wireValues `json:"set,omitempty"`
	Delete *names      `json:"delete,omitempty"`
}

type wireValues struct {
	Classes    []Class     `json:"classes,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Services   []Service   `json:"services,omitempty"`
}

// Class is the JSON form of a class.
type Class struct {
	Name          string  `json:"name"`
	FirstToken    string  `json:"firstToken,omitempty"`
	BetweenTokens string  `json:"betweenTokens,omitempty"`
	Whole         string  `json:"whole,omitempty"`
	Share         float64 `json:"share"`
	AtMostOnce    bool    `json:"atMostOnce,omitempty"`
}

// Workspace is the JSON form of a workspace.
type Workspace struct {
	Name string `json:"name"`
}

// Service is the JSON form of a service.
type Service struct {
	Name       string   `json:"name"`
	Kind       string   `json:"kind"`
	Models     []string `json:"models,omitempty"`
	Repeatable bool     `json:"repeatable,omitempty"`
}

// WireClass returns the JSON form of a class.
func WireClass(class carawayspread.Class) Class {
	target := class.Target()
	return Class{
		Name:          class.Name(),
		FirstToken:    durationText(target.FirstToken()),
		BetweenTokens: durationText(target.BetweenTokens()),
		Whole:         durationText(target.Whole()),
		Share:         target.Share(),
		AtMostOnce:    class.AtMostOnce(),
	}
}

// WireService returns the JSON form of a service.
func WireService(service carawayspread.Service) Service {
	return Service{
		Name:       service.Name(),
		Kind:       string(service.Kind()),
		Models:     service.Models(),
		Repeatable: service.Repeatable(),
	}
}

func durationText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// Stored returns the JSON form of the change.
func (c *Change) Stored() Stored {
	wire := Stored{}
	if n := len(c.set.classes) + len(c.set.workspaces) + len(c.set.services); n > 0 {
		wire.Set = &wireValues{}
		for _, class := range c.set.classes {
			wire.Set.Classes = append(wire.Set.Classes, WireClass(class))
		}
		for _, workspace := range c.set.workspaces {
			wire.Set.Workspaces = append(wire.Set.Workspaces, Workspace{Name: workspace.Name()})
		}
		for _, service := range c.set.services {
			wire.Set.Services = append(wire.Set.Services, WireService(service))
		}
	}
	if len(c.delete.Classes)+len(c.delete.Workspaces)+len(c.delete.Services) > 0 {
		wire.Delete = &c.delete
	}
	return wire
}

// Parse reads a change from JSON with comments. Check reports the findings of parsing together with
// its own.
func Parse(name string, body []byte) *Change {
	root := document.Parse(name, body).WithMaxFindings(maxFindings)
	c := read(root)
	c.parseFindings = root.Findings()
	return c
}

func read(node document.Node) *Change {
	c := &Change{source: node}
	node = node.Object("set", "delete")
	set := node.Field("set").Object("classes", "workspaces", "services")
	c.set.classes = readAll(set.Field("classes"), withoutKnownName(readClass))
	c.set.workspaces = readAll(set.Field("workspaces"), withoutKnownName(readWorkspace))
	c.set.services = readAll(set.Field("services"), withoutKnownName(readService))
	deleted := node.Field("delete").Object("classes", "workspaces", "services")
	c.delete.Classes = readAll(deleted.Field("classes"), document.Node.Text)
	c.delete.Workspaces = readAll(deleted.Field("workspaces"), document.Node.Text)
	c.delete.Services = readAll(deleted.Field("services"), document.Node.Text)
	return c
}

func readAll[T any](node document.Node, read func(document.Node) T) []T {
	items, _ := node.Items()
	if len(items) == 0 {
		return nil
	}
	values := make([]T, 0, len(items))
	for _, item := range items {
		values = append(values, read(item))
	}
	return values
}

func withoutKnownName[T any](read func(string, document.Node) T) func(document.Node) T {
	return func(node document.Node) T { return read("", node) }
}

const (
	minTarget = time.Microsecond
	maxTarget = 24 * time.Hour
)

func readClass(name string, node document.Node) carawayspread.Class {
	node = node.Object("name", "firstToken", "betweenTokens", "whole", "share", "atMostOnce")
	return carawayspread.NewClass(
		readName(name, node),
		carawayspread.NewTarget(
			node.Field("firstToken").Duration(minTarget, maxTarget),
			node.Field("betweenTokens").Duration(minTarget, maxTarget),
			node.Field("whole").Duration(minTarget, maxTarget),
			node.Need("share").Number(),
		),
		node.Field("atMostOnce").Bool(),
	)
}

func readWorkspace(name string, node document.Node) carawayspread.Workspace {
	return carawayspread.NewWorkspace(readName(name, node.Object("name")))
}

func readService(name string, node document.Node) carawayspread.Service {
	node = node.Object("name", "kind", "models", "repeatable")
	return carawayspread.NewService(
		readName(name, node),
		carawayspread.Kind(node.Need("kind").Text()),
		readAll(node.Field("models"), document.Node.Text),
		node.Field("repeatable").Bool(),
	)
}

// place returns the position of a path of the change in the text that the change was parsed from,
// or the path alone where there is no such text.
func (c *Change) place(path string) finding.Place {
	if !c.source.Exists() {
		return finding.Place{Path: path}
	}
	return c.source.Find(c.textPath(path)).Place()
}

// textPath returns a path of the change as it is in the text that the change was parsed from.
func (c *Change) textPath(path string) string {
	if !c.source.Exists() {
		return path
	}
	return strings.TrimPrefix(strings.TrimPrefix(path, c.pathPrefix), ".")
}

// ParseOne reads a change that sets one value; field is classes, workspaces or services. The name
// of the value is given separately; the text may repeat it.
func ParseOne(field, name string, body []byte) *Change {
	root := document.Parse("", body).WithMaxFindings(maxFindings)
	c := &Change{source: root}
	switch field {
	case "classes":
		c.set.classes = []carawayspread.Class{readClass(name, root)}
	case "workspaces":
		c.set.workspaces = []carawayspread.Workspace{readWorkspace(name, root)}
	case "services":
		c.set.services = []carawayspread.Service{readService(name, root)}
	}
	c.parseFindings = root.Findings()
	c.pathPrefix = "set." + field + "[0]"
	return c
}

// readName returns the name of a value. If the name is known already, the text may omit it but must
// not state a different one.
func readName(known string, node document.Node) string {
	if known == "" {
		return node.Need("name").Text()
	}
	field := node.Field("name")
	if field.Exists() && field.Text() != known {
		field.Fail("must be %q, which is being set", known)
	}
	return known
}
