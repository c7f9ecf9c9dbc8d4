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

// issuers maps the endpoints of a records service to their sidecars.
type issuers map[*plain.Service]*process

// receipts returns how many receipts were issued, and the sidecar of an endpoint that issued one.
func (i issuers) receipts() (n int, sidecar *process) {
	for service, s := range i {
		if issued := len(service.Receipts()); issued > 0 {
			n, sidecar = n+issued, s
		}
	}
	return n, sidecar
}

// onceFleet starts two endpoints of a records service, whose receipts take 300 ms, each behind its
// sidecar, and two entries.
func onceFleet(t *testing.T) (f *fleet, service issuers, entries []*process) {
	f, service = newFleet(t), issuers{}
	for _, id := range []string{"1", "2"} {
		s := plain.New(300 * time.Millisecond)
		service[s] = f.sidecar("sidecar-"+id, records("records-"+id, s))
	}
	return f, service, []*process{f.entry("entry-1"), f.entry("entry-2")}
}

func receipt(p *process, body string) answer {
	return call(p, http.MethodPost, "/services/records/receipts", "interactive", body, nil, "Idempotency-Key", "claim-7")
}

// issued waits until a receipt is issued and returns the sidecar of its endpoint.
func (f *fleet) issued(service issuers) (sidecar *process) {
	f.eventually(func() bool { _, sidecar = service.receipts(); return sidecar != nil })
	return sidecar
}

func checkReceipts(t *testing.T, service issuers, want int) {
	t.Helper()
	n, _ := service.receipts()
	qt.Check(t, n, qt.Equals, want)
}

// Guards against an idempotency key under which a request runs twice. The caller requests a receipt
// and retries through another entry under the same key: the retry gets the stored answer. Another
// body under the same key is refused.
func TestReceiptIsReplayed(t *testing.T) {
	_, service, entries := onceFleet(t)
	first, second := receipt(entries[0], "a"), receipt(entries[1], "a")
	qt.Check(t, first.status, qt.Equals, http.StatusCreated)
	qt.Check(t, second.status, qt.Equals, first.status)
	qt.Check(t, second.body, qt.Equals, first.body)
	qt.Check(t, receipt(entries[1], "b").code(), qt.Equals, string(carawayspread.CodeKeyReused))
	checkReceipts(t, service, 1)
}

// Guards against a receipt of unknown outcome that runs again. The sidecar is killed or paused while
// the receipt runs at its endpoint. No process can prove whether it ran, so none runs it again, and
// every entry answers that the outcome is unknown.
func TestLostReceiptIsUnknown(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "paused": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			f, service, entries := onceFleet(t)
			got := make(chan answer, 1)
			go func() { got <- receipt(entries[0], "a") }()
			f.issued(service).signal(signal)
			first := <-got
			for _, a := range []answer{first, receipt(entries[1], "a"), receipt(entries[0], "a")} {
				qt.Check(t, a.code(), qt.Equals, string(carawayspread.CodeUnknownOutcome), qt.Commentf("%s", a.body))
				qt.Check(t, a.notRun(), qt.IsFalse)
			}
			checkReceipts(t, service, 1)
		})
	}
}

// Guards against a receipt that runs twice because its entry is killed or paused while it runs, and
// the caller retries through another entry. The first entry holds the claim: the second one neither
// runs the receipt nor claims that it has not run.
func TestClaimOfLostEntryIsKept(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "paused": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			f, service, entries := onceFleet(t)
			go func() { receipt(entries[0], "a") }()
			f.issued(service)
			entries[0].signal(signal)
			second := receipt(entries[1], "a")
			qt.Check(t, second.code(), qt.Equals, string(carawayspread.CodeInProgress), qt.Commentf("%s", second.body))
			qt.Check(t, second.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			qt.Check(t, second.notRun(), qt.IsFalse)
			checkReceipts(t, service, 1)
		})
	}
}

// Guards against a claim that is written although its answer is lost. The entry reads its own token
// back and runs the receipt. Without the read-back every retry would find a claim that no process
// executes, and the caller would be refused forever.
func TestClaimWhoseAnswerIsLost(t *testing.T) {
	f, service, entries := onceFleet(t)
	f.table.LoseAnswers(1)
	first := receipt(entries[0], "a")
	qt.Check(t, first.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", first.body))
	qt.Check(t, receipt(entries[1], "a").body, qt.Equals, first.body)
	checkReceipts(t, service, 1)
}

// Guards against a receipt that runs without a record while the table is down: it is refused at once
// with a Retry-After, lookups are served, and after the outage the same key runs once.
func TestReceiptDuringOutage(t *testing.T) {
	f, service, entries := onceFleet(t)
	f.table.SetDown(true)
	refused := receipt(entries[0], "a")
	qt.Check(t, refused.code(), qt.Equals, string(carawayspread.CodeStoreUnavailable), qt.Commentf("%s", refused.body))
	qt.Check(t, refused.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	lookup := call(entries[0], http.MethodGet, "/services/records/records/7", "interactive", "", nil)
	qt.Check(t, lookup.status, qt.Equals, http.StatusOK)
	checkReceipts(t, service, 0)
	f.table.SetDown(false)
	f.eventually(func() bool { return receipt(entries[1], "a").status == http.StatusCreated })
	checkReceipts(t, service, 1)
}
