package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A stream goes on after another event than its caller's last one, since the identifier is read otherwise than the
// caller reads it.
func TestIdentifierOfAnEventIsThatWhichItsCallerReads(t *testing.T) {
	for name, test := range map[string]struct{ event, want string }{
		"one":                      {"id: 3\ndata: x\n\n", "3"},
		"no space":                 {"id:3\ndata: x\n\n", "3"},
		"behind the data":          {"data: x\nid: 3\n\n", "3"},
		"lines end with CR LF":     {"id: 3\r\ndata: x\r\n\r\n", "3"},
		"lines end with CR":        {"id: 3\rdata: x\r\n\r\n", "3"},
		"more than one":            {"id: 2\nid: 3\ndata: x\n\n", "3"},
		"taken back":               {"id: 2\nid\ndata: x\n\n", ""},
		"taken back with a colon":  {"id: 2\nid:\ndata: x\n\n", ""},
		"a zero byte":              {"id: 2\nid: 3\x00\ndata: x\n\n", "2"},
		"nothing but a zero byte":  {"id: \x00\ndata: x\n\n", ""},
		"of a comment":             {":id: 2\ndata: x\n\n", ""},
		"of another field":         {"idx: 2\nid : 3\ndata: id: 4\n\n", ""},
		"none":                     {"data: x\n\n", ""},
		"a version of the weights": {"carawayspread-weight-versions: 4\nid: 3\ndata: x\n\n", "3"},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, eventID([]byte(test.event)), qt.Equals, test.want)
		})
	}
}
