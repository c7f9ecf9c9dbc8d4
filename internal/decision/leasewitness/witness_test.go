package leasewitness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

var (
	terms = Terms{Promise: 3 * time.Second, Limit: 15 * time.Second}
	start = time.Unix(1000, 0)
)

func version(rev uint64) carawayspread.LeaseVersion {
	return carawayspread.LeaseVersion{Generation: 1, Rev: rev}
}

// Two processes report at once. A candidate got the agreement of a witness while a promise to the holder
// lasted, or the holder got a promise after that agreement: from a witness that had agreed, from one that
// was started again since and has forgotten it, or under an older version of its record.
func TestPromisesAndAgreementsExclude(t *testing.T) {
	w := New(start, terms)
	qt.Check(t, w.Promise(start.Add(WithDrift(terms.Limit)-1), version(5)), qt.IsFalse, qt.Commentf("just started"))
	qt.Check(t, w.Close(start.Add(WithDrift(terms.Promise)-1), version(5)), qt.IsFalse, qt.Commentf("just started"))
	now := start.Add(WithDrift(terms.Limit))
	qt.Check(t, w.Promise(now, version(5)), qt.IsTrue)
	now = now.Add(WithDrift(terms.Promise) - 1)
	qt.Check(t, w.Close(now, version(6)), qt.IsFalse, qt.Commentf("the promise lasts"))
	now = now.Add(1)
	qt.Check(t, w.Close(now, version(6)), qt.IsTrue)
	qt.Check(t, w.Promise(now, version(5)), qt.IsFalse)
	qt.Check(t, w.Promise(now, version(6)), qt.IsFalse)
	qt.Check(t, w.Promise(now, version(7)), qt.IsTrue)
	restored := carawayspread.LeaseVersion{Generation: 2, Rev: 3}
	now = now.Add(WithDrift(terms.Promise))
	qt.Check(t, w.Close(now, restored), qt.IsTrue)
	qt.Check(t, w.Promise(now, version(8)), qt.IsFalse, qt.Commentf("before the restore"))
}

// Two reports of a window with different counts. A holder's record was kept after a candidate had the
// agreement of the witness, or an older record replaced a newer one.
func TestRecordsAreKeptUntilClosed(t *testing.T) {
	w := New(start, terms)
	record := func(rev uint64, window int64, requests uint64) carawayspread.DecidedUsage {
		return carawayspread.DecidedUsage{Version: version(rev), Window: window, Counts: []carawayspread.UsageCount{{Workspace: 1, Requests: requests}}}
	}
	qt.Check(t, w.Keep(record(5, 100, 1)), qt.IsTrue)
	qt.Check(t, w.Keep(record(6, 100, 2)), qt.IsTrue)
	qt.Check(t, w.Keep(record(5, 100, 3)), qt.IsFalse)
	qt.Check(t, w.Close(start.Add(time.Minute), version(6)), qt.IsTrue)
	qt.Check(t, w.Keep(record(6, 101, 4)), qt.IsFalse)
	qt.Check(t, w.Records(), qt.DeepEquals, []carawayspread.DecidedUsage{record(6, 100, 2)})
	w.Forget(101)
	for window := range int64(maxRecords) {
		qt.Check(t, w.Keep(record(7, 101+window, 1)), qt.IsTrue)
	}
	qt.Check(t, w.Keep(record(7, 200, 1)), qt.IsFalse, qt.Commentf("unbounded"))
}
