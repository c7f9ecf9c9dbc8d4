package main

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"

	"carawayspread/internal/standin/rows"
)

// memoryManifest has the routes, timeouts and limits of toponimia-co, under other names.
const memoryManifest = `{"version":7,
 "routes":[
  {"name":"vereda-disambig","host":"ficu95.example","prefix":"/lohu930/","kind":"stream","timeout_ms":8000,"target_latency_ms":300,"target_gap_ms":300,"priority":1,"service":"huvo11a","max_attempts":2,"resumable":true},
  {"name":"register-reconcile","host":"ficu95.example","prefix":"/puxa403/","kind":"stream","timeout_ms":10000,"target_latency_ms":600,"target_gap_ms":300,"priority":2,"service":"huvo11a","max_attempts":1}],
 "services":[{"name":"huvo11a"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000}}`

const (
	memoryGateways = 2
	memoryWorkers  = 18
	// steadyCallers send ordinary streams over kept channels, at each gateway: 70 streams of the sheet a second,
	// each of about three seconds, are some 60 at each of four gateways.
	steadyCallers = 60
	steadyBytes   = 830
	// At burstAt, burstCallers send one request each, at each gateway: twice as many as are under way.
	burstAt      = 6 * time.Second
	burstCallers = 120
	ordinarySize = 72000   // the longest of the sheet
	largestSize  = 4194304 // max_body_bytes
	// burstPace keeps what a gateway receives below its link of 1,000 Mbit/s.
	burstPace  = 4500 * time.Millisecond
	memoryTime = 20 * time.Second
)

func init() { cases["memory"] = memoryCase }

// memoryCase has many consumers send long requests at once.
func memoryCase(dir string, trouble bool) {
	r := newRecord(dir)
	temporary, err := os.MkdirTemp("", "review")
	check(err)
	defer func() { _ = os.RemoveAll(temporary) }()
	store, address := serveStore()
	store.Put("op", "config", []byte(memoryManifest))
	var workers []*worker
	for i := range memoryWorkers {
		w := newWorker(r, fmt.Sprintf("i-%02d", i), 29, 100*time.Millisecond)
		workers = append(workers, w)
		check(store.PutServer(w.id, rows.Server{Service: "huvo11a", Address: w.address(), Zone: "bogota-norte", Slots: 64, State: "ready", Seq: i + 1}))
	}
	gateways := newGateways(r, temporary, address, "bogota-norte", memoryGateways, frontOfToponimia)
	awaitReady(gateways)
	start := time.Now()
	end := start.Add(memoryTime)
	size := ordinarySize
	if trouble {
		size = largestSize
	}
	var mu sync.Mutex
	lost := 0
	var all sync.WaitGroup
	for g, at := range gateways {
		all.Go(func() { at.enforceMemory(end) })
		for n := range steadyCallers {
			all.Go(func() {
				time.Sleep(time.Duration(n) * 50 * time.Millisecond)
				var c *channel
				for k := 0; time.Now().Before(end.Add(-4 * time.Second)); k++ {
					if c == nil {
						if c, err = dial(at.front); err != nil {
							c = nil
							time.Sleep(200 * time.Millisecond)
							continue
						}
					}
					kept := c.kept
					q := call{id: fmt.Sprintf("s%d-%d-%d", g, n, k), method: "POST", path: "/lohu930/2f", body: bytes.Repeat([]byte("p"), steadyBytes)}
					status, _, body, err := c.send(q, 8*time.Second)
					passedOn := false
					for _, w := range workers {
						passedOn = passedOn || w.hasRun(q.id)
					}
					r.add("consumer: %s to %s, kept channel %t: status %d, %d bytes, error %v, passed on %t", q.id, at.name, kept, status, len(body), err, passedOn)
					if err != nil && kept && passedOn {
						mu.Lock()
						lost++
						mu.Unlock()
					}
					if err != nil || !c.kept {
						_ = c.conn.Close()
						c = nil
					}
				}
			})
		}
		for n := range burstCallers {
			all.Go(func() {
				time.Sleep(time.Until(start.Add(burstAt)))
				c, err := dial(at.front)
				if err != nil {
					r.add("consumer: l%d-%d to %s: %v", g, n, at.name, err)
					return
				}
				defer func() { _ = c.conn.Close() }()
				q := call{id: fmt.Sprintf("l%d-%d", g, n), method: "POST", path: "/puxa403/2f", body: bytes.Repeat([]byte("p"), size), pace: burstPace}
				status, _, body, err := c.send(q, 10*time.Second)
				r.add("consumer: %s to %s, %d bytes: status %d, %d bytes, error %v", q.id, at.name, size, status, len(body), err)
			})
		}
	}
	all.Wait()
	kills := 0
	for _, g := range gateways {
		kills += g.killed
	}
	stopAll()
	r.add("%d processes were killed for their memory; %d requests of kept channels were passed on to a sound worker and have no answer (3 are allowed)", kills, lost)
	fmt.Printf("killed for memory: %d; lost: %d (3 allowed)\n", kills, lost)
	if lost > 3 {
		os.Exit(1)
	}
}
