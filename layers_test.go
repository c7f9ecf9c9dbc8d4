package carawayspread

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const module = "carawayspread"

// layers lists for each area the other areas that its packages may import, in addition to the root
// package, their own area and libraries. docs/ARCHITECTURE.md shows it as a diagram.
var layers = map[string][]string{
	"":                    {},
	"internal/decision":   {},
	"internal/version":    {"internal/decision"},
	"internal/connection": {"internal/version"},
	"internal/request":    {"internal/connection"},
	"internal/process":    {"internal/decision", "internal/version", "internal/connection", "internal/request"},
	"internal/controller": {"internal/decision", "internal/process"},
	"internal/daemon":     {"internal/decision", "internal/version", "internal/connection", "internal/request", "internal/process", "internal/controller", "internal/standin"},
	"internal/standin":    {},
	"internal/measure":    {},
	"internal/soak":       {"internal/standin"},
	"platform":            {},
	"cmd":                 {"internal/connection", "internal/daemon", "internal/process", "internal/soak", "internal/standin", "internal/version", "platform"},
}

// externalLibraries are the libraries that give a package access to the world outside its process.
var externalLibraries = []string{"net", "os", "syscall", "github.com/twitchtv/twirp", "golang.org/x/sys"}

// area returns the area that a path inside the module belongs to.
func area(dir string) string {
	parts := strings.Split(dir, "/")
	if parts[0] == "internal" && len(parts) > 1 {
		return "internal/" + parts[1]
	}
	return strings.TrimPrefix(parts[0], ".")
}

// violation returns why a package in dir may not import another; empty if it may.
func violation(dir, imported string) string {
	from := area(dir)
	allowed, known := layers[from]
	if !known {
		return dir + " belongs to no area"
	}
	switch {
	case imported == "os/exec" && from != "internal/soak":
		return dir + " starts processes"
	case imported == "net/http/httputil":
		return dir + " uses a ready-made proxy"
	}
	inside, own := strings.CutPrefix(imported, module+"/")
	switch {
	case own && area(inside) != from && !slices.Contains(allowed, area(inside)):
		return dir + " imports " + inside
	case !own && imported != module && from == "internal/decision" && slices.ContainsFunc(externalLibraries, func(library string) bool {
		return imported == library || strings.HasPrefix(imported, library+"/")
	}):
		return dir + " is a decision module and imports " + imported
	}
	return ""
}

// Guards against imports that break the documented layers. A decision module that uses the network,
// or an area that imports a daemon, can no longer be tested or read in isolation.
func TestAreasImportInOneDirection(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name = filepath.ToSlash(name)
		if entry.IsDir() {
			if name != "." && strings.HasPrefix(path.Base(name), ".") || name == "journal" || name == "target" {
				return filepath.SkipDir
			}
			return nil
		}
		if path.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		files++
		parsed, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range parsed.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			qt.Check(t, violation(path.Dir(name), imported), qt.Equals, "", qt.Commentf(name))
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, files > 100, qt.IsTrue, qt.Commentf("%d files read", files))
}

func TestImportViolationsAreDetected(t *testing.T) {
	for name, c := range map[string]struct{ dir, imported, want string }{
		"a decision and the network":  {"internal/decision/placement", "net/http", "internal/decision/placement is a decision module and imports net/http"},
		"a decision and files":        {"internal/decision/placement", "os", "internal/decision/placement is a decision module and imports os"},
		"a decision and a daemon":     {"internal/decision/placement", module + "/internal/daemon/entryd", "internal/decision/placement imports internal/daemon/entryd"},
		"a decision and the platform": {"internal/decision/placement", module + "/platform/wire", "internal/decision/placement imports platform/wire"},
		"a process and a daemon":      {"internal/process/gateway", module + "/internal/daemon/gatewayd", "internal/process/gateway imports internal/daemon/gatewayd"},
		"a connection and a process":  {"internal/connection/peers", module + "/internal/process/gateway", "internal/connection/peers imports internal/process/gateway"},
		"a daemon and the platform":   {"internal/daemon/gatewayd", module + "/platform/wire", "internal/daemon/gatewayd imports platform/wire"},
		"the root and an area":        {".", module + "/internal/version/record", ". imports internal/version/record"},
		"a daemon and processes":      {"internal/daemon/gatewayd", "os/exec", "internal/daemon/gatewayd starts processes"},
		"a command and processes":     {"cmd/soak", "os/exec", "cmd/soak starts processes"},
		"the soak and processes":      {"internal/soak/program", "os/exec", ""},
		"a ready-made proxy":          {"internal/soak/relay", "net/http/httputil", "internal/soak/relay uses a ready-made proxy"},
		"an area that is not listed":  {"internal/other/one", "time", "internal/other/one belongs to no area"},
		"a decision and a decision":   {"internal/decision/placement", module + "/internal/decision/zonereader", ""},
		"a decision and the root":     {"internal/decision/placement", module, ""},
		"a decision and a library":    {"internal/decision/placement", "math/rand/v2", ""},
		"a daemon and a process":      {"internal/daemon/gatewayd", module + "/internal/process/gateway", ""},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, violation(c.dir, c.imported), qt.Equals, c.want)
		})
	}
}
