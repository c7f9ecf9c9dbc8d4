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

// engines returns one endpoint of each version, whose identifier it is; "?" states none, "-" before it says that
// the endpoint leaves, "+" that it only prefills.
func engines(versions ...string) []carawayspread.Endpoint {
	var list []carawayspread.Endpoint
	for _, version := range versions {
		role, leaving := carawayspread.RoleDecode, false
		switch version[0] {
		case '-':
			version, leaving = version[1:], true
		case '+':
			version, role = version[1:], carawayspread.RolePrefill
		}
		id := carawayspread.EndpointID(version)
		if version == "?" {
			version = ""
		}
		list = append(list, carawayspread.NewEndpoint(id, "s", "z", "10.0.0.1:1", leaving,
			carawayspread.WithVersion(version), carawayspread.WithRole(role)))
	}
	return list
}

// A stream begins at a build that a process with an older list does not know, which takes it up at another; or
// a service is refused its streams while only engines of a new build serve.
func TestBuildThatIsTooNew(t *testing.T) {
	for name, test := range map[string]struct {
		lists [][]string // one a second
		then  time.Duration
		want  []carawayspread.EndpointID
	}{
		"first list":                     {lists: [][]string{{"v1", "v2"}}},
		"another build":                  {lists: [][]string{{"v1"}, {}, {"v1", "v2"}}, want: []carawayspread.EndpointID{"v2"}},
		"another build, two seconds ago": {lists: [][]string{{"v1"}, {"v1", "v2"}}, then: maxListAge},
		"another build, soon after a start": {
			lists: [][]string{{"v1"}, {"v1", "v2"}}, then: maxListAge - 1, want: []carawayspread.EndpointID{"v2"},
		},
		"no version is stated": {lists: [][]string{{"v1"}, {}, {"v1", "?"}}, want: []carawayspread.EndpointID{"?"}},
		"all replaced":         {lists: [][]string{{"v1"}, {}, {"v2"}}},
		"the others leave":     {lists: [][]string{{"v1"}, {}, {"-v1", "v2"}}},
		"the others prefill":   {lists: [][]string{{"v1"}, {}, {"+v1", "v2"}}},
		"it prefills":          {lists: [][]string{{"v1"}, {}, {"v1", "+v2"}}},
		"two others, one after the other": {
			lists: [][]string{{"v1"}, {}, {"v2"}, {"v2", "v3"}}, want: []carawayspread.EndpointID{"v3"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			o := New(clock, func() time.Duration { return 0 })
			var last []carawayspread.Endpoint
			for i, versions := range test.lists {
				if i > 0 {
					clock.Advance(time.Second)
				}
				last = engines(versions...)
				o.SetEndpoints(last)
			}
			clock.Advance(test.then)
			qt.Check(t, o.TooNew("s", last), qt.DeepEquals, test.want)
		})
	}
}

// A build came and went while a process stood still or was cut off; the process takes the one that it has
// listed before and after for the only one.
func TestBuildThatCameAndWentUnseen(t *testing.T) {
	for name, test := range map[string]struct {
		unseen time.Duration // for which no list is read
		looks  bool          // the process runs meanwhile
		then   time.Duration
		want   string
	}{
		"the list is read in time":     {unseen: maxListAge, looks: true, want: "v1"},
		"cut off":                      {unseen: maxListAge + 1, looks: true},
		"stood still":                  {unseen: maxListAge + 1},
		"cut off a lifetime ago":       {unseen: maxListAge + 1, looks: true, then: lifetime, want: "v1"},
		"stood still, a moment before": {unseen: maxListAge + 1, then: lifetime - 1},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			read := clock.Now()
			o := New(clock, func() time.Duration { return clock.Now().Sub(read) })
			o.SetEndpoints(listOf("v1"))
			first(o)
			o.Watch()
			if test.looks {
				clock.Advance(test.unseen)
				o.Watch()
			} else {
				clock.Advance(test.unseen)
			}
			read = clock.Now()
			for left := test.then; left > 0; left -= time.Second {
				o.Watch()
				clock.Advance(min(left, time.Second))
				read = clock.Now()
			}
			sole, _ := o.Sole("s", lifetime)
			qt.Check(t, sole, qt.Equals, build(test.want))
		})
	}
}

// release is a fleet whose processes read the list of endpoints each for itself.
type release struct {
	rng   *rand.Rand
	clock *clockwork.FakeClock
	fleet []*Origins
	held  [][]carawayspread.Endpoint // the list of each process
	read  []time.Time
	away  []time.Time // until when each is out of step: cut off from the others and from the store, or still
}

