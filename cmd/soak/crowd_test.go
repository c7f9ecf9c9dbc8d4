//go:build crowds

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/soak/schedule"
)

// Guards against a process that hangs, ends or forgets its callers as it is killed, paused, restarted or told to end
// while clients that do not behave call it: ordinary callers have the same guarantees as without them.
func TestCrowdsDuringFaults(t *testing.T) {
	const size = 3
	dir := t.TempDir()
	binary := buildGateway(t, dir)
	for name, s := range map[string]*schedule.Schedule{
		"common faults": schedule.Generate(6020, 7*time.Second),
		"stops":         schedule.GenerateStops(5010, 7*time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			var output strings.Builder
			found, err := runSchedule(t.Context(), &output, binary, dir, s, size, load{crowds: true})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, found, qt.HasLen, 0, qt.Commentf("%s", output.String()))
			t.Log(output.String())
			if len(found) > 0 {
				t.Log(closedUnread(t, filepath.Join(dir, fmt.Sprint(s.Seed()))))
			}
		})
	}
}

// closedUnread returns the lines of the logs in a folder that say why connections were closed unread.
func closedUnread(t *testing.T, dir string) string {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	qt.Assert(t, err, qt.IsNil)
	var found strings.Builder
	for _, name := range logs {
		text, err := os.ReadFile(name)
		qt.Assert(t, err, qt.IsNil)
		for line := range strings.Lines(string(text)) {
			for _, event := range []string{"intake", "memory", "connections"} {
				if strings.HasPrefix(line, "event="+event+" ") {
					fmt.Fprintf(&found, "%s: %s", filepath.Base(name), line)
				}
			}
		}
	}
	return found.String()
}
