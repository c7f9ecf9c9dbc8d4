package change

import (
	"encoding/json"
	"fmt"
	"regexp"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

func sampleConfig(workspaces int) *carawayspread.Config {
	set := map[string]carawayspread.Workspace{}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%05d", i)
		set[name] = carawayspread.NewWorkspace(name)
	}
	target := carawayspread.NewTarget(300*time.Millisecond, 0, 0, 0.95)
	classes := map[string]carawayspread.Class{"rulings": carawayspread.NewClass("rulings", target, false)}
	services := map[string]carawayspread.Service{
		"nombres-llm": carawayspread.NewService("nombres-llm", carawayspread.KindModel, []string{"nombres-7b"}, false),
	}
	return carawayspread.NewConfig(7, classes, set, services)
}

func TestApplyAndInverse(t *testing.T) {
	old := sampleConfig(3)
	c := Parse("change", []byte(`{
		"set": {"classes": [{"name": "rulings", "firstToken": "200ms", "share": 0.9}], "workspaces": [{"name": "cadastre"}]},
		"delete": {"workspaces": ["workspace-00001"]}, // gone to another fleet
	}`))
	next, err := c.Apply(old)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, next.Version(), qt.Equals, carawayspread.Version(8))
	qt.Check(t, nameList(next.Workspaces()), qt.DeepEquals, []string{"cadastre", "workspace-00000", "workspace-00002"})
	qt.Check(t, len(old.Workspaces()), qt.Equals, 3)
	qt.Check(t, c.Touches(), qt.DeepEquals, []string{"class rulings", "workspace cadastre", "workspace workspace-00001"})

	undone, err := c.Inverse(old).Apply(next)
	qt.Assert(t, err, qt.IsNil)
	want, _ := json.Marshal(FromConfig(old))
	got, _ := json.Marshal(FromConfig(undone))
	qt.Check(t, string(got), qt.Equals, string(want))
}

func TestCheckFindings(t *testing.T) {
	tests := map[string]struct{ body, want string }{
		"empty": {`{}`, `c:1:1: the change neither sets nor deletes anything`},
		"malformed": {
			"{\n\"set\" 1}",
			`c:2:7: malformed JSON: invalid character '1' after object name`,
		},
		"many at once": {
			`{"set": {
  "classes": [{"name": "a b", "share": 2}, {"name": "x", "whole": "1 s", "share": 1}],
  "services": [{"name": "other", "kind": "model", "models": ["nombres-7b"]}, {"name": "p", "kind": "plan"}],
  "workspace": []},
  "delete": {"classes": ["none", "x"]}}`,
			`c:2:15: set.classes[0]: needs a target for firstToken or whole
c:2:24: set.classes[0].name: must be letters, digits, dots, dashes and underscores, is "a b"
c:2:40: set.classes[0].share: must be above 0 and at most 1, is 2
c:2:67: set.classes[1].whole: must be a duration such as "300ms", is "1 s"
c:3:62: set.services[0].models[0]: service nombres-llm offers the model nombres-7b already
c:3:100: set.services[1].kind: must be model or plain, is "plan"
c:4:3: set.workspace: unknown field
c:5:26: delete.classes[0]: there is no "none" to delete
c:5:34: delete.classes[1]: stands twice in the change: "x"`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, Parse("c", []byte(test.body)).Check(sampleConfig(1)), qt.ErrorMatches, regexp.QuoteMeta(test.want))
		})
	}
}

// Guards against a false finding "offers the model already": a service that is replaced may keep
// its models, and a change may move a model away from a service that it deletes.
func TestCheckMovesModels(t *testing.T) {
	moved := carawayspread.NewService("other", carawayspread.KindModel, []string{"nombres-7b"}, false)
	_, err := New(SetService(moved), DeleteService("nombres-llm")).Apply(sampleConfig(0))
	qt.Check(t, err, qt.IsNil)
}

// A newer daemon stores a change with a field that this one does not know. The change and those
// after it must still apply; if decoding failed, this daemon would stay at its version until it is
// upgraded.
func TestStoredChangeOfNewerDaemon(t *testing.T) {
	var stored Change
	body := `{"set": {"classes": [{"name": "rulings", "whole": "1s", "share": 1, "patience": "2s"}], "quotas": []}}`
	qt.Assert(t, json.Unmarshal([]byte(body), &stored), qt.IsNil)
	class, ok := stored.Replay(sampleConfig(0)).Class("rulings")
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, class.Target().Whole(), qt.Equals, time.Second)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"set": {"classes": [{"name": "a", "firstToken": "1s", "share": 1}]}, "delete": {"workspaces": ["b"]}}`))
	f.Add([]byte(`{"set": {"services": [{"name": "a", "kind": "model", "models": ["m"]}]}}`))
	cfg := sampleConfig(2)
	f.Fuzz(func(t *testing.T, body []byte) {
		c := Parse("fuzz", body)
		next, err := c.Apply(cfg)
		if err != nil {
			return
		}
		stored, err := json.Marshal(c)
		qt.Assert(t, err, qt.IsNil)
		decoded := &Change{}
		qt.Assert(t, json.Unmarshal(stored, decoded), qt.IsNil)
		repeated, err := decoded.Apply(cfg)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, FromConfig(repeated).Stored(), qt.DeepEquals, FromConfig(next).Stored())
	})
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10, 1000, 6800} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			cfg := sampleConfig(n)
			c := New(SetWorkspace(carawayspread.NewWorkspace("workspace-00005x")))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Apply(cfg); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 6800} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			cfg := sampleConfig(n)
			for b.Loop() {
				cfg.Workspace("workspace-00007")
			}
		})
	}
}

// liveHeapBytes returns the size of the live heap. The second collection frees what the finalizers
// and the sweep of the first one left.
func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkParse decodes a snapshot, as a starting daemon does.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 1000, 6800} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			body, _ := json.Marshal(FromConfig(sampleConfig(n)))
			b.ReportAllocs()
			for b.Loop() {
				if err := json.Unmarshal(body, &Change{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkResident reports the heap bytes of a configuration per workspace and per class, the
// bytes of a snapshot per workspace, and the bytes of a stored change.
func BenchmarkResident(b *testing.B) {
	const n = 6800
	for b.Loop() {
		before := liveHeapBytes()
		cfg := sampleConfig(n)
		b.ReportMetric(float64(liveHeapBytes()-before)/n, "B/workspace")
		before = liveHeapBytes()
		classes := map[string]carawayspread.Class{}
		for i := range n {
			name := fmt.Sprintf("class-%05d", i)
			classes[name] = carawayspread.NewClass(name, carawayspread.NewTarget(time.Second, 0, 0, 1), false)
		}
		b.ReportMetric(float64(liveHeapBytes()-before)/n, "B/class")
		runtime.KeepAlive(classes)
		snapshot, _ := json.Marshal(FromConfig(cfg))
		b.ReportMetric(float64(len(snapshot))/n, "snapshot-B/workspace")
		class, _ := cfg.Class("rulings")
		stored, _ := json.Marshal(New(SetClass(class)))
		b.ReportMetric(float64(len(stored)), "B/change")
	}
}
