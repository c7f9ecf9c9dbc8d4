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

// issuers are the endpoints of a records service with their sidecars.
type issuers map[*plain.Service]*process

// receipts returns how many receipts were issued, and by whom last.
func (i issuers) receipts() (n int, sidecar *process) {
	for service, s := range i {
		if issued := len(service.Receipts()); issued > 0 {
			n, sidecar = n+issued, s
		}
	}
	return n, sidecar
}

// onceFleet is two endpoints of a records service, whose receipts take a while,
// each behind its sidecar, and two entries.
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

// issued waits until a receipt is issued and returns the sidecar before it.
func (f *fleet) issued(service issuers) (sidecar *process) {
	f.eventually(func() bool { _, sidecar = service.receipts(); return sidecar != nil })
	return sidecar
}

func checkReceipts(t *testing.T, service issuers, want int) {
	t.Helper()
	n, _ := service.receipts()
	qt.Check(t, n, qt.Equals, want)
}

// The caller sends a receipt, and sends it again through another entry under
// the same key. It runs once; the second caller gets the stored answer. Under
// the same key another body is refused.
func TestReceiptIsReplayed(t *testing.T) {
	_, service, entries := onceFleet(t)
	first, again := receipt(entries[0], "a"), receipt(entries[1], "a")
	qt.Check(t, first.status, qt.Equals, http.StatusCreated)
	qt.Check(t, again.status, qt.Equals, first.status)
	qt.Check(t, again.body, qt.Equals, first.body)
	qt.Check(t, receipt(entries[1], "b").code(), qt.Equals, string(carawayspread.CodeKeyReused))
	checkReceipts(t, service, 1)
}

// The caller learns that the outcome is unknown, and learns the same from every
// entry that it asks again. The sidecar is killed, or paused, while the receipt
// runs behind it; nobody can prove whether it ran, so nobody runs it again.
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

// The caller's entry is killed, or paused, while the receipt runs, and the
// caller asks again through another. The claim is the first entry's: the
// second neither runs the receipt nor says that it has not run.
func TestClaimOfLostEntryIsKept(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "paused": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			f, service, entries := onceFleet(t)
			go func() { receipt(entries[0], "a") }()
			f.issued(service)
			entries[0].signal(signal)
			again := receipt(entries[1], "a")
			qt.Check(t, again.code(), qt.Equals, string(carawayspread.CodeInProgress), qt.Commentf("%s", again.body))
			qt.Check(t, again.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			qt.Check(t, again.notRun(), qt.IsFalse)
			checkReceipts(t, service, 1)
		})
	}
}

// The table loses the answer to the claim after the claim was written. The
// entry reads its own token back and runs the receipt; without the read-back
// the caller would be refused for ever, each retry finding a claim that nobody
// runs.
func TestClaimWhoseAnswerIsLost(t *testing.T) {
	f, service, entries := onceFleet(t)
	f.table.LoseAnswers(1)
	first := receipt(entries[0], "a")
	qt.Check(t, first.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", first.body))
	qt.Check(t, receipt(entries[1], "a").body, qt.Equals, first.body)
	checkReceipts(t, service, 1)
}

// While the table is down a receipt is refused at once with when to come back,
// lookups are served, and after the outage the same key runs once.
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
