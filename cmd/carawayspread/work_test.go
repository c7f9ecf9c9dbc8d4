package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/standin/engine"
)

// BenchmarkWork measures the processor time that requests and token events take in entry and sidecar,
// and the memory that a running stream takes.
func BenchmarkWork(b *testing.B) {
	const requests, streams, tokens, runningStreams, engines = 2000, 20, 2000, 200, 25
	f := newFleet(b)
	quick := engine.New(engine.ChecksFence())
	slow := engine.New(engine.ChecksFence(), engine.TokenEvery(gap), engine.Slots(256))
	processes := map[string]*process{"sidecar": f.sidecar("sidecar-1", model("engine-1", quick))}
	processes["entry"] = f.entry("entry-1")
	entry := processes["entry"]
	f.runStreams(b, entry, 200, 1) // opens connections and allocates buffers
	for b.Loop() {
		before := usages(processes)
		f.runStreams(b, entry, requests, 1)
		for name, p := range processes {
			b.ReportMetric(perUnit(before[name], p.usage(), requests), name+"-µs/request")
		}
		before = usages(processes)
		f.runStreams(b, entry, streams, tokens)
		for name, p := range processes {
			b.ReportMetric(perUnit(before[name], p.usage(), streams*tokens), name+"-µs/token")
		}
	}
	processes["sidecar"].kill()
	f.list.Remove("sidecar-1")
	endpoints := []endpoint{}
	for i := range engines {
		endpoints = append(endpoints, model(fmt.Sprint("slow-", i), slow))
	}
	processes["sidecar"] = f.sidecar("sidecar-2", endpoints...)
	time.Sleep(settleTime)
	idle := usages(processes)
	running := f.startStreams(entry, runningStreams, int(3*settleTime/gap))
	time.Sleep(settleTime)
	before, began := usages(processes), time.Now()
	time.Sleep(settleTime)
	atOnce := slow.Running()
	qt.Assert(b, atOnce > 0, qt.IsTrue)
	sent := atOnce * int(time.Since(began)/gap)
	for name, p := range processes {
		used := p.usage()
		b.ReportMetric(perUnit(before[name], used, sent), name+"-µs/paced-token")
		b.ReportMetric(float64(used.resident-idle[name].resident)/float64(atOnce)/1024, name+"-KB/stream")
	}
	b.ReportMetric(float64(atOnce), "streams")
	running.Wait()
}

// runStreams runs n streams, sixteen at a time, and waits for all of them.
func (f *fleet) runStreams(b *testing.B, entry *process, n, tokens int) {
	const atOnce = 16
	slots := make(chan struct{}, atOnce)
	var running sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			got := stream(entry, fmt.Sprint("vereda ", i), tokens, nil)
			if got.status != http.StatusOK || !got.complete() {
				b.Error(got.status, got.code(), got.err)
			}
		})
	}
	running.Wait()
}

// startStreams starts n streams. The returned group is done when all have ended.
func (f *fleet) startStreams(entry *process, n, tokens int) *sync.WaitGroup {
	running := &sync.WaitGroup{}
	for i := range n {
		running.Go(func() { _ = stream(entry, fmt.Sprint("parcel ", i), tokens, nil) })
	}
	return running
}

func usages(processes map[string]*process) map[string]usage {
	used := map[string]usage{}
	for name, p := range processes {
		used[name] = p.usage()
	}
	return used
}

func perUnit(before, after usage, n int) float64 {
	return float64((after.cpu - before.cpu).Microseconds()) / float64(n)
}

// BenchmarkManyDaemons runs 100 daemons and reports how many requests they send to the table at their
// start, when idle and after an outage, and how long it takes until a change is in force.
func BenchmarkManyDaemons(b *testing.B) {
	const sidecars, entries, daemons = 95, 5, 100
	const idle, outage = 10 * time.Second, 6 * time.Second
	f := newFleet(b)
	e := engine.New(engine.ChecksFence())
	before, began := f.table.Reads(), time.Now()
	all := []*process{}
	for i := range sidecars {
		all = append(all, f.sidecar(fmt.Sprint("sidecar-", i), model(fmt.Sprint("engine-", i), e)))
	}
	for i := range entries {
		all = append(all, f.entry(fmt.Sprint("entry-", i)))
	}
	started := time.Since(began)
	f.awaitVersion(all, f.config.Version())
	readTime, readsAtStart := time.Since(began), f.table.Reads()-before
	for b.Loop() {
		reads, writes, lists := f.table.Reads(), f.table.Writes(), f.list.Reads()
		time.Sleep(idle)
		perHour := float64(time.Hour/idle) / daemons
		b.ReportMetric(float64(f.table.Reads()-reads)*perHour, "reads/daemon-hour")
		b.ReportMetric(float64(f.table.Writes()-writes)*perHour, "writes/daemon-hour")
		b.ReportMetric(float64(f.list.Reads()-lists)*perHour, "lists/daemon-hour")

		reads = f.table.Reads()
		f.change(`{"set": {"workspaces": [{"name": "later"}]}}`)
		b.ReportMetric(f.awaitVersion(all, f.config.Version()).Seconds(), "in-force-s")
		b.ReportMetric(float64(f.table.Reads()-reads)/daemons, "reads/change")

		f.table.SetDown(true)
		time.Sleep(outage)
		f.table.SetDown(false)
		peak, last := uint64(0), f.table.Reads()+f.table.Writes()
		for range 6 {
			time.Sleep(time.Second)
			now := f.table.Reads() + f.table.Writes()
			peak, last = max(peak, now-last), now
		}
		b.ReportMetric(float64(peak), "most-requests/s-after-outage")
	}
	resident := int64(0)
	for _, p := range all {
		resident += p.usage().resident
	}
	b.ReportMetric(float64(resident)/daemons/(1<<20), "resident-MB")
	b.ReportMetric(started.Seconds(), "start-s")
	b.ReportMetric(float64(readsAtStart)/readTime.Seconds(), "reads/s-while-starting")
}

// awaitVersion returns how long it takes until all processes hold the version. Its status requests
// carry no version, so that processes do not learn of the newer one from them.
func (f *fleet) awaitVersion(all []*process, version carawayspread.Version) time.Duration {
	began := time.Now()
	for _, p := range all {
		client := p.control()
		f.eventually(func() bool { return client.holds(version) })
	}
	return time.Since(began)
}

// controlClient is a client of the control service of a process.
type controlClient struct{ control.Control }

func (p *process) control() controlClient {
	return controlClient{control.NewControlProtobufClient("http://"+p.row.Control, http.DefaultClient)}
}

func (c controlClient) holds(version carawayspread.Version) bool {
	answer, err := c.Status(context.Background(), &control.StatusRequest{})
	return err == nil && carawayspread.Version(answer.GetConfigVersion()) >= version
}
