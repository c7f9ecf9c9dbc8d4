package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Another writer leaves an odd entry among those of the workers, in the configuration or in the status: callers'
// connections are cut as requests panic, and the process follows no entry from then on.
func TestOddEntryBreaksNoRequests(t *testing.T) {
	entry := func(fields string) string {
		return `{"service":"plain","address":"127.0.0.1:9","zone":"z","slots":8,"state":"ready","seq":1` + fields + `}`
	}
	odd := map[string]struct{ table, key, value string }{
		"slots that overflow":      {"servers", "odd", entry(`,"slots":4611686018427387904`)},
		"the largest slots":        {"servers", "odd", entry(`,"slots":9223372036854775807`)},
		"slots beyond 64 bits":     {"servers", "odd", entry(`,"slots":9223372036854775808`)},
		"port 0":                   {"servers", "odd", entry(`,"address":"127.0.0.1:0"`)},
		"port out of range":        {"servers", "odd", entry(`,"address":"127.0.0.1:70000"`)},
		"multicast":                {"servers", "odd", entry(`,"address":"224.0.0.1:80"`)},
		"nested":                   {"servers", "odd", strings.Repeat("[", 100_000)},
		"born nested":              {"servers", "odd", entry(`,"born":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000))},
		"key that no header holds": {"servers", "odd\r\nX: y", entry("")},
		"cut off":                  {"servers", "odd", entry("")[:50]},
		"configuration nested":     {"op", "config", strings.Repeat(`{"version":`, 20_000)},
		"configuration cut off":    {"op", "config", `{"version":2,"routes":[`},
		"configuration a list":     {"op", "config", `[]`},
		"version too large":        {"op", "config", `{"version":18446744073709551616,"routes":[]}`},
		"another row beside it":    {"op", "config2", strings.Repeat("[", 20_000)},
		"status nested":            {"status", "odd", strings.Repeat("[", 20_000)},
	}
	f := newFleet(t)
	n, version := 0, 1
	served := func(of, by string) bool {
		n++
		resp, body, err := f.send("GET", fmt.Sprint("/lookup/", n), fmt.Sprint("id-", n), "")
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s: request %d", of, n))
		qt.Assert(t, resp.StatusCode, qt.Equals, 200, qt.Commentf("%s: request %d: %s", of, n, body))
		return strings.HasPrefix(body, by+" ")
	}
	last := startWorker(t, "w")
	f.putServer(last, "plain", "", "ready", 1)
	f.start(t)
	f.waitReady(t)
	waitUntil(t, func() bool { return f.daemon.Ready() && served("none", "w") })
	for _, name := range slices.Sorted(maps.Keys(odd)) {
		f.store.Put(odd[name].table, odd[name].key, []byte(odd[name].value))
		next := startWorker(t, fmt.Sprint("w", n))
		f.putServer(next, "plain", "", "ready", 1)
		f.putServer(last, "plain", "", "draining", 2)
		waitUntil(t, func() bool { return served(name, next.ID()) })
		version++
		f.publishRoutes(version, "model")
		waitUntil(t, func() bool {
			served(name, next.ID())
			return strings.Contains(f.out.String(), fmt.Sprintf("id=id-%d version=%d ", n, version))
		})
		waitUntil(t, func() bool {
			before := last.Runs()
			for range 5 {
				served(name, next.ID())
			}
			return last.Runs() == before
		})
		f.store.Remove("servers", last.ID())
		if odd[name].table != "op" {
			f.store.Remove(odd[name].table, odd[name].key)
		}
		last = next
	}
}
