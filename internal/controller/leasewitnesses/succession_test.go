package leasewitnesses

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawayspread"
	"carawayspread/internal/controller/lease"
)

func TestMain(m *testing.M) {
	// Runs the same schedules every time and writes no failure files.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "150")
	_ = flag.Set("rapid.checks", "100")
	os.Exit(m.Run())
}

const (
	term     = 4 * time.Second
	limit    = 15 * time.Second
	longTerm = 26 * time.Second
)

var errSilent = errors.New("no answer")

// world is a table and the processes of a fleet, without time of its own.
type world struct {
	now        time.Time
	items      map[carawayspread.Key]carawayspread.Item
	copied     map[carawayspread.Key]carawayspread.Item
	generation uint64
	silentTo   map[string]bool
	loseReply  bool
	cut        map[[2]string]bool // from and to
	delayed    bool               // messages wait in late
	late       []func()
	processes  []*node
}

// node is a process: candidate and witness.
type node struct {
	w         *world
	address   string
	seen      uint64 // generation of the table
	witnesses *Witnesses
	lease     *lease.Lease
}

func (w *world) Now() time.Time { return w.now }

// After returns a channel that has fired: nobody waits longer for messages that do not arrive at once.
func (w *world) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- w.now
	return fired
}

func (w *world) start(i int) {
	n := &node{w: w, address: fmt.Sprint("p", i)}
	n.witnesses = New(n, w, limit)
	n.lease = lease.New(n, w, "l", lease.WithTerm(term), lease.WithWitnesses(n.witnesses, longTerm))
	w.processes[i] = n
}

func (n *node) Address() string { return n.address }

func (n *node) PeerAddresses() (others []string) {
	for _, p := range n.w.processes {
		if p.address != n.address {
			others = append(others, p.address)
		}
	}
	return others
}

func (n *node) SendWitness(to string, m carawayspread.WitnessMessage) {
	if n.w.cut[[2]string{n.address, to}] {
		return
	}
	deliver := func() {
		i := slices.IndexFunc(n.w.processes, func(p *node) bool { return p.address == to })
		n.w.processes[i].witnesses.Receive(n.address, m)
	}
	if n.w.delayed && len(n.w.late) < 40 {
		n.w.late = append(n.w.late, deliver)
		return
	}
	deliver()
}

// Generation implements carawayspread.Restorable.
func (n *node) Generation() uint64 { return n.seen }

func (n *node) Get(_ context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	if n.w.silentTo[n.address] {
		return carawayspread.Item{}, errSilent
	}
	n.seen = n.w.generation
	item, ok := n.w.items[key]
	if !ok {
		return item, carawayspread.ErrNoItem
	}
	return item, nil
}

func (n *node) Query(context.Context, string, string, int) ([]carawayspread.Item, error) {
	return nil, errSilent
}

func (n *node) Apply(_ context.Context, writes ...carawayspread.Write) error {
	if n.w.silentTo[n.address] {
		return errSilent
	}
	n.seen = n.w.generation
	for i, write := range writes {
		if n.w.items[write.Item.Key].Rev != write.IfRev {
			return &carawayspread.ConditionError{Failed: []int{i}}
		}
	}
	for _, write := range writes {
		if !write.CheckOnly {
			write.Item.Rev = write.IfRev + 1
			n.w.items[write.Item.Key] = write.Item
		}
	}
	if n.w.loseReply {
		n.w.loseReply = false
		return errSilent
	}
	return nil
}

