package origin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// records is a table of records, with its clock.
type records struct {
	clock      *clockwork.FakeClock
	kept       map[string]Record
	generation uint64
	startedAt  time.Time
}

func newRecords(clock *clockwork.FakeClock) *records {
	return &records{clock: clock, kept: map[string]Record{}, startedAt: clock.Now().Add(-time.Hour)}
}

func (r *records) review(o *Origins, first bool) {
	now := r.clock.Now().Sub(r.startedAt)
	reading := Reading{Earliest: now - 10*time.Millisecond, Latest: now + 10*time.Millisecond, Generation: r.generation, First: first && len(r.kept) == 0}
	for service, record := range o.Review(r.kept, reading) {
		r.kept[service] = record
	}
}

// All processes were lost, and the one that starts takes the build that is left for the only one there was; or it
// refuses streams although there was no other.
func TestRecordsOutliveAllProcesses(t *testing.T) {
	const long = 3 * lifetime
	for name, test := range map[string]struct {
		lists    [][]string // that the lost process saw, ten seconds apart
		then     []string   // list of the process that starts
		first    bool       // it has the settings of the first start
		listAge  time.Duration
		longest  time.Duration // lifetime of a stream of the lost process
		restored bool          // the table, from a backup, while no process ran
		unread   bool          // the table does not answer it
		after    time.Duration
		want     string
	}{
		"one build all along":                     {lists: [][]string{{"v1"}}, then: []string{"v1"}, after: 3 * time.Second, want: "v1"},
		"one build all along, first run":          {lists: [][]string{{"v1"}}, then: []string{"v1"}, first: true, after: 3 * time.Second, want: "v1"},
		"another left while nobody ran":           {lists: [][]string{{"v1", "v2"}}, then: []string{"v2"}},
		"another left while nobody ran, first":    {lists: [][]string{{"v1", "v2"}}, then: []string{"v2"}, first: true, after: lifetime - time.Second},
		"another left just before":                {lists: [][]string{{"v1", "v2"}, {"v2"}}, then: []string{"v2"}, first: true},
		"another left long before":                {lists: [][]string{{"v1", "v2"}, {"v2"}, {"v2"}}, then: []string{"v2"}, after: 3 * time.Second, want: "v2"},
		"replaced while nobody ran":               {lists: [][]string{{"v1"}}, then: []string{"v2"}, first: true},
		"two builds are left":                     {lists: [][]string{{"v1", "v2"}}, then: []string{"v1", "v2"}, after: long},
		"its list is old":                         {lists: [][]string{{"v1"}}, then: []string{"v1"}, listAge: maxListAge + 1, after: long},
		"streams of a longer timeout":             {lists: [][]string{{"v1", "v2"}, {"v2"}, {"v2"}}, then: []string{"v2"}, longest: long, after: 3 * time.Second},
		"streams of a longer timeout, much later": {lists: [][]string{{"v1", "v2"}, {"v2"}, {"v2"}}, then: []string{"v2"}, longest: long, after: long, want: "v2"},
		"the table was restored":                  {lists: [][]string{{"v1"}}, then: []string{"v1"}, restored: true, after: 3 * time.Second},
		"the table does not answer":               {lists: [][]string{{"v1"}}, then: []string{"v1"}, unread: true, after: long},
		"the table does not answer for minutes":   {lists: [][]string{{"v1"}}, then: []string{"v1"}, unread: true, after: retention, want: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			table := newRecords(clock)
			lost := New(clock, func() time.Duration { return 0 }, WithRecords())
			for _, versions := range test.lists {
				lost.SetEndpoints(listOf(versions...))
				lost.Began(carawayspread.StreamOrigin{Stream: 1, Build: build(versions[0])}, RouteID{}, "s", max(lifetime, test.longest))
				table.review(lost, true)
				clock.Advance(10 * time.Second)
			}
			if test.restored {
				table.generation = 2
			}
			o := New(clock, func() time.Duration { return test.listAge }, WithRecords())
			o.SetEndpoints(listOf(test.then...))
			if !test.unread {
				table.review(o, test.first)
			}
			clock.Advance(test.after)
			sole, _ := o.Sole("s", lifetime)
			qt.Check(t, sole, qt.Equals, build(test.want))
		})
	}
}

