package ledger

import (
	"context"
	"errors"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/process/entry"
	"carawayspread/internal/request/call"
	"carawayspread/internal/standin/table"
)

func TestMain(m *testing.M) {
	// The fixed seed makes every run use the same schedules; no failure files are written.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// store is a table whose reads fail with readErr if it is set, and whose next write is delayed if
// delayNext is set.
type store struct {
	carawayspread.Table
	service   *table.Table
	readErr   error
	delayNext bool
	delayed   [][]carawayspread.Write
}

func (s *store) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	if s.readErr != nil {
		return carawayspread.Item{}, s.readErr
	}
	return s.Table.Get(ctx, key)
}

func (s *store) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	if s.delayNext {
		s.delayNext = false
		s.delayed = append(s.delayed, writes)
		return errors.New("no answer in time")
	}
	return s.Table.Apply(ctx, writes...)
}

// deliverDelayed applies the delayed writes; those whose condition no longer holds fail.
func (s *store) deliverDelayed() {
	for _, writes := range s.delayed {
		_ = s.Table.Apply(context.Background(), writes...)
	}
	s.delayed = nil
}

func (s *store) recover() {
	s.service.Clear()
	s.readErr = nil
}

type objects map[string][]byte

func (o objects) Get(_ context.Context, name string) ([]byte, error) {
	body, ok := o[name]
	if !ok {
		return nil, carawayspread.ErrNoObject
	}
	return body, nil
}

func (o objects) Put(_ context.Context, name string, body []byte) error {
	o[name] = body
	return nil
}

func start(t testing.TB) (*store, *clockwork.FakeClock, func() *Ledger) {
	service := table.New(carawayspread.SystemClock())
	server := httptest.NewServer(service)
	client := dynamodb.New(server.URL)
	t.Cleanup(func() { client.Close(); server.Close() })
	s, clock, answers := &store{Table: client, service: service}, clockwork.NewFakeClock(), objects{}
	return s, clock, func() *Ledger { return New(s, answers, clock) }
}

func request(t testing.TB, key, body string) *call.Call {
	cfg := carawayspread.NewConfig(1,
		map[string]carawayspread.Class{"receipt": carawayspread.NewClass("receipt", carawayspread.NewTarget(0, 0, time.Second, 1), true)},
		map[string]carawayspread.Workspace{"vanua": carawayspread.NewWorkspace("vanua")},
		map[string]carawayspread.Service{"records": carawayspread.NewService("records", carawayspread.KindPlain, nil, false)})
	r := httptest.NewRequest(http.MethodPost, "/services/records/receipts", strings.NewReader(body))
	r.Header.Set("X-Workspace", "vanua")
	r.Header.Set("X-Class", "receipt")
	r.Header.Set("Idempotency-Key", key)
	c, err := call.Read(httptest.NewRecorder(), r, cfg, call.Limits{Body: 1 << 20}, "id", time.Now())
	qt.Assert(t, err, qt.IsNil)
	return c
}

func code(err error) carawayspread.Code {
	if e, ok := carawayspread.AsError(err); ok {
		return e.Code()
	}
	return ""
}

var answer = entry.Stored{Status: http.StatusCreated, Header: map[string]string{"Content-Type": "text/plain"}, Body: []byte("receipt 7")}

