package sidecarhttp_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/connection/sidecarhttp"
)

func FuzzParseLoad(f *testing.F) {
	f.Add("12 3 16")
	f.Add("-1 0 16")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		load := sidecarhttp.ParseLoad(http.Header{sidecarhttp.HeaderLoad: {text}})
		if load == nil {
			return
		}
		qt.Assert(t, load.Running >= 0 && load.Waiting >= 0 && load.Slots > 0, qt.IsTrue)
		again := http.Header{}
		load.Write(again)
		qt.Assert(t, sidecarhttp.ParseLoad(again), qt.DeepEquals, load)
	})
}

// The header is optional, and an invalid one is treated as missing.
func TestInvalidLoadIsIgnored(t *testing.T) {
	qt.Check(t, sidecarhttp.ParseLoad(http.Header{}), qt.IsNil)
	for _, text := range []string{"", "1 2", "1 2 0", "-1 2 3", "1 -2 3", "a b c"} {
		qt.Check(t, sidecarhttp.ParseLoad(http.Header{sidecarhttp.HeaderLoad: {text}}), qt.IsNil)
	}
	qt.Check(t, sidecarhttp.ParseLoad(http.Header{sidecarhttp.HeaderLoad: {"1 2 3"}}), qt.DeepEquals,
		&sidecarhttp.Load{Running: 1, Waiting: 2, Slots: 3})
}