// A process with an older list overwrites what another has just written, so that a build is forgotten.
func TestRecordOfANewerListStays(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table, age := newRecords(clock), time.Second
	newer, older := New(clock, func() time.Duration { return 0 }), New(clock, func() time.Duration { return age })
	for _, o := range []*Origins{newer, older} {
		o.SetEndpoints(listOf("v1"))
	}
	clock.Advance(time.Minute)
	newer.SetEndpoints(listOf("v1", "v2"))
	table.review(newer, false)
	table.review(older, false)
	qt.Check(t, table.kept["s"].Builds, qt.HasLen, 2)
}

// Load pattern: two releases follow one another, processes see each change up to half a second apart, and all are
// killed at once now and then and come back with the settings of the first start. Streams that had broken off are
// taken up by callers that name the attempt or do not, and by some whose route has a shorter timeout by then. The
// table fails every third time. No stream may go on at another build; half of those that nobody remembers go on.
func TestStreamsAfterAllProcessesWereKilled(t *testing.T) {
	tries, went := 0, 0
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := &replay{rng: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(), fleet: make([]*Origins, 4)}
			table := newRecords(r.clock)
			lists := [][]string{{"v1"}, {"v1"}, {"v1", "v2"}, {"v2"}, {"v2"}, {"v2"}, {"v2", "v3"}, {"v3"}, {"v3"}}
			seen := make([]int, len(r.fleet))
			began := map[carawayspread.StreamID]carawayspread.BuildID{}
			next := carawayspread.StreamID(1)
			const step, phase = 100 * time.Millisecond, 15 * time.Second
			start := func(n, now int) {
				r.fleet[n] = New(r.clock, func() time.Duration { return 300 * time.Millisecond }, WithRecords())
				seen[n] = now
				r.fleet[n].SetEndpoints(listOf(lists[now]...))
			}
			for n := range r.fleet {
				start(n, 0)
			}
			killed := time.Duration(0)
			for at := time.Duration(0); at < phase*time.Duration(len(lists)); at += step {
				r.clock.Advance(step)
				now := int(at / phase)
				if at-killed > 5*time.Second && r.rng.IntN(80) == 0 {
					killed = at
					for n := range r.fleet {
						start(n, now)
					}
				}
				for n, o := range r.fleet {
					if seen[n] < now && r.rng.IntN(3) == 0 || at%phase == 5*step {
						seen[n] = now
						o.SetEndpoints(listOf(lists[now]...))
					}
					if (at/step)%5 == time.Duration(n) && r.rng.IntN(3) > 0 {
						table.review(o, true)
					}
				}
				versions := lists[seen[0]]
				stream := carawayspread.StreamOrigin{Stream: next, Build: build(versions[r.rng.IntN(len(versions))])}
				next++
				began[stream.Stream] = stream.Build
				if r.fleet[0].Began(stream, RouteID{}, "s", lifetime) {
					for _, o := range r.holders(stream.Stream, 0) {
						o.Learn([]carawayspread.StreamOrigin{stream})
					}
				}
				id := next - 1 - carawayspread.StreamID(r.rng.IntN(int(min(80, next-1)))) // of the last eight seconds
				got, named := r.resume(id, r.rng.IntN(len(r.fleet))), true
				if r.rng.IntN(2) == 0 {
					got, named = r.resume(1<<62+id, r.rng.IntN(len(r.fleet))), false
				}
				if got != 0 {
					qt.Check(t, got, qt.Equals, began[id], qt.Commentf("after %v, named %v", at, named))
				}
				if !named && len(versions) == 1 {
					tries++
					if got != 0 {
						went++
					}
				}
			}
		})
	}
	qt.Check(t, 2*went > tries, qt.IsTrue, qt.Commentf("%d of %d go on", went, tries))
}
