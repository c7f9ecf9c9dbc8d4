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

// Callers ask gateways that are processes of their own, while these are killed,
// paused and replaced, workers misbehave and leave, and the ways between fail, in
// series that overlap. Whatever comes together, no promise is broken.
func TestShortSoak(t *testing.T) {
	const size, length = 3, 7 * time.Second
	dir := t.TempDir()
	binary := gateway(t, dir)
	for name, seed := range map[string]uint64{
		"nearly all of the common kinds": 6020,
		"all of the rare kinds":          6028,
	} {
		t.Run(name, func(t *testing.T) {
			var said strings.Builder
			found, err := soak(t.Context(), &said, binary, dir, schedule.Generate(seed, length), size)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, found, qt.HasLen, 0, qt.Commentf("%s", said.String()))
			t.Log(said.String())
		})
	}
}

// Guards against a caller that gets EOF, as its process is told to end and its endpoint
// holds the request beyond the grace.
func TestShortSoakOfStops(t *testing.T) {
	const size, length, seed = 3, 14 * time.Second, 5010
	dir := t.TempDir()
	var said strings.Builder
	found, err := soak(t.Context(), &said, gateway(t, dir), dir, schedule.GenerateStops(seed, length), size)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, found, qt.HasLen, 0, qt.Commentf("%s", said.String()))
}

// gateway builds the program that is played.
func gateway(t *testing.T, dir string) string {
	t.Helper()
	binary := filepath.Join(dir, "gateway")
	out, err := exec.Command("go", "build", "-o", binary, "../gateway").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}
