package main

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"carawayspread/internal/standin/rows"
)

// idleManifest has a route, timeouts and limits of toponimia-co-grown, under other names.
const idleManifest = `{"version":7,
 "routes":[
  {"name":"spelling-match","host":"ficu95.example","prefix":"/lohu930/","kind":"stream","timeout_ms":2500,"target_latency_ms":400,"target_gap_ms":300,"priority":0,"service":"huvo11a","max_attempts":1}],
 "services":[{"name":"huvo11a"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	// idlePerSecond are requests of the zone bogota-centro at one front, each of another consumer.
	idlePerSecond = 63
	idleTime      = 50 * time.Second
	// idleContact is contact_ms of the page that has the rule, idleTries the consumers that it asks for.
	idleContact = 4 * time.Second
	idleTries   = 7
)

// attempt is a new channel that a consumer tried.
type attempt struct {
	at    time.Time
	taken bool
}

func init() { cases["idle"] = idleCase }

// idleCase has each consumer leave its channel open after the answer, or close it.
func idleCase(dir string, trouble bool) {
	r := newRecord(dir)
	temporary, err := os.MkdirTemp("", "review")
	check(err)
	defer func() { _ = os.RemoveAll(temporary) }()
	store, address := serveStore()
	store.Put("op", "config", []byte(idleManifest))
	for i := range 6 {
		w := newWorker(r, fmt.Sprintf("i-%02d", i), 2, 30*time.Millisecond)
		check(store.PutServer(w.id, rows.Server{Service: "huvo11a", Address: w.address(), Zone: "bogota-centro", Slots: 64, State: "ready", Seq: i + 1}))
	}
	front := newGateways(r, temporary, address, "bogota-centro", 1, smallFrontOfGrown)[0]
	awaitReady([]*gateway{front})
	start := time.Now()
	end := start.Add(idleTime)
	var mu sync.Mutex
	var attempts []attempt
	notReady := []time.Time{start} // when the process last did not say that it is ready
	open := 0
	var all sync.WaitGroup
	all.Go(func() {
		for ; time.Now().Before(end); time.Sleep(time.Second) {
			ready := front.isReady()
			mu.Lock()
			if !ready {
				notReady = append(notReady, time.Now())
			}
			r.add("platform: readyz says %t; consumers hold %d channels", ready, open)
			mu.Unlock()
		}
	})
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / idlePerSecond)))
		all.Go(func() {
			at := time.Now()
			c, err := dial(front.front)
			status := 0
			if err == nil {
				q := call{id: fmt.Sprintf("c%d", n), method: "POST", path: "/lohu930/2f", body: bytes.Repeat([]byte("p"), 2400)}
				status, _, _, err = c.send(q, 2500*time.Millisecond)
			}
			r.add("consumer c%d: new channel to %s: status %d, error %v", n, front.name, status, err)
			mu.Lock()
			attempts = append(attempts, attempt{at, status != 0})
			mu.Unlock()
			if c == nil {
				return
			}
			if trouble && err == nil && c.kept {
				// The consumer may send its next request over the channel. It closes it when the process does.
				mu.Lock()
				open++
				mu.Unlock()
				_ = c.conn.SetDeadline(end)
				_, _ = c.r.ReadByte()
				mu.Lock()
				open--
				mu.Unlock()
			}
			_ = c.conn.Close()
		})
	}
	all.Wait()
	stopAll()
	// The longest time without a channel that was taken, in which the process said that it is ready.
	var longest time.Duration
	tries, most := 0, 0
	since := start
	for _, a := range sortedAttempts(attempts) {
		for _, t := range notReady {
			if t.After(since) && !t.After(a.at) {
				since, tries = t, 0
			}
		}
		if a.taken {
			since, tries = a.at, 0
			continue
		}
		tries++
		if d := a.at.Sub(since); d > longest {
			longest, most = d, tries
		}
	}
	r.add("longest time in which the process was ready and took no new channel: %.1f s, while %d consumers tried; allowed: less than %.1f s where %d or more try", longest.Seconds(), most, idleContact.Seconds(), idleTries)
	fmt.Printf("no new channel for %.1f s, %d tries\n", longest.Seconds(), most)
	if longest >= idleContact && most >= idleTries {
		os.Exit(1)
	}
}

func sortedAttempts(all []attempt) []attempt {
	slices.SortFunc(all, func(a, b attempt) int { return a.at.Compare(b.at) })
	return all
}
