// Package document reads JSON with comments value by value and collects every
// finding with its file, line, column and path.
//
// A caller reads each value of a Node as the type that it expects. A value of another type is
// recorded as a finding and read as the zero value, so that one pass over a document reports all
// faults.
package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"

	"carawayspread/internal/version/finding"
)

// valueBytes is the memory of one value or name: as it is parsed, as a Node, and as what is read from it.
const valueBytes = 512

// Memory returns how many bytes the values of a document occupy at most while it is parsed and read. A value is begun
// by a bracket or brace, or follows a comma or colon.
func Memory(body []byte) int64 {
	values := int64(1)
	for _, c := range body {
		switch c {
		case ',', ':', '[', '{':
			values++
		}
	}
	return valueBytes * values
}

// Node is one value of a document.
type Node struct {
	source *source
	value  *hujson.Value // nil where the value is absent
	offset int           // of the value, or of the object that lacks it
	path   string
	// suppressed marks a node for which and below which nothing more is reported: a fault of it or
	// of a parent is recorded already, or the object that would contain it is absent.
	suppressed bool
}

type source struct {
	name        string
	body        []byte
	findings    finding.List
	maxFindings int // further ones are not recorded; zero if all are
}

// Parse reads a document. Malformed text is recorded as a finding at its position.
func Parse(name string, body []byte) Node {
	src := &source{name: name, body: body}
	value, err := hujson.Parse(body)
	if err != nil {
		src.findings = append(src.findings, malformed(name, err))
		return Node{source: src, suppressed: true}
	}
	return Node{source: src, value: &value, offset: value.StartOffset}
}

// WithMaxFindings has only the first findings of the document recorded, and returns the node. Each element of a long
// list may be one, and to tell its line takes as long as the text before it.
func (n Node) WithMaxFindings(most int) Node {
	n.source.maxFindings = most
	return n
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

// Findings returns the findings so far, unordered.
func (n Node) Findings() finding.List { return n.source.findings }

// Exists reports whether the document contains the value; false for a suppressed node.
func (n Node) Exists() bool { return n.value != nil && !n.suppressed }

// Path returns the path of the value in the document.
func (n Node) Path() string { return n.path }

// JSON returns the value as JSON without comments; null where it is absent. It must not be modified.
func (n Node) JSON() []byte {
	if !n.Exists() {
		return []byte("null")
	}
	if text := n.source.body[n.value.StartOffset:n.value.EndOffset]; json.Valid(text) {
		return text
	}
	value := n.value.Clone()
	value.Standardize()
	return value.Pack()
}

// Place returns the position of the value.
func (n Node) Place() finding.Place {
	line, column := n.source.position(n.offset)
	return finding.Place{File: n.source.name, Line: line, Column: column, Path: n.path}
}

// Fail records a finding at the value, unless the node is suppressed or the document has its most findings.
func (n Node) Fail(format string, args ...any) {
	if n.suppressed || n.source.maxFindings > 0 && len(n.source.findings) >= n.source.maxFindings {
		return
	}
	n.source.findings.Add(n.Place(), format, args...)
}

func (s *source) position(offset int) (line, column int) {
	offset = min(offset, len(s.body))
	start := bytes.LastIndexByte(s.body[:offset], '\n') + 1
	return bytes.Count(s.body[:start], []byte{'\n'}) + 1, offset - start + 1
}

// Object checks that the value is an object that has only the named fields, each at most once. It
// returns the node, suppressed if the value is not an object.
func (n Node) Object(fields ...string) Node {
	object, ok := n.object()
	if !ok {
		return n.rejectType("an object")
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
	absent := Node{source: n.source, offset: n.offset, path: joinPath(n.path, name), suppressed: n.suppressed}
	object, ok := n.object()
	if !ok {
		absent.suppressed = true
		return absent
	}
	for i := range object.Members {
		if object.Members[i].Name.Value.(hujson.Literal).String() == name {
			found := n.member(&object.Members[i])
			found.offset = object.Members[i].Value.StartOffset
			return found
		}
	}
	return absent
}

// Need returns the named field of an object; if it is absent, this is recorded as a finding.
func (n Node) Need(name string) Node {
	field := n.Field(name)
	if field.value == nil {
		field.Fail("missing")
		field.suppressed = true
	}
	return field
}

// Items returns the elements of an array; ok is false if the value is not an array.
func (n Node) Items() (items []Node, ok bool) {
	if n.suppressed || n.value == nil {
		return nil, false
	}
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		n.rejectType("an array")
		return nil, false
	}
	items = make([]Node, 0, len(array.Elements))
	for i := range array.Elements {
		items = append(items, n.element(array, i))
	}
	return items, true
}

func (n Node) element(array *hujson.Array, i int) Node {
	element := &array.Elements[i]
	return Node{source: n.source, value: element, offset: element.StartOffset, path: fmt.Sprintf("%s[%d]", n.path, i)}
}

func (n Node) object() (*hujson.Object, bool) {
	if n.suppressed || n.value == nil {
		return nil, false
	}
	object, ok := n.value.Value.(*hujson.Object)
	return object, ok
}

// member returns the node of a member, with the position of its name.
func (n Node) member(m *hujson.ObjectMember) Node {
	name := m.Name.Value.(hujson.Literal).String()
	return Node{source: n.source, value: &m.Value, offset: m.Name.StartOffset, path: joinPath(n.path, name)}
}

// rejectType reports a value that is not of the wanted type and returns the node suppressed. An
// absent value is not reported.
func (n Node) rejectType(want string) Node {
	if n.value != nil {
		n.Fail("must be %s, is %s", want, kindOf(n.value))
	}
	n.suppressed = true
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

func joinPath(path, name string) string {
	if name == "" {
		return path
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// Find returns the value at a path below the node, such as set.classes[0].share. If there is none,
// it returns the nearest enclosing value, with that path.
func (n Node) Find(path string) Node {
	found := n
	for _, step := range pathSteps.FindAllStringSubmatch(path, -1) {
		next := found.step(step[1], step[2])
		if next.value == nil {
			break
		}
		found = next
	}
	found.path = joinPath(n.path, path)
	return found
}

var pathSteps = regexp.MustCompile(`\.?([^.\[\]]+)|\[(\d+)\]`)

func (n Node) step(field, index string) Node {
	if field != "" {
		return n.Field(field)
	}
	if n.suppressed || n.value == nil {
		return Node{source: n.source}
	}
	array, ok := n.value.Value.(*hujson.Array)
	i, err := strconv.Atoi(index)
	if !ok || err != nil || i >= len(array.Elements) {
		return Node{source: n.source}
	}
	return n.element(array, i)
}