func (r *release) start(n int) {
	r.read[n] = r.clock.Now()
	r.fleet[n] = New(r.clock, func() time.Duration { return r.clock.Now().Sub(r.read[n]) })
}

func (r *release) outOfStep(n int) bool { return r.away[n].After(r.clock.Now()) }

// step has each process read the list, unless it is out of step. Now and then one becomes so.
func (r *release) step(list []carawayspread.Endpoint) {
	for n, o := range r.fleet {
		switch {
		case r.outOfStep(n):
			if r.rng.IntN(2) == 0 {
				continue // it stands still
			}
		case r.rng.IntN(400) == 0:
			r.away[n] = r.clock.Now().Add(time.Duration(r.rng.IntN(4000)) * time.Millisecond)
		case r.rng.IntN(4) == 0 || r.clock.Now().Sub(r.read[n]) > 500*time.Millisecond:
			r.read[n], r.held[n] = r.clock.Now(), list
			o.SetEndpoints(list)
		}
		o.Watch()
		r.tell(n, o.Untold())
	}
}

func (r *release) tell(n int, streams []carawayspread.StreamOrigin) {
	for range 3 {
		if to := r.rng.IntN(len(r.fleet)); !r.outOfStep(n) && !r.outOfStep(to) && to != n {
			r.fleet[to].Learn(streams)
		}
	}
}

// begin has a stream begin at process n, and returns its build.
func (r *release) begin(id carawayspread.StreamID, n int) carawayspread.BuildID {
	refused := map[carawayspread.EndpointID]bool{}
	for _, tooNew := range r.fleet[n].TooNew("s", r.held[n]) {
		refused[tooNew] = true
	}
	for _, i := range r.rng.Perm(len(r.held[n])) {
		if at := r.held[n][i]; !refused[at.ID()] {
			stream := carawayspread.StreamOrigin{Stream: id, Build: at.Build()}
			if r.fleet[n].Began(stream, RouteID{}, "s", lifetime) {
				r.tell(n, []carawayspread.StreamOrigin{stream})
			}
			return at.Build()
		}
	}
	return 0
}

// resume returns the build at which process n lets the stream go on; zero if it refuses it.
func (r *release) resume(id carawayspread.StreamID, n int) carawayspread.BuildID {
	if b, ok := r.fleet[n].Build(id); ok {
		return b
	}
	var known carawayspread.OriginAnswer
	for other, o := range r.fleet {
		if other != n && !r.outOfStep(n) && !r.outOfStep(other) && r.rng.IntN(20) > 0 {
			known = known.Join(o.Answer(id, "s", lifetime))
		}
	}
	return r.fleet[n].Resolve("s", lifetime, known)
}

// Load pattern: three builds follow one another, each beside the one before for a while, and others come for
// some seconds only. Processes read the list every half second; now and then one of them is out of step for
// up to 4 s. Streams break at once and are taken up at any process. None may go on at another build,
// and of those that are taken up at a process in step at least nine in ten must go on.
func TestProcessOutOfStepDuringARelease(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			const size = 5
			r := &release{
				rng: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(), fleet: make([]*Origins, size),
				held: make([][]carawayspread.Endpoint, size), read: make([]time.Time, size), away: make([]time.Time, size),
			}
			lists := [][]carawayspread.Endpoint{engines("v1"), engines("v1", "v2"), engines("v1"), engines("v1"), engines("v1", "v2"), engines("v2"), engines("v2"), engines("v2", "v3"), engines("v3")}
			for n := range r.fleet {
				r.start(n)
				r.held[n] = lists[0]
				r.fleet[n].SetEndpoints(lists[0])
				first(r.fleet[n])
			}
			next, tries, went := carawayspread.StreamID(1), 0, 0
			const step = 100 * time.Millisecond
			for _, list := range lists {
				for phase := 3*time.Second + time.Duration(r.rng.IntN(9000))*time.Millisecond; phase > 0; phase -= step {
					r.clock.Advance(step)
					r.step(list)
					for range 3 {
						began, at := r.begin(next, r.rng.IntN(size)), r.rng.IntN(size)
						got := r.resume(next, at)
						if got != 0 && got != began {
							t.Errorf("stream %d goes on at another build", next)
						}
						if !r.outOfStep(at) {
							tries++
							if got != 0 {
								went++
							}
						}
						next++
					}
				}
			}
			qt.Check(t, 10*went >= 9*tries, qt.IsTrue, qt.Commentf("%d of %d go on", went, tries))
		})
	}
}
