package main

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/report"
	"carawayspread/internal/process/reporter"
	"carawayspread/internal/standin/engine"
)

const (
	workersBeside = 4
	settle        = 6 * time.Second // for garbage of the start to be returned
	observed      = 10 * time.Second
	warmUp        = 3                     // reports of each sidecar; the first are full ones
	clockTick     = 10 * time.Millisecond // of /proc/<pid>/stat
)

// usage is what a process used.
type usage struct {
	resident int64 // bytes
	cpu      time.Duration
}

func (p *process) usage() usage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	qt.Assert(p.t, err, qt.IsNil)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{resident: pages * int64(os.Getpagesize()), cpu: time.Duration(user+system) * clockTick}
}

// observe reports memory and processor share of a process that is left alone.
func observe(b *testing.B, p *process) {
	time.Sleep(settle)
	before := p.usage()
	time.Sleep(observed)
	after := p.usage()
	b.ReportMetric(float64(after.resident)/(1<<20), "resident-MB")
	b.ReportMetric(100*float64(after.cpu-before.cpu)/float64(observed), "cpu-%")
}

// BenchmarkSidecarControl measures a sidecar with four engines and no requests.
func BenchmarkSidecarControl(b *testing.B) {
	for b.Loop() {
		f := newFleet(b)
		beside := []endpoint{}
		for i := range workersBeside {
			beside = append(beside, model(fmt.Sprint("engine-", i), engine.New()))
		}
		observe(b, f.sidecar("sidecar-1", beside...))
	}
}

// BenchmarkEntryControl measures an entry that hears of a whole fleet and
// serves no requests, by the number of workers and of workspaces.
func BenchmarkEntryControl(b *testing.B) {
	for _, size := range []struct{ workers, workspaces int }{{20, 10}, {200, 10}, {1300, 10}, {1300, 1000}, {1300, 6800}} {
		b.Run(fmt.Sprintf("workers=%d/workspaces=%d", size.workers, size.workspaces), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b)
				f.addWorkspaces(size.workspaces)
				rows := f.listWorkers(size.workers)
				entry := f.entry("entry-1")
				stop := sendReports(b, entry, rows)
				observe(b, entry)
				stop()
			}
		})
	}
}

// addWorkspaces has n workspaces accepted, as many to a change as fit.
func (f *fleet) addWorkspaces(n int) {
	const each = 400
	for from := 0; from < n; from += each {
		names := []string{}
		for i := from; i < min(from+each, n); i++ {
			names = append(names, fmt.Sprintf(`{"name": "workspace-%05d"}`, i))
		}
		f.change(`{"set": {"workspaces": [` + strings.Join(names, ",") + `]}}`)
	}
}

// listWorkers lists the sidecars of n workers, which do not exist.
func (f *fleet) listWorkers(n int) []carawayspread.Instance {
	rows := []carawayspread.Instance{}
	for i := 0; i < n; i += workersBeside {
		row := carawayspread.Instance{
			ID: fmt.Sprintf("sidecar-%04d", i), Role: carawayspread.InstanceSidecar, State: carawayspread.InstanceLive,
			Region: "local", Zone: fmt.Sprint("zone-", i%13), Address: "127.0.0.1:9", Control: "127.0.0.1:9",
		}
		for k := range workersBeside {
			row.Endpoints = append(row.Endpoints, carawayspread.InstanceEndpoint{
				ID: carawayspread.EndpointID(fmt.Sprintf("worker-%04d", i+k)), Service: "assistant",
			})
		}
		f.list.Put(row)
		rows = append(rows, row)
	}
	return rows
}

// sendReports sends the reports of all sidecars at the interval that they would
// keep, and reports the bytes that the entry receives.
func sendReports(b *testing.B, entry *process, rows []carawayspread.Instance) (stop func()) {
	socket, err := report.Listen("127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	to := []netip.AddrPort{netip.MustParseAddrPort(entry.row.Control)}
	reporters := make([]*reporter.Reporter, len(rows))
	for i, row := range rows {
		reporters[i] = reporter.New(row.ID, time.Now())
		for range warmUp + i%warmUp {
			_ = socket.Send(reporters[i].Next(loadsOf(row), 1, false), to)
		}
		time.Sleep(time.Millisecond)
	}
	var bytes atomic.Int64
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			from := i % len(rows)
			next := reporters[from].Next(loadsOf(rows[from]), 1, false)
			bytes.Add(int64(report.Size(next)))
			_ = socket.Send(next, to)
			select {
			case <-done:
				return
			case <-time.After(report.Interval(len(rows), reporters[from].Bytes()) / time.Duration(len(rows))):
			}
		}
	}()
	time.Sleep(settle)
	began, before := time.Now(), bytes.Load()
	return func() {
		b.ReportMetric(float64(bytes.Load()-before)/time.Since(began).Seconds(), "report-B/s")
		b.ReportMetric(report.Interval(len(rows), reporters[0].Bytes()).Seconds(), "report-interval-s")
		close(done)
		<-ended
		_ = socket.Close()
	}
}

func loadsOf(row carawayspread.Instance) []*control.EndpointLoad {
	loads := []*control.EndpointLoad{}
	for _, e := range row.Endpoints {
		loads = append(loads, &control.EndpointLoad{
			Endpoint: string(e.ID), Running: 12, Waiting: 3, Slots: 16, Role: "both",
			PrefillRate: 20000, DecodeRate: 3200, AgeMs: 500,
		})
	}
	return loads
}
