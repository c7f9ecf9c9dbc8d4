package eventorder

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A stream reaches its caller with a gap, or with events twice, since nobody compares where a run goes on; or
// it is cut although its identifiers rise by more than one, or are no numbers.
func TestContinuationFollowsTheLastEvent(t *testing.T) {
	for name, test := range map[string]struct {
		before []string // uninterrupted answers of the service
		after  string   // the caller takes the stream up
		runs   []string // of the stream, one after the other
		want   Verdict  // on the last event of the last run; all before follow
	}{
		"goes on":                              {runs: []string{"1 2 3", "4"}},
		"the last event again":                 {runs: []string{"1 2 3", "3"}, want: Repeats},
		"from the start":                       {runs: []string{"1 2 3", "1"}, want: Repeats},
		"one is missing":                       {runs: []string{"1 2 3", "5"}, want: Skips},
		"one is missing later":                 {runs: []string{"1 2 3", "4 5 7"}, want: Skips},
		"goes back later":                      {runs: []string{"1 2 3", "4 5 4"}, want: Repeats},
		"one is missing at the second seam":    {runs: []string{"1 2", "3", "5"}, want: Skips},
		"first event at the seam, even before": {before: []string{"1 2"}, runs: []string{"1", "3"}, want: Skips},
		"first event at the seam, unknown":     {runs: []string{"1", "3"}},
		"taken up":                             {before: []string{"1 2"}, after: "3", runs: []string{"4 5"}},
		"taken up, one is missing":             {before: []string{"1 2"}, after: "3", runs: []string{"5"}, want: Skips},
		"taken up, again":                      {after: "3", runs: []string{"3"}, want: Repeats},
		"uneven":                               {runs: []string{"10 20 40", "70"}},
		"uneven, goes back":                    {runs: []string{"10 20 40", "30"}, want: Repeats},
		"uneven before, even by chance":        {before: []string{"1 2 9", "1 2"}, runs: []string{"1 2", "4"}},
		"even again":                           {before: append([]string{"1 2 9"}, strings.Split(strings.Repeat("1 2,", minAnswers-1)+"1 2", ",")...), runs: []string{"1 2", "4"}, want: Skips},
		"no numbers":                           {runs: []string{"a b", "d"}},
		"no numbers, again":                    {runs: []string{"a b", "b"}, want: Repeats},
		"no number after numbers":              {before: []string{"1 2"}, runs: []string{"1 2", "end"}},
		"none":                                 {runs: []string{"1 2", "-"}},
		"as large as numbers are":              {runs: []string{"9223372036854775806 9223372036854775807", "1"}, want: Repeats},
		"larger than numbers are":              {runs: []string{"1 2", "18446744073709551616"}},
		"negative":                             {runs: []string{"1 2", "-7"}},
		"one run goes back":                    {runs: []string{"1 2 1 2 9"}},
	} {
		t.Run(name, func(t *testing.T) {
			steps := NewSteps()
			for _, answer := range test.before {
				o := New(steps, "s", "")
				for _, id := range strings.Fields(answer) {
					o.Take(id)
				}
				o.End()
			}
			o, verdict := New(steps, "s", test.after), Follows
			for n, run := range test.runs {
				if n > 0 {
					o.Join()
				}
				for _, id := range strings.Fields(run) {
					qt.Assert(t, verdict, qt.Equals, Follows)
					verdict = o.Judge(strings.TrimSuffix(id, "-"))
					o.Take(id)
				}
			}
			qt.Assert(t, verdict, qt.Equals, test.want)
		})
	}
}
