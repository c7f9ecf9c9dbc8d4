package waiting

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stream is one kind of request of one workspace.
type stream struct {
	workspace string
	perSecond float64
	patience  time.Duration // until the latest start
	urgency   int
}

// outcome counts what became of a workspace's requests.
type outcome struct{ asked, served, urgent, urgentServed int }

// replay plays streams of requests for 30 s against that many slots, which each request takes for 400 ms. A
// request waits in the queue, or is refused at once if the queue has no limit of its own.
func replay(limit, slots int, streams ...stream) map[string]*outcome {
	random, now := rand.New(rand.NewPCG(1, 2)), time.Unix(0, 0)
	q, ends := New(limit, 1<<20), []time.Time{}
	outcomes := map[string]*outcome{}
	waiting := map[*Ticket]func(){}
	for tick := 0; tick < 30_000; tick++ {
		now = now.Add(time.Millisecond)
		for len(ends) > 0 && !ends[0].After(now) {
			ends = ends[1:]
		}
		start := func(s stream, o *outcome) {
			ends = append(ends, now.Add(400*time.Millisecond))
			q.Given(now, s.workspace, 1)
			o.served++
			if s.urgency == 0 {
				o.urgentServed++
			}
		}
		for t, begin := range waiting {
			if q.Removed(t) {
				delete(waiting, t)
			} else if !t.Latest.After(now) {
				q.Leave(now, t, false)
				delete(waiting, t)
			} else if len(ends) < slots && q.Turn(now, t) {
				q.Leave(now, t, true)
				delete(waiting, t)
				begin()
			}
		}
		for _, s := range streams {
			if random.Float64() > s.perSecond/1000 {
				continue
			}
			o := outcomes[s.workspace]
			if o == nil {
				o = &outcome{}
				outcomes[s.workspace] = o
			}
			o.asked++
			if s.urgency == 0 {
				o.urgent++
			}
			if len(ends) < slots && q.Len() == 0 {
				start(s, o)
			} else if t := q.Enter(now, Request{Workspace: s.workspace, Urgency: s.urgency, Latest: now.Add(s.patience)}); t != nil {
				waiting[t] = func() { start(s, o) }
			}
		}
	}
	return outcomes
}

// Callers of the urgent class get late answers or none while patient work fills the engines: requests for twice
// the room, 0.35 of them urgent. The urgent ones must be served in time for 95 of 100 of what fits, and the patient
// ones must get the rest of the room.
func TestUrgentIsServedAtTwiceTheRoom(t *testing.T) {
	load := []stream{{"w", 35, 200 * time.Millisecond, 0}, {"w", 65, 1500 * time.Millisecond, 2}}
	o := replay(64, 20, load...)["w"]
	refused := replay(0, 20, load...)["w"]
	t.Logf("urgent %d of %d, all %d of %d; refused at once: urgent %d", o.urgentServed, o.urgent, o.served, o.asked, refused.urgentServed)
	qt.Check(t, float64(o.urgentServed) > 0.95*float64(o.urgent), qt.IsTrue)
	qt.Check(t, o.served > 30*50*95/100, qt.IsTrue, qt.Commentf("of 50 a second that fit"))
	qt.Check(t, refused.urgentServed < o.urgentServed, qt.IsTrue)
}

// Patient callers must be served a little even where the urgent ones alone would take more than all room.
func TestPatientDoesNotWaitForEver(t *testing.T) {
	o := replay(64, 20, stream{"w", 80, 200 * time.Millisecond, 0}, stream{"w", 20, 1500 * time.Millisecond, 2})["w"]
	patient := o.served - o.urgentServed
	t.Logf("%d patient, %d urgent", patient, o.urgentServed)
	qt.Check(t, patient > 30*50/25, qt.IsTrue)
	qt.Check(t, o.urgentServed > 30*50*9/10, qt.IsTrue)
}

// One workspace sends ten times as much as each of six others, together twice the room. Callers of the others
// wait behind it or are refused. Nobody who asks for less than a share may be served less than 0.9 of the best.
func TestHotWorkspaceLeavesOthersTheirShare(t *testing.T) {
	load := []stream{{"hot", 62, 500 * time.Millisecond, 1}}
	for n := range 6 {
		load = append(load, stream{fmt.Sprint("w", n), 6.2, 500 * time.Millisecond, 1})
	}
	outcomes, best := replay(64, 20, load...), 0.0
	share := func(o *outcome) float64 { return float64(o.served) / float64(o.asked) }
	for name, o := range outcomes {
		t.Logf("%s %.2f of %d", name, share(o), o.asked)
		best = max(best, share(o))
	}
	for name, o := range outcomes {
		qt.Check(t, name == "hot" || share(o) > 0.9*best, qt.IsTrue, qt.Commentf(name))
	}
}

// A request that needs much room waits for ever if smaller ones take each piece that gets free: after half of its
// wait nothing overtakes it.
func TestFirstIsNotOvertakenForEver(t *testing.T) {
	q, now := New(9, 100), time.Unix(0, 0)
	large := q.Enter(now, Request{Latest: now.Add(time.Second)})
	small := q.Enter(now, Request{Latest: now.Add(2 * time.Second)})
	qt.Check(t, q.Turn(now, large), qt.IsTrue)
	q.Tried(now, large)
	qt.Check(t, q.Turn(now, small), qt.IsTrue)
	qt.Check(t, small.Wake(), qt.HasLen, 1)
	now = now.Add(501 * time.Millisecond)
	qt.Check(t, q.Turn(now, large), qt.IsTrue)
	q.Tried(now, large)
	qt.Check(t, q.Turn(now, small), qt.IsFalse)
	q.Leave(now, large, true)
	qt.Check(t, q.Turn(now, small), qt.IsTrue)
}

// A burst must not fill the process's memory with requests that wait, nor hold one that would be late.
func TestQueueIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	later := now.Add(time.Second)
	for name, test := range map[string]struct {
		first, second Request
	}{
		"requests": {Request{Latest: later}, Request{Latest: later}},
		"late":     {Request{Latest: now}, Request{Latest: now.Add(-time.Second)}},
		"bytes":    {Request{Latest: later, Bytes: 60}, Request{Latest: later, Bytes: 41}},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(1, 100)
			if name == "bytes" {
				q = New(9, 100)
			}
			first := q.Enter(now, test.first)
			qt.Check(t, first != nil, qt.Equals, name != "late")
			qt.Check(t, q.Enter(now, test.second), qt.IsNil)
			if first != nil {
				q.Leave(now, first, true)
				qt.Check(t, q.Enter(now, test.second), qt.IsNotNil)
			}
		})
	}
	q := New(1, 1)
	for n := range 2 * maxWorkspaces {
		q.Given(now, fmt.Sprint(n), 1)
	}
	qt.Check(t, len(q.given), qt.Equals, maxWorkspaces)
}
