package routingcheck

import (
	"encoding/json"
	"errors"
	"reflect"

	"carawayspread"
	"carawayspread/internal/version/document"
	"carawayspread/internal/version/finding"
)

// Read reads a configuration entry by entry, with the decoders of gateways. What these could not read is a finding.
func Read(name string, body []byte, format carawayspread.ConfigurationFormat) (*Draft, finding.List) {
	root := document.Parse(name, body)
	d := &Draft{Place: root.Place}
	if root.Exists() && !json.Valid(body) {
		root.Fail("the store takes JSON without comments and trailing commas")
	}
	version := root.Need(format.VersionField)
	var number uint64
	if err := json.Unmarshal(version.JSON(), &number); version.Exists() && (err != nil || number == 0) {
		version.Fail("must be a positive whole number")
	}
	d.Version = carawayspread.Version(number)
	d.Routes = readList(root.Need(format.RoutesField), format.Route)
	d.Services = readList(root.Need(format.ServicesField), format.Service)
	if workspaces := root.Field(format.WorkspacesField); workspaces.Exists() && string(workspaces.JSON()) != "null" {
		d.Keyed = true
		d.Workspaces = readList(workspaces, format.Workspace)
	}
	if limits := root.Field(format.LimitsField); limits.Exists() {
		d.Limits, _ = decode(limits, format.Limits)
	}
	return d, root.Findings()
}

func readList[T any](list document.Node, read func([]byte) (T, error)) []Entry[T] {
	items, _ := list.Items()
	entries := make([]Entry[T], 0, len(items))
	for _, item := range items {
		if value, ok := decode(item, read); ok {
			entries = append(entries, Entry[T]{Value: value, Place: item.Place})
		}
	}
	return entries
}

// decode decodes a value, and records a finding if it cannot.
func decode[T any](n document.Node, read func([]byte) (T, error)) (T, bool) {
	value, err := read(n.JSON())
	var wrong *json.UnmarshalTypeError
	switch {
	case err == nil:
		return value, true
	case errors.As(err, &wrong) && wrong.Field != "":
		n.Find(wrong.Field).Fail("must be %s, is %s", kindName(wrong.Type), wrong.Value)
	default:
		n.Fail("%v", err)
	}
	return value, false
}

// kindName names the JSON values that a type takes.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "an array"
	case reflect.Struct:
		return "an object"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
