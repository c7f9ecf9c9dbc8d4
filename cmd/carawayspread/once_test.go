package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/standin/plain"
)

// Guards against a receipt that is issued twice, and against retries that get different answers. A
// caller requests one receipt under one idempotency key and retries twice through another entry. A
// fault occurs before the first request or while its receipt is being issued. Both retries must get
// the same answer, which is the first answer where that one was final.
func TestReceiptIsIssuedAtMostOnce(t *testing.T) {
	const created, conflict = http.StatusCreated, http.StatusConflict
	tests := map[string]struct {
		before, during func(f *fleet, entry, sidecar *process)
		first          carawayspread.Code // empty for the receipt, or where the entry is killed
		status         int                // of the retries
		retry          carawayspread.Code
		issued         int
	}{
		"no fault":             {status: created, issued: 1},
		"answer to claim lost": {before: func(f *fleet, _, _ *process) { f.table.LoseAnswers(1) }, status: created, issued: 1},
		"answer to end lost":   {during: func(f *fleet, _, _ *process) { f.table.LoseAnswers(1) }, status: created, issued: 1},
		"table down at end": {
			during: func(f *fleet, _, _ *process) { f.table.SetDown(true) }, status: created, issued: 1,
		},
		"table down": {
			before: func(f *fleet, _, _ *process) { f.table.SetDown(true) },
			first:  carawayspread.CodeStoreUnavailable, status: created, issued: 1,
		},
		"entry killed": {
			during: func(_ *fleet, entry, _ *process) { entry.kill() },
			status: conflict, retry: carawayspread.CodeInProgress, issued: 1,
		},
		"sidecar killed": {
			during: func(_ *fleet, _, sidecar *process) { sidecar.kill() },
			first:  carawayspread.CodeUnknownOutcome, status: conflict, retry: carawayspread.CodeUnknownOutcome, issued: 1,
		},
		"entry paused": {
			during: func(_ *fleet, entry, _ *process) {
				entry.signal(syscall.SIGSTOP)
				time.AfterFunc(time.Second, func() { entry.signal(syscall.SIGCONT) })
			},
			status: created, issued: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			service := plain.New(500 * time.Millisecond)
			sidecar := f.sidecar("sidecar-1", records("records-1", service))
			entry, other := f.entry("entry-1"), f.entry("entry-2")
			issue := func(p *process) answer {
				return call(p, http.MethodPost, "/services/records/receipts", "finding", "parcel 7", nil, "Idempotency-Key", "k")
			}
			if test.before != nil {
				test.before(f, entry, sidecar)
			}
			if test.during != nil {
				go func() {
					f.eventually(func() bool { return len(service.Receipts()) == 1 })
					test.during(f, entry, sidecar)
				}()
			}
			first := issue(entry)
			f.table.Clear()
			if first.err == nil {
				qt.Check(t, first.code(), qt.Equals, string(test.first))
			}
			second := answer{}
			f.eventually(func() bool { // withdrawing a claim or recording the outcome late takes a second
				second = issue(other)
				return second.status == test.status && second.code() == string(test.retry)
			})
			third := issue(other)
			qt.Check(t, third.status, qt.Equals, second.status)
			qt.Check(t, third.body, qt.Equals, second.body)
			if test.status == created && test.first == "" {
				qt.Check(t, second.body, qt.Equals, first.body)
			}
			qt.Check(t, service.Receipts(), qt.HasLen, test.issued)
		})
	}
}
