package record

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/version/change"
)

// A record that arrives twice, late or across a gap must not produce a version.
func TestApplyNextOnly(t *testing.T) {
	held := carawayspread.NewConfig(2, nil, nil, nil)
	add := change.New(change.SetWorkspace(carawayspread.NewWorkspace("cadastre")))
	for version := range carawayspread.Version(6) {
		next, err := Record{Version: version, Change: add}.Apply(held)
		qt.Check(t, err == nil, qt.Equals, version == 3)
		qt.Check(t, next == nil || next.Version() == 3, qt.IsTrue)
	}
}
