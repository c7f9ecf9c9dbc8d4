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
	workersPerSidecar = 4
	settleTime        = 6 * time.Second // until the memory of the start is returned
	observeTime       = 10 * time.Second
	warmUpReports     = 3                     // reports of each sidecar; the first ones are full reports
	clockTick         = 10 * time.Millisecond // of /proc/<pid>/stat
)

// usage is the memory and the processor time that a process uses.
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

// observe reports the memory and the processor share of a process without requests.
func observe(b *testing.B, p *process) {
	time.Sleep(settleTime)
	before := p.usage()
	time.Sleep(observeTime)
	after := p.usage()
	b.ReportMetric(float64(after.resident)/(1<<20), "resident-MB")
	b.ReportMetric(100*float64(after.cpu-before.cpu)/float64(observeTime), "cpu-%")
}

// BenchmarkSidecarControl measures a sidecar with four engines and no requests.
func BenchmarkSidecarControl(b *testing.B) {
	for b.Loop() {
		f := newFleet(b)
		endpoints := []endpoint{}
		for i := range workersPerSidecar {
			endpoints = append(endpoints, model(fmt.Sprint("engine-", i), engine.New()))
		}
		observe(b, f.sidecar("sidecar-1", endpoints...))
	}
}

// BenchmarkEntryControl measures an entry that receives the load reports of a whole fleet and serves
// no requests, by the number of workers and of workspaces.
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

// addWorkspaces adds n workspaces to the configuration, as many per change as fit.
func (f *fleet) addWorkspaces(n int) {
	const perChange = 400
	for from := 0; from < n; from += perChange {
		names := []string{}
		for i := from; i < min(from+perChange, n); i++ {
			names = append(names, fmt.Sprintf(`{"name": "workspace-%05d"}`, i))
		}
		f.change(`{"set": {"workspaces": [` + strings.Join(names, ",") + `]}}`)
	}
}

// listWorkers adds the sidecars of n workers to the instance list. No such processes run.
func (f *fleet) listWorkers(n int) []carawayspread.Instance {
	rows := []carawayspread.Instance{}
	for i := 0; i < n; i += workersPerSidecar {
		row := carawayspread.Instance{
			ID: fmt.Sprintf("sidecar-%04d", i), Role: carawayspread.InstanceSidecar, State: carawayspread.InstanceLive,
			Region: "local", Zone: fmt.Sprint("zone-", i%13), Address: "127.0.0.1:9", Control: "127.0.0.1:9",
		}
		for k := range workersPerSidecar {
			row.Endpoints = append(row.Endpoints, carawayspread.InstanceEndpoint{
				ID: carawayspread.EndpointID(fmt.Sprintf("worker-%04d", i+k)), Service: "assistant",
			})
		}
		f.list.Put(row)
		rows = append(rows, row)
	}
	return rows
}

// sendReports sends the load reports of all sidecars at the interval that real ones use, until stop
// is called, which reports the rate in bytes that the entry receives.
func sendReports(b *testing.B, entry *process, rows []carawayspread.Instance) (stop func()) {
	socket, err := report.Listen("127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	to := []netip.AddrPort{netip.MustParseAddrPort(entry.row.Control)}
	reporters := make([]*reporter.Reporter, len(rows))
	for i, row := range rows {
		reporters[i] = reporter.New(row.ID, time.Now())
		for range warmUpReports + i%warmUpReports {
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
	time.Sleep(settleTime)
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
