package usage

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"carawayspread"
)

const window = 7

// Guards against requests that are counted twice or not at all when the statements of
// processes that join and leave arrive reordered, late, repeatedly, or not until the last
// ones.
func TestSumsAreExactWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		collector := New(0)
		want := map[string]uint64{}
		var sent []carawayspread.UsageStatement
		for process := range uint64(rapid.IntRange(1, 4).Draw(t, "processes")) {
			l := New(process + 1)
			for range rapid.IntRange(0, 20).Draw(t, "steps") {
				name := fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "workspace"))
				l.Count(window, name)
				want[name]++
				if rapid.Bool().Draw(t, "states") {
					sent = append(sent, l.Changes(window))
				}
			}
			l.Close(window)
			sent = append(sent, l.Own(window))
		}
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(sent)-1)).Draw(t, "order") {
			collector.Merge(sent[i])
		}
		for _, s := range rapid.Permutation(sent).Draw(t, "rest") {
			collector.Merge(s)
		}
		collector.AddNames(map[string]bool{"w0": true, "w1": true, "w2": true, "w3": true})
		counts, unnamed := collector.Sum(window)
		if unnamed > 0 || fmt.Sprint(counts) != fmt.Sprint(want) {
			t.Fatalf("%v, %d unnamed, want %v", counts, unnamed, want)
		}
	})
}

// Guards against a report that is decided before all counts have arrived.
func TestCompleteNeedsEveryStatement(t *testing.T) {
	first, second := New(1), New(2)
	first.Count(window, "a")
	first.Count(window, "b")
	second.Close(window)
	qt.Check(t, second.Complete(window, []uint64{1}), qt.IsFalse, qt.Commentf("no statement"))
	qt.Check(t, second.Merge(first.Own(window)), qt.IsFalse)
	qt.Check(t, second.Complete(window, []uint64{1}), qt.IsFalse, qt.Commentf("not closed"))
	first.Close(window)
	closed := first.Own(window)
	lost := closed
	lost.Counts = closed.Counts[:1]
	third := New(3)
	third.Close(window)
	qt.Check(t, third.Merge(lost), qt.IsFalse)
	qt.Check(t, third.Complete(window, []uint64{1}), qt.IsFalse, qt.Commentf("a part is missing"))
	lost.Counts = closed.Counts[1:]
	qt.Check(t, third.Merge(lost), qt.IsTrue)
	qt.Check(t, third.Complete(window, []uint64{1}), qt.IsTrue)
	first.Count(window, "a")
	third.Merge(first.Own(window))
	counts, _ := third.Sum(window)
	qt.Check(t, counts, qt.DeepEquals, map[string]uint64{}, qt.Commentf("no names"))
	third.AddNames(map[string]bool{"a": true})
	counts, unnamed := third.Sum(window)
	qt.Check(t, counts, qt.DeepEquals, map[string]uint64{"a": 2})
	qt.Check(t, unnamed, qt.Equals, uint64(1))
}

// Guards against memory that grows with the number of windows, and against dropped windows
// that are created again.
func TestOldWindowsAreDropped(t *testing.T) {
	l := New(1)
	l.Count(window, "a")
	l.Forget(window+1, nil)
	qt.Check(t, l.Count(window, "a"), qt.IsFalse)
	qt.Check(t, l.Merge(carawayspread.UsageStatement{Process: 2, Window: window}), qt.IsTrue)
	qt.Check(t, l.Known(window), qt.IsFalse)
	qt.Check(t, len(l.names)+len(l.windows)+len(l.changed), qt.Equals, 0)
}
