package main

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"carawayspread/internal/standin/rows"
)

// drainManifest has a route, timeouts and limits of toponimia-co-grown, under other names.
const drainManifest = `{"version":7,
 "routes":[
  {"name":"vereda-disambig","host":"ficu95.example","prefix":"/lohu930/","kind":"stream","timeout_ms":8000,"target_latency_ms":300,"target_gap_ms":300,"priority":1,"service":"huvo11a","max_attempts":1,"sticky":true}],
 "services":[{"name":"huvo11a"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	drainCallers = 10
	drainStep    = 25 * time.Millisecond
	drainGrace   = 8 * time.Second
	drainTurns   = 3
	drainEvents  = 8 // of ten tokens
)

// drainLoad is what consumers send over kept channels to a process that leaves, and how workers answer.
type drainLoad struct {
	bytes int           // of a body
	pace  time.Duration // in which it is sent
	after time.Duration // from the SIGTERM to the first request: later than the 3 s that the rule excuses
	first time.Duration // to the first event
	gap   time.Duration // between events
}

// slowBodies of all callers are 9.4 Mbit/s: a front has a link of 10 Mbit/s. The workers answer within the targets.
var slowBodies = drainLoad{
	bytes: 400000, pace: 3400 * time.Millisecond, after: 3150 * time.Millisecond, first: 250 * time.Millisecond, gap: 100 * time.Millisecond,
}

func init() {
	cases["upload"] = func(dir string, trouble bool) { drainCase(dir, trouble, slowBodies) }
}

// drainCase has a process told to end, and consumers that send over kept channels to it later.
func drainCase(dir string, trouble bool, load drainLoad) {
	r := newRecord(dir)
	temporary, err := os.MkdirTemp("", "review")
	check(err)
	defer func() { _ = os.RemoveAll(temporary) }()
	store, address := serveStore()
	store.Put("op", "config", []byte(drainManifest))
	var workers []*worker
	for i := range 6 {
		w := newWorker(r, fmt.Sprintf("i-%02d", i), drainEvents, load.gap)
		w.first = load.first
		workers = append(workers, w)
		check(store.PutServer(w.id, rows.Server{Service: "huvo11a", Address: w.address(), Zone: "bogota-norte", Slots: 64, State: "ready", Seq: i + 1}))
	}
	gateways := newGateways(r, temporary, address, "bogota-norte", 2, smallFrontOfGrown)
	awaitReady(gateways)
	time.Sleep(4 * time.Second) // in touch
	prompt := []string{"Carawayspread-Model: m", "Carawayspread-Token-Count: 628,80"}
	lost, answered := 0, 0
	for turn := range drainTurns {
		at := gateways[turn%len(gateways)]
		channels := make([]*channel, drainCallers)
		var warm sync.WaitGroup
		for n := range channels {
			warm.Go(func() {
				c, err := dial(at.front)
				check(err)
				q := call{id: fmt.Sprintf("w%d-%d", turn, n), method: "POST", path: "/lohu930/2f", headers: prompt, body: []byte("prompt")}
				status, _, _, err := c.send(q, 8*time.Second)
				r.add("consumer: %s over a new channel to %s: status %d, error %v", q.id, at.name, status, err)
				channels[n] = c
			})
		}
		warm.Wait()
		stopped := time.Now()
		var all sync.WaitGroup
		if trouble {
			r.add("platform: SIGTERM to %s", at.name)
			at.signal(syscall.SIGTERM)
			all.Go(func() {
				timer := time.AfterFunc(drainGrace, func() { r.add("platform: SIGKILL to %s", at.name); at.signal(syscall.SIGKILL) })
				at.waitEnded()
				timer.Stop()
				r.add("platform: %s has ended, %.3f s after the SIGTERM", at.name, time.Since(stopped).Seconds())
				time.Sleep(500 * time.Millisecond)
				at.start()
			})
		}
		var mu sync.Mutex
		for n, c := range channels {
			all.Go(func() {
				time.Sleep(time.Until(stopped.Add(load.after + time.Duration(n)*drainStep)))
				q := call{id: fmt.Sprintf("u%d-%d", turn, n), method: "POST", path: "/lohu930/2f", headers: prompt, body: bytes.Repeat([]byte("p"), load.bytes), pace: load.pace}
				sent := time.Since(stopped)
				status, _, body, err := c.send(q, 8*time.Second)
				_ = c.conn.Close()
				passedOn := false
				for _, w := range workers {
					passedOn = passedOn || w.hasRun(q.id)
				}
				r.add("consumer: %s over its kept channel to %s, sent from %.3f s on: status %d, %d bytes, error %v, ended at %.3f s, passed on %t",
					q.id, at.name, sent.Seconds(), status, len(body), err, time.Since(stopped).Seconds(), passedOn)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					answered++
				case passedOn:
					lost++
				}
			})
		}
		all.Wait()
		awaitReady(gateways)
		time.Sleep(4 * time.Second)
	}
	stopAll()
	r.add("%d requests were answered in full or refused; %d were read in full and passed on to a sound worker, and their channels ended without a complete answer (none is allowed)", answered, lost)
	fmt.Printf("answered or refused: %d; lost: %d (0 allowed)\n", answered, lost)
	if lost > 0 {
		os.Exit(1)
	}
}
