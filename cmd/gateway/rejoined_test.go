package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/worker"
)

// lose ends the gateway and waits until it has ended.
func (f *fleet) lose() {
	f.stop()
	f.ended <- <-f.ended // for the cleanup
}

// next returns a gateway that starts with the same store, and with further fields in its settings.
func (f *fleet) next(t *testing.T, fields string) *fleet {
	t.Helper()
	next := &fleet{store: f.store, settings: parseSettings(t, f.settings.Store(), fields), out: &logBuffer{}, ended: make(chan error, 1)}
	next.start(t)
	next.waitReady(t)
	time.Sleep(listTime)
	return next
}

// Callers take up their streams after all processes were lost at once, and are told 200 and get the rest from
// another version of the engine's software: the engines of the old one have just left, so that the processes
// that came back list one version. Or they are refused although there never was another version.
func TestStreamsAfterAllProcessesWereLost(t *testing.T) {
	const first, later = `,"firstStart":true`, ""
	for name, test := range map[string]struct {
		names   bool   // the caller names the attempt that began the stream
		leaves  string // when the engines of its version leave: before, meanwhile, or never
		fields  string // of the settings of the process that comes back
		goesOn  bool
		restart bool // once more, before the caller comes back
	}{
		"the old version left before, no attempt named":                  {leaves: "before", fields: later},
		"the old version left before, no attempt named, first run":       {leaves: "before", fields: first},
		"the old version left before, an attempt named":                  {leaves: "before", fields: later, names: true},
		"the old version left before, an attempt named, first run":       {leaves: "before", fields: first, names: true},
		"the old version left meanwhile, no attempt named":               {leaves: "meanwhile", fields: later},
		"the old version left meanwhile, no attempt named, first run":    {leaves: "meanwhile", fields: first},
		"the old version left meanwhile, an attempt named, first run":    {leaves: "meanwhile", fields: first, names: true},
		"the old version left meanwhile, two losses, first run":          {leaves: "meanwhile", fields: first, restart: true},
		"one version all along, no attempt named":                        {fields: later, goesOn: true},
		"one version all along, no attempt named, first run":             {fields: first, goesOn: true},
		"one version all along, an attempt named":                        {fields: later, names: true, goesOn: true},
		"one version all along, an attempt named, first run, two losses": {fields: first, names: true, restart: true, goesOn: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleetWith(t, first)
			began, sibling, newer := startWorker(t, "w-began", worker.Truncate), startWorker(t, "w-sibling"), startWorker(t, "w-newer")
			f.listBuild(t, began, "v1", 1)
			f.start(t)
			f.waitReady(t)
			_, body, err := f.stream("id-0", "", "")
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, strings.Count(body, "data: part"), qt.Equals, 1)
			if test.leaves == "" {
				f.listBuild(t, sibling, "v1", 1)
			} else {
				f.listBuild(t, newer, "v2", 1)
			}
			time.Sleep(listTime)
			if test.leaves == "before" {
				f.store.Remove("servers", began.ID())
				time.Sleep(listTime)
			}
			f.lose()
			if test.leaves == "meanwhile" {
				f.store.Remove("servers", began.ID())
			}
			process := f.next(t, test.fields)
			if test.restart {
				process.lose()
				process = process.next(t, test.fields)
			}
			resumes := ""
			if test.names {
				resumes = "id-0"
			}
			status, body, err := process.stream("id-1", resumes, "1")
			qt.Check(t, ran("id-1", newer), qt.IsFalse)
			qt.Assert(t, err, qt.IsNil)
			if !test.goesOn {
				qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
				qt.Check(t, body, qt.Contains, `"notRun":true`)
				return
			}
			qt.Check(t, status, qt.Equals, http.StatusOK)
			qt.Check(t, strings.Count(body, "data: part"), qt.Equals, worker.Events-1)
		})
	}
}
