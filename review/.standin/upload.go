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

// uploadManifest has a route, timeouts and limits of toponimia-co-grown, under other names.
const uploadManifest = `{"version":7,
 "routes":[
  {"name":"vereda-disambig","host":"ficu95.example","prefix":"/lohu930/","kind":"stream","timeout_ms":8000,"target_latency_ms":300,"target_gap_ms":300,"priority":1,"service":"huvo11a","max_attempts":1,"sticky":true}],
 "services":[{"name":"huvo11a"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	uploadMemory  = 184
	uploadCallers = 10
	// uploadBytes of all callers, in uploadPace, are 9.4 Mbit/s: a front has a link of 10 Mbit/s.
	uploadBytes = 400000
	uploadPace  = 3400 * time.Millisecond
	// firstUpload is when the first request is sent, after the SIGTERM: later than the 3 s that the rule excuses.
	firstUpload = 3150 * time.Millisecond
	uploadStep  = 25 * time.Millisecond
	uploadGrace = 8 * time.Second
	uploadTurns = 3
)

func init() { cases["upload"] = uploadCase }

// uploadCase has a process told to end, and consumers send over kept channels what takes seconds to arrive.
func uploadCase(dir string, trouble bool) {
	r := newRecord(dir)
	temporary, err := os.MkdirTemp("", "review")
	check(err)
	defer func() { _ = os.RemoveAll(temporary) }()
	store, address := serveStore()
	store.Put("op", "config", []byte(uploadManifest))
	var workers []*worker
	for i := range 6 {
		// The first event within the target of 300 ms, then one of ten tokens each 100 ms.
		w := newWorker(r, fmt.Sprintf("i-%02d", i), 8, 100*time.Millisecond)
		w.first = 250 * time.Millisecond
		workers = append(workers, w)
		check(store.PutServer(w.id, rows.Server{Service: "huvo11a", Address: w.address(), Zone: "bogota-norte", Slots: 64, State: "ready", Seq: i + 1}))
	}
	gateways := newGateways(r, temporary, address, "bogota-norte", 2, uploadMemory)
	awaitReady(gateways)
	time.Sleep(4 * time.Second) // in touch
	prompt := []string{"Carawayspread-Model: m", "Carawayspread-Token-Count: 628,80"}
	lost, answered := 0, 0
	for turn := range uploadTurns {
		at := gateways[turn%len(gateways)]
		var channels []*channel
		for n := range uploadCallers {
			c, err := dial(at.front)
			check(err)
			q := call{id: fmt.Sprintf("w%d-%d", turn, n), method: "POST", path: "/lohu930/2f", headers: prompt, body: []byte("prompt")}
			status, _, _, err := c.send(q, 8*time.Second)
			r.add("consumer: %s over a new channel to %s: status %d, error %v", q.id, at.name, status, err)
			channels = append(channels, c)
		}
		stopped := time.Now()
		var all sync.WaitGroup
		if trouble {
			r.add("platform: SIGTERM to %s", at.name)
			at.signal(syscall.SIGTERM)
			all.Go(func() {
				timer := time.AfterFunc(uploadGrace, func() { r.add("platform: SIGKILL to %s", at.name); at.signal(syscall.SIGKILL) })
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
				time.Sleep(time.Until(stopped.Add(firstUpload + time.Duration(n)*uploadStep)))
				q := call{id: fmt.Sprintf("u%d-%d", turn, n), method: "POST", path: "/lohu930/2f", headers: prompt, body: bytes.Repeat([]byte("p"), uploadBytes), pace: uploadPace}
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
