package origin

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// replay is a fleet of processes without a network.
type replay struct {
	rng   *rand.Rand
	clock *clockwork.FakeClock
	fleet []*Origins
}

func (r *replay) start(n int) {
	r.fleet[n] = New(r.clock, func() time.Duration { return 300 * time.Millisecond })
}

// holders returns the holders of the stream that a datagram of n reaches; one in twenty is lost.
func (r *replay) holders(id carawayspread.StreamID, n int) []*Origins {
	var order []int
	for other := range r.fleet {
		if other != n {
			order = append(order, other)
		}
	}
	weight := func(p int) uint64 { return (uint64(id) ^ uint64(p+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9 }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weight(a), weight(b)) })
	var reached []*Origins
	for _, other := range order[:min(3, len(order))] {
		if r.rng.IntN(20) > 0 {
			reached = append(reached, r.fleet[other])
		}
	}
	return reached
}

// resume returns the build at which process n would let the stream go on; zero if it refuses it.
func (r *replay) resume(id carawayspread.StreamID, n int) carawayspread.BuildID {
	if b, ok := r.fleet[n].Build(id); ok {
		return b
	}
	var known carawayspread.OriginAnswer
	for _, ask := range [][]*Origins{r.holders(id, n), r.fleet} {
		for _, o := range ask {
			if o != r.fleet[n] && r.rng.IntN(20) > 0 {
				known = known.Join(o.Answer(id, "s", lifetime))
			}
		}
		if known.Build != 0 {
			break
		}
	}
	return r.fleet[n].Resolve("s", lifetime, known)
}

// Load pattern: three builds follow one another, the first two side by side for a while. Processes learn
// of each change up to half a second apart, are killed one by one and all together, lose a datagram in
// twenty; streams break and are taken up at any process. No stream may go on at another build, and at
// least nine in ten must go on.
func TestStreamsGoOnThroughReleases(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := &replay{rng: rand.New(rand.NewPCG(seed, 0)), clock: clockwork.NewFakeClock()}
			r.fleet = make([]*Origins, 4+24*int(seed%2))
			for n := range r.fleet {
				r.start(n)
				r.fleet[n].SetEndpoints(listOf("v1"))
				first(r.fleet[n])
			}
			lists := [][]string{{"v1"}, {"v1", "v2"}, {"v1", "v2"}, {"v2"}, {"v2"}, {"v2", "v3"}, {"v3"}}
			seen := make([]int, len(r.fleet)) // the list that each process has
			began := map[carawayspread.StreamID]carawayspread.BuildID{}
			next, tries, went := carawayspread.StreamID(1), 0, 0
			const step, phase = 100 * time.Millisecond, 8 * time.Second
			for at := time.Duration(0); at < phase*time.Duration(len(lists)); at += step {
				r.clock.Advance(step)
				now := int(at / phase)
				for n := range r.fleet {
					if seen[n] < now && r.rng.IntN(3) == 0 || at%phase == 5*step {
						seen[n] = now
						r.fleet[n].SetEndpoints(listOf(lists[now]...))
					}
					for _, stream := range r.fleet[n].Untold() {
						for _, o := range r.holders(stream.Stream, n) {
							o.Learn([]carawayspread.StreamOrigin{stream})
						}
					}
				}
				if r.rng.IntN(40) == 0 {
					n := r.rng.IntN(len(r.fleet))
					r.start(n)
					r.fleet[n].SetEndpoints(listOf(lists[seen[n]]...))
				}
				for range 3 {
					n := r.rng.IntN(len(r.fleet))
					versions := lists[seen[n]]
					stream := carawayspread.StreamOrigin{Stream: next, Build: build(versions[r.rng.IntN(len(versions))])}
					next++
					began[stream.Stream] = stream.Build
					if r.fleet[n].Began(stream, RouteID{}, "s", lifetime) {
						for _, o := range r.holders(stream.Stream, n) {
							o.Learn([]carawayspread.StreamOrigin{stream})
						}
					}
				}
				id := next - 1 - carawayspread.StreamID(r.rng.IntN(int(min(60, next-1)))) // of the last two seconds
				tries++
				switch r.resume(id, r.rng.IntN(len(r.fleet))) {
				case 0:
				case began[id]:
					went++
				default:
					t.Errorf("stream %d goes on at another build, after %v", id, at)
				}
			}
			qt.Check(t, 10*went >= 9*tries, qt.IsTrue, qt.Commentf("%d of %d go on", went, tries))
		})
	}
}