// A request is claimed and ends in each of the possible ways, and the caller retries it through
// another entry. Guards against a retry that gets another outcome than the recorded one, and
// against a second run of a request that may have run.
func TestRetryThroughAnotherEntry(t *testing.T) {
	long := answer
	long.Body = []byte(strings.Repeat("x", 2*inlineLimit))
	tests := map[string]struct {
		end      func(entry.Claim) error
		after    time.Duration
		body     string
		unlisted bool // the first entry is not in the instance list
		stored   *entry.Stored
		code     carawayspread.Code // empty if the request is claimed again
	}{
		"running":                {end: func(entry.Claim) error { return nil }, code: carawayspread.CodeInProgress},
		"past the deadline":      {end: func(entry.Claim) error { return nil }, after: time.Hour, code: carawayspread.CodeUnknownOutcome},
		"entry not listed yet":   {end: func(entry.Claim) error { return nil }, unlisted: true, code: carawayspread.CodeInProgress},
		"entry no longer listed": {end: func(entry.Claim) error { return nil }, unlisted: true, after: time.Minute, code: carawayspread.CodeUnknownOutcome},
		"entry listed":           {end: func(entry.Claim) error { return nil }, after: time.Minute, code: carawayspread.CodeInProgress},
		"done":                   {end: func(c entry.Claim) error { return c.Done(t.Context(), answer) }, stored: &answer},
		"done and long":          {end: func(c entry.Claim) error { return c.Done(t.Context(), long) }, stored: &long},
		"not run":                {end: func(c entry.Claim) error { return c.Failed(t.Context()) }},
		"unknown":                {end: func(c entry.Claim) error { return c.Unknown(t.Context()) }, code: carawayspread.CodeUnknownOutcome},
		"expired":                {end: func(c entry.Claim) error { return c.Done(t.Context(), answer) }, after: 25 * time.Hour},
		"other request":          {end: func(c entry.Claim) error { return c.Failed(t.Context()) }, body: "other", code: carawayspread.CodeKeyReused},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, clock, newLedger := start(t)
			claim, _, err := newLedger().Begin(t.Context(), request(t, "k", ""))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, test.end(claim), qt.IsNil)
			clock.Advance(test.after)
			for range 2 {
				other := newLedger()
				WithInstances("entry-2", func(string) bool { return !test.unlisted })(other)
				again, stored, err := other.Begin(t.Context(), request(t, "k", test.body))
				qt.Check(t, code(err), qt.Equals, test.code)
				qt.Check(t, stored, qt.DeepEquals, test.stored)
				if again == nil {
					continue
				}
				qt.Check(t, test.stored == nil && test.code == "", qt.IsTrue)
				qt.Assert(t, again.Failed(t.Context()), qt.IsNil)
			}
		})
	}
}

// Guards against a refusal during a table outage that states "not run" although an earlier request
// with the key may have run, and against refusals that give no Retry-After. A claim that may have
// been written is withdrawn once the table is back, so that a retry runs instead of ending as
// unknown.
func TestStoreDown(t *testing.T) {
	tests := map[string]func(*store){
		"before the write":        func(s *store) { s.service.SetDown(true) },
		"answer lost":             func(s *store) { s.service.LoseAnswers(1); s.readErr = errors.New("down") },
		"claim delayed":           func(s *store) { s.delayNext, s.readErr = true, errors.New("down") },
		"claim delayed, readable": func(s *store) { s.delayNext = true },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			s, _, newLedger := start(t)
			first := newLedger()
			fail(s)
			claim, _, err := first.Begin(t.Context(), request(t, "k", ""))
			qt.Assert(t, claim, qt.IsNil)
			qt.Assert(t, code(err), qt.Equals, carawayspread.CodeStoreUnavailable)
			refusal, _ := carawayspread.AsError(err)
			qt.Check(t, refusal.NotRun(), qt.IsFalse)
			qt.Check(t, refusal.RetryAfter() > 0, qt.IsTrue)
			s.recover()
			first.flush(t.Context())
			s.deliverDelayed()
			claim, _, err = newLedger().Begin(t.Context(), request(t, "k", ""))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, claim, qt.IsNotNil)
		})
	}
}

// The claim takes effect but the answer to the write is lost, while the table can be read. Guards
// against a claimant that does not recognize its own claim, in which case nobody would run the
// request.
func TestLostClaimIsReadBack(t *testing.T) {
	s, _, newLedger := start(t)
	s.service.LoseAnswers(1)
	claim, _, err := newLedger().Begin(t.Context(), request(t, "k", ""))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, claim, qt.IsNotNil)
}

// The answer is complete while the table is down. Before the deadline of the claim the caller gets
// it, and the record is written when the table is back. After the deadline unknown may have been
// reported to a retry, so no final outcome may be reported.
func TestAnswerCompleteWhileStoreIsDown(t *testing.T) {
	tests := map[string]struct {
		delay time.Duration
		code  carawayspread.Code
	}{
		"before the deadline": {},
		"after the deadline":  {delay: time.Hour, code: carawayspread.CodeStoreUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, clock, newLedger := start(t)
			l := newLedger()
			claim, _, err := l.Begin(t.Context(), request(t, "k", ""))
			qt.Assert(t, err, qt.IsNil)
			clock.Advance(test.delay)
			s.service.SetDown(true)
			qt.Check(t, code(claim.Done(t.Context(), answer)), qt.Equals, test.code)
			if test.code != "" {
				qt.Check(t, code(claim.Unknown(t.Context())), qt.Equals, test.code)
			}
			s.recover()
			l.flush(t.Context())
			_, stored, err := newLedger().Begin(t.Context(), request(t, "k", ""))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, stored, qt.DeepEquals, &answer)
		})
	}
}

