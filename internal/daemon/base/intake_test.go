package base

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/version/settings"
)

// A process whose settings state no memory must not be taken for one without limits, nor limited below its machine.
func TestMemoryOfTheMachineIsTheDefault(t *testing.T) {
	memory, descriptors := granted(settings.Limits{})
	qt.Check(t, memory > 64<<20, qt.IsTrue, qt.Commentf("%d bytes", memory))
	qt.Check(t, descriptors >= 64, qt.IsTrue, qt.Commentf("%d", descriptors))
}
