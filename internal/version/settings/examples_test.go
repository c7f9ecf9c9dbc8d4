package settings

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/version/change"
)

// Guards against examples that a daemon or the configuration log would refuse.
func TestExamples(t *testing.T) {
	names, err := filepath.Glob("../../../examples/*/*.jsonc")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, names, qt.HasLen, 6)
	roles := map[string]carawayspread.InstanceRole{
		"entry.jsonc": carawayspread.InstanceEntry, "sidecar.jsonc": carawayspread.InstanceSidecar,
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			body, err := os.ReadFile(name)
			qt.Assert(t, err, qt.IsNil)
			if filepath.Base(name) == "configuration.jsonc" {
				empty := carawayspread.NewConfig(0, nil, nil, nil)
				qt.Check(t, change.Parse(name, body).Check(empty), qt.IsNil)
				return
			}
			s, err := Parse(name, body)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, s.Role(), qt.Equals, roles[filepath.Base(name)])
		})
	}
}
