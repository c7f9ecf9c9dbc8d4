package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/worker"
)

const (
	harmfulPart = "dd"
	// crashesUnnoticed is how many engines a part may crash before it must be stopped, and harmfulRetries
	// how many requests with it may be sent later than contactTime after that.
	crashesUnnoticed, harmfulRetries = 5, 3
	// engineRestart is how long a crashed engine takes to come back, under another identifier.
	engineRestart = 300 * time.Millisecond
	// A harmful and a harmless request are sent in each interval of the run.
	partInterval, partRun = 120 * time.Millisecond, 9 * time.Second
)

// engines are stand-ins of engines that crash as they begin to answer on the harmful part.
type engines struct {
	t     *testing.T
	fleet *fleet

	mu      sync.Mutex
	ended   bool // no engine comes back any more
	all     []*worker.Worker
	crashes []time.Time
}

func (e *engines) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	w := startWorker(e.t, fmt.Sprint("w-", len(e.all)))
	w.CrashOnPart(harmfulPart, func() {
		e.mu.Lock()
		e.crashes = append(e.crashes, time.Now())
		e.mu.Unlock()
		time.AfterFunc(engineRestart, func() {
			e.fleet.store.Remove("servers", w.ID())
			e.start()
		})
	})
	w.SetEventDelay(10 * time.Millisecond)
	e.all = append(e.all, w)
	e.fleet.putServer(w, "model", "decode", "ready", len(e.all))
}

// end returns how many requests reached engines later than contactTime after the last unnoticed crash.
func (e *engines) end(isHarmful func(id string) bool) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	if len(e.crashes) < crashesUnnoticed {
		return 0
	}
	from, n := e.crashes[crashesUnnoticed-1].Add(contactTime), 0
	for _, w := range e.all {
		for _, r := range w.Requests() {
			if isHarmful(r.ID) && r.At.After(from) {
				n++
			}
		}
	}
	return n
}

// Requests that have one part of their prompts in common crash one engine after the other, as no two of
// them are alike; or harmless requests are refused for the other parts that they share with these.
func TestPartThatCrashesEngines(t *testing.T) {
	for name, test := range map[string]struct {
		harmful, harmless string // parts but the last; %d is the number of the request, modulo seven
	}{
		"second of three":                      {"aa:20,dd:20", "aa:20,bb:20"},
		"first":                                {"dd:20,aa:20", "cc:20,aa:20"},
		"third, behind seven others":           {"aa:20,e%d:20,dd:20", "aa:20,e%d:20,bb:20"},
		"second, harmless ones with rare ones": {"aa:20,dd:20", "aa:20,f%d:20"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			e := &engines{t: t, fleet: f}
			for range 6 {
				e.start()
			}
			f.start(t)
			f.waitReady(t)
			other := f.secondGateway(t, f.settings.Store())
			other.start(t)
			other.waitReady(t)
			time.Sleep(listTime) // they know each other
			gateways := []*fleet{f, other}
			var mu sync.Mutex
			served, sent := 0, 0
			began := time.Now()
			var running sync.WaitGroup
			for n := 0; time.Since(began) < partRun; n++ {
				for i, parts := range []string{test.harmful, test.harmless} {
					isHarmful := i == 0
					if strings.Contains(parts, "%d") {
						parts = fmt.Sprintf(parts, n%7)
					}
					id := fmt.Sprintf("%v-%d", isHarmful, n)
					running.Go(func() {
						resp, body, err := gateways[n%2].send("POST", "/stream/x", id, "prompt "+id, tokenCountHeader, "900,20",
							"Carawayspread-Prefix-Hash", fmt.Sprintf("%s,ff%d%d:5", parts, i, n))
						mu.Lock()
						defer mu.Unlock()
						if !isHarmful && time.Since(began) > 2*contactTime {
							sent++
							if err == nil && resp.StatusCode == http.StatusOK && strings.Count(body, "data: part") == worker.Events {
								served++
							}
						}
					})
				}
				time.Sleep(partInterval)
			}
			running.Wait()
			late := e.end(func(id string) bool { return strings.HasPrefix(id, "true") })
			qt.Check(t, late <= harmfulRetries, qt.IsTrue, qt.Commentf("%d requests sent after %d crashes", late, len(e.crashes)))
			qt.Check(t, sent >= 20, qt.IsTrue)
			qt.Check(t, 2*served >= sent, qt.IsTrue, qt.Commentf("%d of %d harmless requests served", served, sent))
		})
	}
}

// A process that starts after a part has crashed engines sends requests with it on; also if all others are
// gone by then.
func TestProcessThatStartsLaterRefusesAHarmfulPart(t *testing.T) {
	for name, replaced := range map[string]bool{"beside others": false, "in place of all": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			e := &engines{t: t, fleet: f}
			for range 4 {
				e.start()
			}
			f.start(t)
			f.waitReady(t)
			send := func(f *fleet, id, parts string) int {
				resp, _, err := f.send("POST", "/stream/x", id, "prompt "+id, tokenCountHeader, "900,20", "Carawayspread-Prefix-Hash", parts+":5,"+id+":5")
				qt.Assert(t, err, qt.IsNil)
				return resp.StatusCode
			}
			for n := 0; !strings.Contains(f.out.String(), "item=parts") || n == 0; n++ {
				_, _, _ = f.send("POST", "/stream/x", fmt.Sprint("a", n), fmt.Sprint("prompt ", n), tokenCountHeader, "900,20",
					"Carawayspread-Prefix-Hash", fmt.Sprintf("a%d:5,%s:5,b%d:5", n, harmfulPart, n))
				time.Sleep(2 * engineRestart)
				qt.Assert(t, n < 20, qt.IsTrue)
			}
			if replaced {
				f.stop()
				f.ended <- <-f.ended // for the cleanup
			}
			later := f.secondGateway(t, f.settings.Store())
			later.start(t)
			later.waitReady(t)
			time.Sleep(contactTime)
			qt.Check(t, send(later, "c1", "aa:5,"+harmfulPart), qt.Equals, http.StatusServiceUnavailable)
			qt.Check(t, send(later, "c2", "aa:5,bb"), qt.Equals, http.StatusOK)
			e.end(func(string) bool { return false })
		})
	}
}
