// Package document reads JSON with comments value by value and collects every
// finding with its file, line, column and path.
//
// A reader asks a Node for what it expects and gets a zero value where the text
// holds something else, so that one pass over a document reports all faults.
package document

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"

	"carawayspread/internal/version/finding"
)

// Node is one value of a document.
type Node struct {
	source *source
	value  *hujson.Value // nil where the value is absent
	at     int           // offset of the value, or of the object that lacks it
	path   string
	// silent marks a node whose fault, or whose parent's, is already found:
	// nothing more is reported below it.
	silent bool
}

type source struct {
	name     string
	body     []byte
	findings finding.List
}

// Parse reads a document. Malformed text is a finding at its place.
func Parse(name string, body []byte) Node {
	src := &source{name: name, body: body}
	value, err := hujson.Parse(body)
	if err != nil {
		src.findings = append(src.findings, malformed(name, err))
		return Node{source: src, silent: true}
	}
	return Node{source: src, value: &value, at: value.StartOffset}
}

var parseError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func malformed(name string, err error) finding.Finding {
	place := finding.Place{File: name, Line: 1, Column: 1}
	message := err.Error()
	if parts := parseError.FindStringSubmatch(message); parts != nil {
		place.Line, _ = strconv.Atoi(parts[1])
		place.Column, _ = strconv.Atoi(parts[2])
		message = parts[3]
	}
	return finding.Finding{Place: place, Message: "malformed JSON: " + message}
}

// Err returns all findings of the document, or nil.
func (n Node) Err() error { return n.source.findings.Err() }

// Findings returns what was found so far, in no order.
func (n Node) Findings() finding.List { return n.source.findings }

// Exists reports whether the document holds the value.
func (n Node) Exists() bool { return n.value != nil && !n.silent }

// Path returns the path of the value in the document.
func (n Node) Path() string { return n.path }

// Place returns where the value stands.
func (n Node) Place() finding.Place {
	line, column := n.source.position(n.at)
	return finding.Place{File: n.source.name, Line: line, Column: column, Path: n.path}
}

// Fail adds a finding at the value.
func (n Node) Fail(format string, args ...any) {
	if !n.silent {
		n.source.findings.Add(n.Place(), format, args...)
	}
}

func (s *source) position(at int) (line, column int) {
	at = min(at, len(s.body))
	start := bytes.LastIndexByte(s.body[:at], '\n') + 1
	return bytes.Count(s.body[:start], []byte{'\n'}) + 1, at - start + 1
}

// Object checks that the value is an object that has only the named fields,
// each once. It returns the node, silenced where it is no object.
func (n Node) Object(fields ...string) Node {
	object, ok := n.object()
	if !ok {
		return n.silenced("an object")
	}
	known := map[string]bool{}
	for _, field := range fields {
		known[field] = true
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := n.member(&object.Members[i])
		name := object.Members[i].Name.Value.(hujson.Literal).String()
		switch {
		case !known[name]:
			member.Fail("unknown field")
		case seen[name]:
			member.Fail("field stands twice")
		}
		seen[name] = true
	}
	return n
}

// Field returns the named field of an object; it may be absent.
func (n Node) Field(name string) Node {
	absent := Node{source: n.source, at: n.at, path: join(n.path, name), silent: n.silent}
	object, ok := n.object()
	if !ok {
		absent.silent = true
		return absent
	}
	for i := range object.Members {
		if object.Members[i].Name.Value.(hujson.Literal).String() == name {
			found := n.member(&object.Members[i])
			found.at = object.Members[i].Value.StartOffset
			return found
		}
	}
	return absent
}

// Need returns the named field of an object; its absence is a finding.
func (n Node) Need(name string) Node {
	field := n.Field(name)
	if field.value == nil {
		field.Fail("missing")
		field.silent = true
	}
	return field
}

// Items returns the elements of an array; ok is false where there is none.
func (n Node) Items() (items []Node, ok bool) {
	if n.silent || n.value == nil {
		return nil, false
	}
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		n.silenced("an array")
		return nil, false
	}
	items = make([]Node, 0, len(array.Elements))
	for i := range array.Elements {
		element := &array.Elements[i]
		items = append(items, Node{
			source: n.source,
			value:  element,
			at:     element.StartOffset,
			path:   fmt.Sprintf("%s[%d]", n.path, i),
		})
	}
	return items, true
}

func (n Node) object() (*hujson.Object, bool) {
	if n.silent || n.value == nil {
		return nil, false
	}
	object, ok := n.value.Value.(*hujson.Object)
	return object, ok
}

// member returns the node of a member, placed at its name.
func (n Node) member(m *hujson.ObjectMember) Node {
	name := m.Name.Value.(hujson.Literal).String()
	return Node{source: n.source, value: &m.Value, at: m.Name.StartOffset, path: join(n.path, name)}
}

// silenced reports a value of the wrong type; absence is no wrong type.
func (n Node) silenced(want string) Node {
	if n.value != nil {
		n.Fail("must be %s, is %s", want, kindOf(n.value))
	}
	n.silent = true
	return n
}

func kindOf(value *hujson.Value) string {
	switch value.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case 't', 'f':
		return "true or false"
	case 'n':
		return "null"
	default:
		return "a number"
	}
}

func join(path, name string) string {
	if name == "" {
		return path
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// Find returns the value at a path below the node, such as
// set.classes[0].share, or the nearest enclosing value under that path.
func (n Node) Find(path string) Node {
	found := n
	for _, step := range steps.FindAllStringSubmatch(path, -1) {
		next := found.step(step[1], step[2])
		if next.value == nil {
			break
		}
		found = next
	}
	found.path = join(n.path, path)
	return found
}

var steps = regexp.MustCompile(`\.?([^.\[\]]+)|\[(\d+)\]`)

func (n Node) step(field, index string) Node {
	if field != "" {
		return n.Field(field)
	}
	items, _ := n.Items()
	i, err := strconv.Atoi(index)
	if err != nil || i >= len(items) {
		return Node{source: n.source}
	}
	return items[i]
}
