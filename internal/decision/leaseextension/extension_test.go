package leaseextension

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Two processes report at once: the holder goes on by promises of fewer than a majority, by promises that
// came only after others had run out, when a candidate may have found a majority free, after its limit,
// or by those of processes that its record does not name. Replays an outage with a question each second.
func TestExtensionHasNoGap(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for name, test := range map[string]struct {
		promises map[int][]string // by second; each lasts for three
		want     int              // the second at which it ends
	}{
		"nobody promises":   {map[int][]string{}, 4},
		"fewer than needed": {map[int][]string{2: {"a", "b"}, 3: {"a", "b"}}, 4},
		"a majority":        {map[int][]string{3: {"a", "b", "c"}}, 6},
		"others":            {map[int][]string{3: {"a", "b", "x"}}, 4},
		"one after another": {map[int][]string{2: {"a"}, 3: {"b", "c"}, 4: {"d", "e"}, 5: {"a"}}, 7},
		"after the base":    {map[int][]string{4: {"a", "b", "c"}, 5: {"a", "b", "c"}}, 4},
		"after a gap":       {map[int][]string{3: {"a", "b", "c"}, 6: {"a", "b", "c"}}, 6},
		"at most the limit": {map[int][]string{
			3: {"a", "b", "c"}, 5: {"c", "d", "e"}, 7: {"a", "b", "c"}, 9: {"a", "b", "c"}, 11: {"a", "b", "c"}, 13: {"a", "b", "c"},
		}, 15},
	} {
		t.Run(name, func(t *testing.T) {
			e := New([]string{"a", "b", "c", "d", "e"}, at(4), at(15))
			for second := range 20 {
				for _, witness := range test.promises[second] {
					e.Promised(witness, at(second+3), at(second))
				}
			}
			qt.Check(t, e.Until().Equal(at(test.want)), qt.IsTrue, qt.Commentf("ends after %v", e.Until().Sub(start)))
		})
	}
}