// A claimant is paused past its deadline, a retry gets unknown, and the claimant then resumes with a
// complete answer. Guards against reporting that answer: its caller and all later retries must get
// unknown as well.
func TestPausedClaimantReportsUnknown(t *testing.T) {
	_, clock, newLedger := start(t)
	claim, _, err := newLedger().Begin(t.Context(), request(t, "k", ""))
	qt.Assert(t, err, qt.IsNil)
	clock.Advance(time.Hour)
	_, _, err = newLedger().Begin(t.Context(), request(t, "k", ""))
	qt.Assert(t, code(err), qt.Equals, carawayspread.CodeUnknownOutcome)
	qt.Check(t, code(claim.Done(t.Context(), answer)), qt.Equals, carawayspread.CodeUnknownOutcome)
	_, _, err = newLedger().Begin(t.Context(), request(t, "k", ""))
	qt.Check(t, code(err), qt.Equals, carawayspread.CodeUnknownOutcome)
}

// Runs random schedules of one key: three entries claim it, run it or are refused, report an
// outcome or none, while the table is down, cannot be read, loses answers or applies writes late.
// The request runs at most once, nothing else is reported after unknown, and "not run" is never
// reported after a run.
func TestRandomSchedules(t *testing.T) {
	s, clock, newLedger := start(t)
	rapid.Check(t, func(rt *rapid.T) {
		s.recover()
		s.deliverDelayed()
		key := rapid.StringMatching("[a-z]{16}").Draw(rt, "key")
		ledgers := []*Ledger{newLedger(), newLedger(), newLedger()}
		var openClaims []entry.Claim
		runs, unknownReported := 0, false
		checkReported := func(err error, answered bool) {
			e, refused := carawayspread.AsError(err)
			switch {
			case refused && e.Code() == carawayspread.CodeUnknownOutcome:
				unknownReported = true
			case answered && unknownReported:
				rt.Fatal("an answer was reported after unknown")
			case answered && runs != 1, refused && e.NotRun() && runs > 0:
				rt.Fatalf("reported %v after %d runs", err, runs)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"begin": func(rt *rapid.T) {
				claim, stored, err := ledgers[rapid.IntRange(0, 2).Draw(rt, "entry")].Begin(context.Background(), request(t, key, ""))
				checkReported(err, stored != nil)
				if claim != nil {
					openClaims = append(openClaims, claim)
				}
			},
			"end": func(rt *rapid.T) {
				if len(openClaims) == 0 {
					rt.Skip()
				}
				i := rapid.IntRange(0, len(openClaims)-1).Draw(rt, "claim")
				claim := openClaims[i]
				openClaims = append(openClaims[:i:i], openClaims[i+1:]...)
				switch rapid.SampledFrom([]string{"served", "refused", "cut", "lost"}).Draw(rt, "end") {
				case "served":
					runs++
					err := claim.Done(context.Background(), answer)
					if err != nil {
						err = claim.Unknown(context.Background())
						checkReported(err, false)
						unknownReported = unknownReported || err == nil
						return
					}
					checkReported(nil, true)
				case "refused":
					if err := claim.Failed(context.Background()); err == nil && runs > 0 {
						rt.Fatal("reported not run after a run")
					}
				case "cut":
					runs++
					err := claim.Unknown(context.Background())
					checkReported(err, false)
					unknownReported = unknownReported || err == nil
				}
				if runs > 1 {
					rt.Fatal("ran twice")
				}
			},
			"wait":    func(*rapid.T) { clock.Advance(20 * time.Minute) },
			"lose":    func(*rapid.T) { s.service.LoseAnswers(1) },
			"late":    func(*rapid.T) { s.delayNext = true },
			"arrive":  func(*rapid.T) { s.deliverDelayed() },
			"down":    func(*rapid.T) { s.service.SetDown(true) },
			"unread":  func(*rapid.T) { s.readErr = errors.New("down") },
			"recover": func(*rapid.T) { s.recover() },
			"later":   func(rt *rapid.T) { ledgers[rapid.IntRange(0, 2).Draw(rt, "entry")].flush(context.Background()) },
		})
	})
}
