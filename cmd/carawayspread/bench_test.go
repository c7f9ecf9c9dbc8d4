package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/standin/engine"
)

const (
	benchRate     = 500 // requests a second
	benchRequests = 2500
	benchTokens   = 150
	microsecond   = int64(time.Microsecond)
)

// load sends requests at a fixed rate, independently of how long answers take, and returns the times
// from when each request was due to its complete answer.
func load(b *testing.B, address, body string) *hdrhistogram.Histogram {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	latencies := hdrhistogram.New(1, int64(10*time.Second)/microsecond, 3)
	var mu sync.Mutex
	var running sync.WaitGroup
	next := time.Now()
	for range benchRequests {
		time.Sleep(time.Until(next))
		due := next
		next = next.Add(time.Second / benchRate)
		running.Go(func() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
			req.Header.Set("X-Workspace", "demo")
			req.Header.Set("X-Class", "interactive")
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			n, err := io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err != nil || resp.StatusCode != http.StatusOK || n == 0 {
				b.Error(resp.StatusCode, err)
			}
			mu.Lock()
			defer mu.Unlock()
			_ = latencies.RecordValue(time.Since(due).Microseconds())
		})
	}
	running.Wait()
	return latencies
}

// BenchmarkAddedTime measures the time that entry and sidecar add to a request compared with a direct
// call of the same engine, at 500 requests per second on loopback.
func BenchmarkAddedTime(b *testing.B) {
	f := newFleet(b)
	e := engine.New(engine.ChecksFence(), engine.Slots(256))
	direct := serve(b, e)
	f.sidecar("sidecar-1", model("engine-1", e))
	f.sidecar("sidecar-2", model("engine-2", e))
	entry := f.entry("entry-1")
	body := `{"model":"stand-in","prompt":"vereda","max_tokens":1}`
	for b.Loop() {
		proxied := load(b, entry.row.Address, body)
		unproxied := load(b, direct, body)
		for _, q := range []struct {
			name string
			at   float64
		}{{"p50", 50}, {"p99", 99}} {
			b.ReportMetric(float64(proxied.ValueAtPercentile(q.at)-unproxied.ValueAtPercentile(q.at)), "added-"+q.name+"-µs")
			b.ReportMetric(float64(unproxied.ValueAtPercentile(q.at)), "direct-"+q.name+"-µs")
		}
	}
}

// BenchmarkAddedTimePerToken measures the time that entry and sidecar add to each token of a stream,
// with streams of 1,000 tokens that the engine sends without pause.
func BenchmarkAddedTimePerToken(b *testing.B) {
	const tokens, streams = 1000, 20
	f := newFleet(b)
	e := engine.New(engine.ChecksFence())
	direct := serve(b, e)
	f.sidecar("sidecar-1", model("engine-1", e))
	entry := f.entry("entry-1")
	run := func(address string) time.Duration {
		began := time.Now()
		for range streams {
			got := stream(&process{row: carawayspread.Instance{Address: address}}, "vereda", tokens, nil)
			qt.Assert(b, got.complete(), qt.IsTrue)
		}
		return time.Since(began)
	}
	for b.Loop() {
		proxied, unproxied := run(entry.row.Address), run(direct)
		b.ReportMetric(float64((proxied-unproxied).Microseconds())/(tokens*streams), "added-µs/token")
	}
}

// BenchmarkDrain ends a sidecar with 200 running streams and counts the interrupted ones. A limiter
// starts with eight slots and a request has two candidate endpoints, so the sidecar has 60 engines.
func BenchmarkDrain(b *testing.B) {
	const streams, engines = 200, 60
	for b.Loop() {
		f := newFleet(b)
		endpoints := []endpoint{}
		for i := range engines {
			endpoints = append(endpoints, model(fmt.Sprint("engine-", i), engine.New(engine.ChecksFence(), engine.TokenEvery(gap))))
		}
		draining := f.sidecar("sidecar-1", endpoints...)
		entry := f.entry("entry-1")
		answers := make([]answer, streams)
		var running, first sync.WaitGroup
		first.Add(streams)
		for i := range streams {
			running.Go(func() { answers[i] = stream(entry, strings.Repeat("x", i+1), benchTokens, first.Done) })
		}
		first.Wait()
		began := time.Now()
		_ = draining.cmd.Process.Signal(terminate)
		atOnce := 0
		for _, e := range endpoints {
			atOnce += e.handler.(*engine.Engine).Running()
		}
		running.Wait()
		<-draining.ended
		interrupted := 0
		for _, a := range answers {
			if !a.complete() {
				b.Log(a.status, a.code(), a.err, len(a.body))
				interrupted++
			}
		}
		b.ReportMetric(float64(atOnce), "running")
		b.ReportMetric(float64(interrupted), "cut")
		b.ReportMetric(time.Since(began).Seconds(), "drain-s")
	}
}
