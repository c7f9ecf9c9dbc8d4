package rejections

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Guards against a cache that grows without bound when a caller guesses keys.
func TestGuessesAreBounded(t *testing.T) {
	r := New()
	qt.Check(t, r.Contains(carawayspread.DigestKey("guess 0")), qt.IsFalse)
	for i := range 3 * maxKeys {
		key := carawayspread.DigestKey(fmt.Sprint("guess ", i))
		r.Add(key)
		qt.Assert(t, r.Contains(key), qt.IsTrue)
		qt.Assert(t, len(r.keys) <= maxKeys, qt.IsTrue)
	}
}
