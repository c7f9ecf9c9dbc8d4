package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/engine"
)

// holdReserve lets the table hold all calls for the start reserves until the channel is closed.
func (f *fleet) holdReserve(until <-chan struct{}) {
	held := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if bytes.Contains(body, []byte(`"starts"`)) {
			select {
			case <-until:
			case <-r.Context().Done():
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		f.table.ServeHTTP(w, r)
	})
	address := serve(f.t, held)
	f.platform = regexp.MustCompile(`"table": "[^"]*"`).ReplaceAllString(f.platform, `"table": "`+address+`"`)
}

// Callers are sent to an entry that has just started and may not retry yet, as the table was not asked whether its
// budgets may be full: what breaks off fails at once. Or a table that is silent keeps the entry from its callers.
func TestEntryIsReadyOnceTheReserveWasAsked(t *testing.T) {
	for name, answers := range map[string]bool{"the table answers late": true, "the table is silent": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			until := make(chan struct{})
			f.holdReserve(until)
			f.sidecar("sidecar-1", model("engine-1", engine.New(engine.TokenEvery(gap))))
			other := f.entry("entry-0") // the table is silent for it, too
			qt.Assert(t, stream(other, "x", 4, nil).complete(), qt.IsTrue)
			began := time.Now()
			p := f.start("entry", "entry-1", fmt.Sprintf(entrySettings, "entry-1", f.platform))
			served := func() bool { return stream(p, "x", 4, nil).complete() }
			f.eventually(served)
			if answers {
				early := ready(p.admin)
				if took := time.Since(began); took < 2*time.Second { // else the entry may have given up on the call
					qt.Check(t, early, qt.IsFalse)
				} else {
					t.Logf("not judged: served after %v", took)
				}
				close(until)
			}
			f.eventually(func() bool { return ready(p.admin) })
		})
	}
}
