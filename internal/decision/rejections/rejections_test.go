package rejections

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Guards against memory that grows with the keys that somebody guesses.
func TestGuessesAreBounded(t *testing.T) {
	r := New()
	qt.Check(t, r.Holds(carawayspread.DigestKey("guess 0")), qt.IsFalse)
	for i := range 3 * most {
		key := carawayspread.DigestKey(fmt.Sprint("guess ", i))
		r.Add(key)
		qt.Assert(t, r.Holds(key), qt.IsTrue)
		qt.Assert(t, len(r.keys) <= most, qt.IsTrue)
	}
}
