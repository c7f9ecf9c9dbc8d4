package hopbyhop

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against hop-by-hop headers that are forwarded, and end-to-end headers that are not.
func TestStrip(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Once", "x-twice"}, "Keep-Alive": {"timeout=10"}, "Te": {"trailers"},
		"X-Once": {"1"}, "X-Twice": {"2"}, "X-Kept": {"3"}, "Content-Type": {"text/plain"},
	}
	Strip(h)
	qt.Check(t, h, qt.DeepEquals, http.Header{"X-Kept": {"3"}, "Content-Type": {"text/plain"}})
}
