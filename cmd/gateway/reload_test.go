package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"carawayspread/internal/version/gatewaysettings"
)

// Guards against an operator who cannot tell which settings a process runs, and after a SIGHUP
// whether the file holds others. A running process keeps its settings.
func TestReloadSaysWhichSettings(t *testing.T) {
	const text = `{"instance":{"id":"g","zone":"z"},"addresses":{"listen":"127.0.0.1:1","health":"127.0.0.1:2","peer":"127.0.0.1:3","metrics":"127.0.0.1:4"},
		"store":"127.0.0.1:5","seeds":[],"grace":"8s","memoryMegabytes":100,"retries":{"ratio":0.2,"slack":50,"window":"10s"}}`
	name := filepath.Join(t.TempDir(), "settings.jsonc")
	qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	running, err := gatewaysettings.Read(name)
	qt.Assert(t, err, qt.IsNil)
	var mu sync.Mutex
	var seen []log.Fields
	log.SetHandler(log.HandlerFunc(func(e *log.Entry) error {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, e.Fields)
		return nil
	}))
	t.Cleanup(func() { log.SetHandler(discard.New()) })
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reportReloads(ctx, hangups, name, running)
	}()
	// reloadUntil has the file read until a log line reports whether it holds other settings.
	reloadUntil := func(changed bool) (fields log.Fields) {
		waitUntil(t, func() bool {
			qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
			time.Sleep(10 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			if len(seen) > 0 {
				fields = seen[len(seen)-1]
			}
			return fields["changed"] == changed
		})
		return fields
	}
	same := reloadUntil(false)
	other := strings.Replace(text, `"slack":50`, `"slack":60`, 1)
	qt.Assert(t, os.WriteFile(name, []byte(other), 0o600), qt.IsNil)
	changed := reloadUntil(true)
	stop()
	<-ended
	qt.Check(t, same["file"], qt.Equals, running.Digest())
	qt.Check(t, changed["running"], qt.Equals, running.Digest())
	qt.Check(t, changed["file"], qt.Not(qt.Equals), running.Digest())
}

// Guards against metrics that lack the settings of a process, or the age of its routes and endpoints.
func TestMetricsNameTheSettings(t *testing.T) {
	f := newFleet(t)
	f.putServer(startWorker(t, "w"), "plain", "", "ready", 1)
	f.start(t)
	f.waitReady(t)
	resp, err := http.Get("http://" + f.daemon.MetricsAddress() + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	qt.Assert(t, err, qt.IsNil)
	for _, want := range []string{
		`gateway_settings_info{instance="g",zone="z",settings="` + f.settings.Digest() + `"} 1`,
		"gateway_reads_store 1", `gateway_confirmed_seconds_ago{of="endpoints"}`, "gateway_routes_version 1",
	} {
		qt.Check(t, string(body), qt.Contains, want)
	}
}
