package gatewayd

import (
	"math"
	"runtime"
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against connections that are turned away for garbage, which the collector would remove: only what is in use
// counts, and all of that.
func TestGarbageIsNotInUse(t *testing.T) {
	const (
		granted = 1 << 30
		held    = 256 << 20
		part    = float64(held) / granted
	)
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(math.MaxInt64))
	debug.FreeOSMemory()
	m := newMemoryMeter(granted)
	inUse, total := m.read()
	garbage := make([]byte, held)
	garbage[0] = 1
	runtime.KeepAlive(garbage)
	inUseWithGarbage, totalWithGarbage := m.read()
	qt.Check(t, inUseWithGarbage-inUse < part/8, qt.IsTrue, qt.Commentf("%.3f after %.3f", inUseWithGarbage, inUse))
	qt.Check(t, totalWithGarbage-total > part/2, qt.IsTrue, qt.Commentf("%.3f after %.3f", totalWithGarbage, total))
	kept := make([]byte, held)
	kept[0] = 1
	runtime.GC()
	inUseKept, _ := m.read()
	qt.Check(t, inUseKept-inUse > 7*part/8, qt.IsTrue, qt.Commentf("%.3f after %.3f", inUseKept, inUse))
	runtime.KeepAlive(kept)
}
