package change

import (
	"errors"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/version/document"
	"carawayspread/internal/version/finding"
)

// Guards against one request that keeps a process busy for minutes, or takes more memory than is accounted for: a
// megabyte holds half a million values, each of which may be a finding.
func TestChangeOfVeryManyValues(t *testing.T) {
	for name, text := range map[string]string{
		"numbers":        "[" + strings.Repeat("0,", 1<<19-2) + "0]",
		"lists":          "[" + strings.Repeat("[],", 1<<18) + "0]",
		"wrong classes":  `{"set":{"classes":[` + strings.Repeat("0,", 1<<19-12) + "0]}}",
		"empty classes":  `{"set":{"classes":[` + strings.Repeat("{},", 1<<18) + "{}]}}",
		"same workspace": `{"set":{"workspaces":[` + strings.Repeat(`{"name":"a"},`, 1<<16) + "{}]}}",
		"unknown fields": `{"set":{"classes":[{` + strings.Repeat(`"":0,`, 1<<17) + `"a":0}]}}`,
		"deleted":        `{"delete":{"classes":[` + strings.Repeat(`"a",`, 1<<17) + `"a"]}}`,
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := Parse("", []byte(text))
			err := c.Check(carawayspread.NewConfig(0, nil, nil, nil))
			runtime.GC()
			runtime.ReadMemStats(&after)
			var list finding.List
			qt.Assert(t, errors.As(err, &list), qt.IsTrue)
			qt.Check(t, len(list) > 0 && len(list) <= maxFindings, qt.IsTrue, qt.Commentf("%d findings", len(list)))
			held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			qt.Check(t, held <= document.Memory([]byte(text)), qt.IsTrue, qt.Commentf("%d bytes of %d", held, document.Memory([]byte(text))))
			runtime.KeepAlive(c)
		})
	}
}
