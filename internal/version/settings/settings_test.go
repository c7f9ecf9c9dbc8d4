package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"carawayspread"
	"carawayspread/internal/version/finding"
)

func TestParse(t *testing.T) {
	s, err := Read("testdata/sidecar.jsonc")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Role(), qt.Equals, carawayspread.InstanceSidecar)
	qt.Check(t, s.Zone(), qt.Equals, "bogota-norte")
	qt.Check(t, s.Platform().Weights(), qt.Equals, "127.0.0.1:7004")
	qt.Check(t, s.Platform().TableName(), qt.Equals, "carawayspread")
	qt.Check(t, s.Endpoints()[1].OrderGuard(), qt.Equals, "127.0.0.1:7302")
	qt.Check(t, s.Limits().BodyBytes(), qt.Equals, int64(8<<20))
	qt.Check(t, s.Timeouts().Idle(), qt.Equals, 5*time.Minute)
	qt.Check(t, s.Instance().Endpoints, qt.HasLen, 2)
}

// Every fault of a file must be reported in one error, each at its line, so that an operator
// corrects the file once. No fault may be reported again through values that depend on the faulty
// one.
func TestParseFindings(t *testing.T) {
	tests := map[string]struct{ findings int }{
		"tenMistakes": {findings: 10},
		"malformed":   {findings: 1},
		"entry":       {findings: 3},
		"limits":      {findings: 3},
		"memory":      {findings: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := name + ".jsonc"
			body, err := os.ReadFile(filepath.Join("testdata", file))
			qt.Assert(t, err, qt.IsNil)
			_, err = Parse(file, body)
			var list finding.List
			qt.Assert(t, errors.As(err, &list), qt.IsTrue)
			goldie.New(t).Assert(t, name, []byte(list.Error()+"\n"))
			qt.Check(t, list, qt.HasLen, test.findings)
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"sidecar", "tenMistakes", "malformed"} {
		body, err := os.ReadFile(filepath.Join("testdata", name+".jsonc"))
		qt.Assert(f, err, qt.IsNil)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := Parse("fuzz", body)
		qt.Check(t, (s == nil) == (err != nil), qt.IsTrue)
	})
}
