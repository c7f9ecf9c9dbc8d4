package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/soak/schedule"
)

// Guards against guarantees that are violated under combinations of faults. Gateways run as separate
// processes and are killed, paused and replaced while they serve callers, workers misbehave and
// drain, and the network between them fails, in overlapping series.
func TestShortSoak(t *testing.T) {
	const size, length = 3, 7 * time.Second
	dir := t.TempDir()
	binary := buildGateway(t, dir)
	for name, seed := range map[string]uint64{
		"nearly all of the common kinds": 6020,
		"all of the rare kinds":          6028,
	} {
		t.Run(name, func(t *testing.T) {
			var output strings.Builder
			found, err := runSchedule(t.Context(), &output, binary, dir, schedule.Generate(seed, length), size, load{})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, found, qt.HasLen, 0, qt.Commentf("%s", output.String()))
			t.Log(output.String())
		})
	}
}

// Guards against a caller that gets EOF, because its gateway is told to end and its endpoint stalls
// the request for longer than the grace.
func TestShortSoakOfStops(t *testing.T) {
	const size, length, seed = 3, 14 * time.Second, 5010
	dir := t.TempDir()
	var output strings.Builder
	found, err := runSchedule(t.Context(), &output, buildGateway(t, dir), dir, schedule.GenerateStops(seed, length), size, load{})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, found, qt.HasLen, 0, qt.Commentf("%s", output.String()))
}

// Guards against a request that is taken over an open connection by a gateway which ends, and whose answer is cut:
// bodies come slowly, answers end late, and orders to end, restarts and changes overlap.
func TestShortSoakOfDrains(t *testing.T) {
	const size, length, seed = 3, 5 * time.Second, 1
	dir := t.TempDir()
	var output strings.Builder
	found, err := runSchedule(t.Context(), &output, buildGateway(t, dir), dir, schedule.GenerateDrains(seed, length), size, load{drains: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, found, qt.HasLen, 0, qt.Commentf("%s", output.String()))
	t.Log(output.String())
}

// Guards against a stream with events of two builds: the only gateway that outlives the others has missed the beginning
// of a release, and takes the build that it sees for the only one.
func TestSoleSurvivorJoinsNoBuilds(t *testing.T) {
	const size, length, seed = 5, 40 * time.Second, 1
	dir := t.TempDir()
	var output strings.Builder
	found, err := runSchedule(t.Context(), &output, buildGateway(t, dir), dir, schedule.GenerateStrands(seed, length), size, load{releases: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, found, qt.HasLen, 0, qt.Commentf("%s", output.String()))
}

// buildGateway builds the gateway under test and returns its path.
func buildGateway(t *testing.T, dir string) string {
	t.Helper()
	binary := filepath.Join(dir, "gateway")
	out, err := exec.Command("go", "build", "-o", binary, "../gateway").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}
