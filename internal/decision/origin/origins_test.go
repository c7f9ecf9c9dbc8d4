package origin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

const lifetime = 10 * time.Second

func listOf(versions ...string) []carawayspread.Endpoint {
	var list []carawayspread.Endpoint
	for _, version := range versions {
		list = append(list, carawayspread.NewEndpoint("w", "s", "z", "10.0.0.1:1", false, carawayspread.WithVersion(version)))
	}
	return list
}

// first says that the system starts for the first time, after the first list.
func first(o *Origins) { o.Review(nil, Reading{First: true}) }

func build(version string) carawayspread.BuildID { return carawayspread.NewBuildID("s", version) }

// A stream goes on at another build, since a process takes the only build that it sees for the only one
// there was; or it is refused although there was no other.
func TestSoleBuild(t *testing.T) {
	for name, test := range map[string]struct {
		lists   [][]string // one a second
		then    time.Duration
		listAge time.Duration
		first   bool // start of the whole system
		want    string
	}{
		"first start":                       {lists: [][]string{{"v1"}}, first: true, want: "v1"},
		"later start":                       {lists: [][]string{{"v1"}}},
		"later start, a lifetime ago":       {lists: [][]string{{"v1"}}, then: lifetime, want: "v1"},
		"list too old":                      {lists: [][]string{{"v1"}}, then: lifetime, listAge: maxListAge + 1},
		"two builds":                        {lists: [][]string{{"v1", "v2"}}, then: lifetime},
		"another build has left":            {lists: [][]string{{"v1", "v2"}, {"v2"}}, then: lifetime - 1},
		"another build left a lifetime ago": {lists: [][]string{{"v1", "v2"}, {"v2"}}, then: lifetime, want: "v2"},
		"replaced at once":                  {lists: [][]string{{"v1"}, {"v2"}}, first: true, then: lifetime - 1},
		"an endpoint states none":           {lists: [][]string{{"v1", ""}}, then: lifetime},
		"none states one":                   {lists: [][]string{{""}}, then: lifetime},
		"gone for a while":                  {lists: [][]string{{"v1"}, {}, {"v1"}}, first: true, want: "v1"},
		"gone, then another":                {lists: [][]string{{"v1"}, {}, {"v2"}}, first: true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			o := New(clock, func() time.Duration { return test.listAge })
			for i, versions := range test.lists {
				if i > 0 {
					clock.Advance(time.Second)
				}
				o.SetEndpoints(listOf(versions...))
				if i == 0 && test.first {
					first(o)
				}
			}
			clock.Advance(test.then)
			sole, ok := o.Sole("s", lifetime)
			qt.Check(t, ok, qt.Equals, test.want != "")
			qt.Check(t, sole, qt.Equals, build(test.want))
			qt.Check(t, o.Began(carawayspread.StreamOrigin{Stream: 1, Build: 2}, RouteID{}, "s", lifetime), qt.Equals, !ok)
		})
	}
}

// Streams that began while there was one build are refused when their process is lost after another
// build has appeared, since no peer was told of them.
func TestStreamsAreToldWhenAnotherBuildAppears(t *testing.T) {
	for name, test := range map[string]struct {
		change func(o *Origins)
		age    time.Duration
		told   bool
	}{
		"another build":             {change: func(o *Origins) { o.SetEndpoints(listOf("v1", "v2")) }, told: true},
		"the list is old":           {age: maxListAge + 1, told: true},
		"nothing changed":           {change: func(o *Origins) { o.SetEndpoints(listOf("v1", "v1")) }},
		"another build, much later": {change: func(o *Origins) { o.SetEndpoints(listOf("v1", "v2")) }, told: true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			age := time.Duration(0)
			o := New(clock, func() time.Duration { return age })
			o.SetEndpoints(listOf("v1"))
			first(o)
			qt.Check(t, o.Began(carawayspread.StreamOrigin{Stream: 1, Build: build("v1")}, RouteID{}, "s", lifetime), qt.IsFalse)
			clock.Advance(lifetime - time.Second)
			qt.Check(t, o.Began(carawayspread.StreamOrigin{Stream: 2, Build: build("v1")}, RouteID{}, "s", lifetime), qt.IsFalse)
			if name == "another build, much later" {
				clock.Advance(2 * time.Second) // the first stream has ended by then
			}
			age = test.age
			if test.change != nil {
				test.change(o)
			}
			got := map[carawayspread.StreamID]bool{}
			for _, stream := range o.Untold() {
				got[stream.Stream] = true
				qt.Check(t, stream.Build, qt.Equals, build("v1"))
			}
			qt.Check(t, got[2], qt.Equals, test.told)
			qt.Check(t, got[1], qt.Equals, test.told && name != "another build, much later")
			qt.Check(t, o.Untold(), qt.HasLen, 0)
		})
	}
}

// A stream goes on at a build that nobody knows to be its own, or is refused although a process knows.
func TestResolve(t *testing.T) {
	for name, test := range map[string]struct {
		list  []string
		first bool
		peers carawayspread.OriginAnswer
		want  string
	}{
		"a peer knows the stream":                {list: []string{"v1", "v2"}, peers: carawayspread.OriginAnswer{Build: build("v2"), Several: true}, want: "v2"},
		"nobody knows":                           {list: []string{"v1", "v2"}},
		"nobody knows, one build for long":       {list: []string{"v1"}, first: true, want: "v1"},
		"nobody knows, one build just now":       {list: []string{"v1"}},
		"a peer has seen one build for long":     {list: []string{"v1"}, peers: carawayspread.OriginAnswer{Sole: build("v1")}, want: "v1"},
		"a peer has seen another for long":       {list: []string{"v2"}, peers: carawayspread.OriginAnswer{Sole: build("v1")}},
		"we and a peer have seen different ones": {list: []string{"v2"}, first: true, peers: carawayspread.OriginAnswer{Sole: build("v1")}},
		"a peer sees several":                    {list: []string{"v1"}, first: true, peers: carawayspread.OriginAnswer{Several: true}},
		"a peer sees several, one has seen one":  {list: []string{"v1"}, peers: carawayspread.OriginAnswer{Sole: build("v1"), Several: true}},
		"we see several":                         {list: []string{"v1", "v2"}, peers: carawayspread.OriginAnswer{Sole: build("v1")}},
	} {
		t.Run(name, func(t *testing.T) {
			o := New(clockwork.NewFakeClock(), func() time.Duration { return 0 })
			o.SetEndpoints(listOf(test.list...))
			if test.first {
				first(o)
			}
			qt.Check(t, o.Resolve("s", lifetime, test.peers), qt.Equals, build(test.want))
		})
	}
}

// What a process knows of streams must stay bounded, and a stream that a peer began must not replace
// one that began here.
func TestStreamsAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	o := New(clock, func() time.Duration { return 0 })
	o.Began(carawayspread.StreamOrigin{Stream: 1, Build: 7}, RouteID{}, "s", lifetime)
	o.Learn([]carawayspread.StreamOrigin{{Stream: 1, Build: 8}, {Stream: 2, Build: 9}})
	for id, want := range map[carawayspread.StreamID]carawayspread.BuildID{1: 7, 2: 9} {
		got, ok := o.Build(id)
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, got, qt.Equals, want)
	}
	clock.Advance(retention + 1)
	_, ok := o.Build(1)
	qt.Check(t, ok, qt.IsFalse)
	for n := range 2 * maxStreams {
		o.Learn([]carawayspread.StreamOrigin{{Stream: carawayspread.StreamID(n), Build: 1}})
	}
	qt.Check(t, o.streams.Len(), qt.Equals, maxStreams)
}