// Two processes that report at the same time send different counts of one window. Random schedules of
// six processes, in which the table is silent to some or all and is restored, answers are lost, links
// between processes are cut in one direction, messages are late, and processes are killed and started
// at the same address. Two must never hold the lease at once, and no fencing token may have two holders.
func TestNeverTwoHolders(t *testing.T) {
	extended := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{
			now: time.Unix(1000, 0), items: map[carawayspread.Key]carawayspread.Item{}, generation: 1,
			silentTo: map[string]bool{}, cut: map[[2]string]bool{}, processes: make([]*node, 6),
		}
		for i := range w.processes {
			w.start(i)
		}
		w.now = w.now.Add(20 * time.Second)
		owner := map[uint64]*node{}
		process := func(rt *rapid.T) *node { return w.processes[rapid.IntRange(0, 5).Draw(rt, "process")] }
		some := func(rt *rapid.T) map[string]bool {
			set := map[string]bool{}
			for i, in := range rapid.SliceOfN(rapid.Bool(), 6, 6).Draw(rt, "some") {
				set[fmt.Sprint("p", i)] = in
			}
			return set
		}
		everyone := func(act func(n *node)) {
			for _, n := range w.processes {
				act(n)
			}
		}
		ask := func(n *node) { n.witnesses.askForPromises(); n.witnesses.sayHello() }
		rt.Repeat(map[string]func(*rapid.T){
			"try": func(rt *rapid.T) { _ = process(rt).lease.Try(context.Background()) },
			"holder try": func(*rapid.T) {
				everyone(func(n *node) {
					if n.lease.Valid(0) {
						_ = n.lease.Try(context.Background())
					}
				})
			},
			"try in turn": func(*rapid.T) { everyone(func(n *node) { _ = n.lease.Try(context.Background()) }) },
			"ask":         func(*rapid.T) { everyone(ask) },
			"wait": func(rt *rapid.T) {
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second, 4100 * time.Millisecond, 16 * time.Second}).Draw(rt, "time"))
			},
			// Ends all faults, and lets the fleet run until there is a holder with witnesses.
			"calm": func(*rapid.T) {
				clear(w.silentTo)
				clear(w.cut)
				w.delayed, w.late = false, nil
				for range 12 {
					w.now = w.now.Add(2 * time.Second)
					everyone(func(n *node) { _ = n.lease.Try(context.Background()) })
					everyone(ask)
				}
			},
			"an outage": func(rt *rapid.T) {
				for range rapid.IntRange(1, 12).Draw(rt, "seconds") {
					w.now = w.now.Add(time.Second)
					everyone(ask)
				}
			},
			"silent to some": func(rt *rapid.T) { w.silentTo = some(rt) },
			"silent to all":  func(*rapid.T) { everyone(func(n *node) { w.silentTo[n.address] = true }) },
			"back":           func(*rapid.T) { clear(w.silentTo) },
			"lose a reply":   func(*rapid.T) { w.loseReply = true },
			"cut": func(rt *rapid.T) {
				from, to := some(rt), some(rt)
				for a := range from {
					for b := range to {
						w.cut[[2]string{a, b}] = from[a] && to[b]
					}
				}
			},
			"mend":  func(*rapid.T) { clear(w.cut) },
			"delay": func(rt *rapid.T) { w.delayed = rapid.Bool().Draw(rt, "delayed") },
			"deliver": func(*rapid.T) {
				late := w.late
				w.late = nil
				for _, deliver := range late {
					deliver()
				}
			},
			"restart": func(rt *rapid.T) { w.start(rapid.IntRange(0, 5).Draw(rt, "process")) },
			"copy":    func(*rapid.T) { w.copied = maps.Clone(w.items) },
			"restore": func(*rapid.T) {
				if w.copied != nil {
					w.items, w.generation = maps.Clone(w.copied), w.generation+1
				}
			},
			"release": func(rt *rapid.T) { _ = process(rt).lease.Release(context.Background()) },
			"": func(rt *rapid.T) {
				var valid []string
				for _, n := range w.processes {
					if n.lease.Valid(0) {
						valid = append(valid, n.address)
						if !n.lease.Renewed(term) {
							extended++
						}
					}
					if epoch := n.lease.Epoch(); epoch > 0 {
						if first := owner[epoch]; first != nil && first != n {
							rt.Fatalf("epoch %d has the holders %s and %s", epoch, first.address, n.address)
						}
						owner[epoch] = n
					}
				}
				if len(valid) > 1 {
					rt.Fatalf("holders %v", valid)
				}
			},
		})
	})
	t.Logf("%d states were extended", extended)
	if extended < 500 {
		t.Error("the schedules hardly extend the lease")
	}
}
