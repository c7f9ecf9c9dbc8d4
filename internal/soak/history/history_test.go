package history

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/caller"
	"carawayspread/internal/standin/worker"
)

// Guards against a violated guarantee that the soak doesn't report, and against a report of
// what is allowed: each case breaks at most one guarantee.
func TestBreaches(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	served := func(kind caller.Kind, body string) caller.Answer {
		return caller.Answer{ID: "id", Kind: kind, SentAt: at(0), EndedAt: at(time.Second), Status: 200, Seal: "w.id", Body: body}
	}
	refused := caller.Answer{ID: "id", Kind: caller.Unsafe, SentAt: at(0), EndedAt: at(time.Second), Status: 503, HasRetryAfter: true}
	withKind := func(a caller.Answer, kind caller.Kind) caller.Answer { a.Kind = kind; return a }
	unanswered := caller.Answer{ID: "id", Kind: caller.Unsafe, SentAt: at(0), EndedAt: at(time.Second), Err: errors.New("EOF")}
	unconnected := unanswered
	unconnected.Err = &net.OpError{Op: "dial", Err: errors.New("refused")}
	truncated := served(caller.Unsafe, "w answ")
	truncated.Err = errors.New("unexpected EOF")
	late := served(caller.Unsafe, "w answers id")
	late.EndedAt = at(4 * time.Second)
	ran := func(d time.Duration, ids ...string) []worker.Request {
		var all []worker.Request
		for _, id := range ids {
			all = append(all, worker.Request{ID: id, Target: "/order/x", Header: http.Header{}, Ran: true, At: at(d)})
		}
		return all
	}
	// unframed is one execution whose answer has no length or chunks, and lacks its end if short.
	unframed := func(short bool) []worker.Request {
		all := ran(0, "id")
		all[0].Unframed, all[0].Short = true, short
		return all
	}
	// ofVersions is a stream after the given event whose events name these versions, and broken one that
	// breaks after its first event.
	ofVersions := func(id string, after int, versions ...string) caller.Answer {
		a := served(caller.Stream, "")
		a.ID, a.After = id, after
		for i, version := range versions {
			a.Body += fmt.Sprintf("id: %d\nversion: %s\ndata: part %d of %s\n\n", after+i+1, version, after+i+1, id)
		}
		return a
	}
	broken := func(id, version string) caller.Answer {
		a := ofVersions(id, 0, version)
		a.Err = errors.New("unexpected EOF")
		return a
	}
	// takenUp adds n times that the stream is taken up after its first event, and goes on at this version
	// in the first of them.
	takenUp := func(h *History, n, goOn int, version string) {
		for i := range n {
			a := refused
			if i < goOn {
				a = ofVersions(fmt.Sprint("again-", i), 1, version, version, version)
			}
			a.ID, a.Kind, a.Resumes, a.After = fmt.Sprint("again-", i), caller.Stream, "id", 1
			h.RecordAnswer("g", a)
		}
	}
	servedWith := func(change func(*caller.Answer)) caller.Answer {
		a := served(caller.Unsafe, "w answers id")
		change(&a)
		return a
	}
	// later adds n requests that w served, the first at from.
	later := func(h *History, from time.Time, n int, interval time.Duration) {
		for i := range n {
			id, sentAt := fmt.Sprint("later-", i), from.Add(time.Duration(i)*interval)
			a := caller.Answer{ID: id, Kind: caller.Unsafe, SentAt: sentAt, EndedAt: sentAt.Add(time.Second), Status: 200, Seal: "w." + id, Body: "w answers " + id}
			h.RecordAnswer("g", a)
			h.RecordRequests("w", []worker.Request{{ID: id, Target: "/order/x", Header: http.Header{}, Ran: true, At: sentAt}})
		}
	}
	// harmful adds a harmful request that three workers crashed with, and that is sent n times more.
	harmful := func(h *History, n int, ran bool) {
		for i := range 3 + n {
			id, sentAt := fmt.Sprint("harmful-", i), at(time.Duration(i)*5*time.Second)
			h.RecordAnswer("g", caller.Answer{ID: id, Kind: caller.Unsafe, SentAt: sentAt, EndedAt: sentAt, Status: 502})
			h.RecordRequests("w", []worker.Request{{ID: id, Target: "/order/x", Body: worker.HarmfulBody, Header: http.Header{}, Ran: ran || i < 3, At: sentAt}})
		}
	}
	// harmfulPart adds requests that share a part with which five workers crashed, and n more.
	harmfulPart := func(h *History, n int) {
		header := http.Header{"Carawayspread-Prefix-Hash": {"aa:3," + worker.HarmfulPart + ":3,cc:3"}}
		for i := range 5 + n {
			id, sentAt := fmt.Sprint("part-", i), at(time.Duration(i)*5*time.Second)
			h.RecordAnswer("g", caller.Answer{ID: id, Kind: caller.Stream, SentAt: sentAt, EndedAt: sentAt, Status: 502})
			h.RecordRequests("w", []worker.Request{{ID: id, Target: "/stream/x", Header: header, Ran: true, At: sentAt}})
		}
	}
	for name, c := range map[string]struct {
		answer   caller.Answer
		requests []worker.Request
		with     func(*History)
		want     string
	}{
		"served":                           {served(caller.Unsafe, "w answers id"), ran(0, "id"), nil, ""},
		"ran twice":                        {served(caller.Unsafe, "w answers id"), ran(0, "id", "id"), nil, "ran 2 times"},
		"a stream ran twice that must not": {served(caller.Once, streamBody("id", 0, worker.Events)), ran(0, "id", "id"), nil, "ran 2 times"},
		"a stream ran twice that may":      {served(caller.Stream, streamBody("id", 0, worker.Events)), ran(0, "id", "id"), nil, ""},
		"a refused stream ran":             {withKind(refused, caller.Once), ran(0, "id"), nil, "as not run, and ran"},
		"a safe request ran twice":         {served(caller.Safe, "w answers id"), ran(0, "id", "id"), nil, ""},
		"answer to another request":        {served(caller.Unsafe, "w answers other"), ran(0, "id"), nil, "as its own"},
		"answer without an execution":      {served(caller.Unsafe, "w answers id"), nil, nil, "as its own"},
		"complete stream":                  {served(caller.Stream, streamBody("id", 0, worker.Events)), ran(0, "id"), nil, ""},
		"stream cut without an error":      {served(caller.Stream, "id: 1\ndata: part 1 of id\n\n"), ran(0, "id"), nil, "as whole"},
		"answer cut with an error":         {truncated, ran(0, "id"), nil, ""},
		"refused":                          {refused, nil, nil, ""},
		"stream of two versions":           {ofVersions("id", 0, "v1", "v1", "v2", "v2"), ran(0, "id"), nil, "id holds events of v1 and v2"},
		"stream of one version":            {ofVersions("id", 0, "v2", "v2", "v2", "v2"), ran(0, "id"), nil, ""},
		"taken up at another version":      {broken("id", "v1"), ran(0, "id"), func(h *History) { takenUp(h, 1, 1, "v2") }, "id holds events of v1 and v2"},
		"taken up at its version":          {broken("id", "v1"), ran(0, "id"), func(h *History) { takenUp(h, 1, 1, "v1") }, ""},
		"half of them go on":               {ofVersions("id", 0, "v1", "v1", "v1", "v1"), ran(0, "id"), func(h *History) { takenUp(h, 12, 6, "v1") }, ""},
		"less than half of them go on":     {ofVersions("id", 0, "v1", "v1", "v1", "v1"), ran(0, "id"), func(h *History) { takenUp(h, 12, 5, "v1") }, "5 of 12 streams that were taken up went on"},
		"few workers of their version serve": {ofVersions("id", 0, "v1", "v1", "v1", "v1"), ran(0, "id"), func(h *History) {
			takenUp(h, 12, 0, "v1")
			h.RecordDraining("w2", at(-time.Second))
		}, ""},
		"a worker claimed to be another one": {ofVersions("id", 0, "v1", "v1", "v1", "v1"), ran(0, "id"), func(h *History) {
			takenUp(h, 12, 0, "v1")
			h.RecordRequests("w2", []worker.Request{{ID: "other", Target: "/stream/x", Header: http.Header{}, Misdirected: true, At: at(-time.Second)}})
		}, ""},
		"one of them is listed later": {ofVersions("id", 0, "v1", "v1", "v1", "v1"), ran(0, "id"), func(h *History) {
			takenUp(h, 12, 0, "v1")
			h.RecordStreamer("w2", "v1", at(0))
		}, ""},
		"few were taken up": {ofVersions("id", 0, "v1", "v1", "v1", "v1"), ran(0, "id"), func(h *History) { takenUp(h, 11, 0, "v1") }, ""},
		"taken up after a kill": {ofVersions("id", 0, "v1", "v1", "v1", "v1"), ran(0, "id"), func(h *History) {
			takenUp(h, 12, 0, "v1")
			h.RecordFault("g", at(-time.Second), at(0))
		}, ""},
		"harmful, three times more":     {refused, nil, func(h *History) { harmful(h, 3, true) }, ""},
		"harmful, four times more":      {refused, nil, func(h *History) { harmful(h, 4, true) }, "was sent 4 times more after 3 crashes, 7 in all"},
		"harmful part, three more":      {refused, nil, func(h *History) { harmfulPart(h, 3) }, ""},
		"harmful part, four more":       {refused, nil, func(h *History) { harmfulPart(h, 4) }, "with dd was sent 4 times more after 5 crashes, 9 in all"},
		"harmful, prefilled four times": {refused, nil, func(h *History) { harmful(h, 4, false) }, "was sent 4 times more after 3 crashes, 3 in all"},
		"harmful, by a killed process": {refused, nil, func(h *History) {
			harmful(h, 4, false)
			h.RecordAnswer("other", refused)
			h.RecordFault("g", at(24*time.Second), at(36*time.Second))
		}, ""},
		"harmful, all processes killed": {refused, nil, func(h *History) {
			harmful(h, 4, true)
			h.RecordFault("g", at(15500*time.Millisecond), at(16*time.Second))
		}, ""},
		"unframed":                           {servedWith(func(a *caller.Answer) { a.Unframed = true }), unframed(false), nil, ""},
		"unframed, told that it is complete": {servedWith(func(*caller.Answer) {}), unframed(false), nil, "had not marked the end"},
		"unframed by a worker whose answer was not taken": {servedWith(func(a *caller.Answer) { a.Kind = caller.Safe }), ran(0, "id"), func(h *History) {
			h.RecordRequests("late", []worker.Request{{ID: "id", Target: "/order/x", Header: http.Header{}, Ran: true, Unframed: true, At: at(time.Second)}})
		}, ""},
		"unframed, cut by its worker": {servedWith(func(a *caller.Answer) { a.Unframed, a.Body = true, "w answ" }), unframed(true), nil, ""},
		"unframed, cut elsewhere":     {servedWith(func(a *caller.Answer) { a.Unframed, a.Body = true, "w answ" }), unframed(false), nil, "as its own"},
		"unframed, a stream that is cut": {servedWith(func(a *caller.Answer) {
			a.Kind, a.Unframed, a.Body = caller.Stream, true, "id: 1\ndata: part 1 of id\n\n"
		}), unframed(true), nil, "as whole"},
		"unframed, not passed on":                    {truncated, unframed(false), nil, "did not get the answer that w gave in full"},
		"unframed, at a process after this one":      {unconnected, unframed(false), nil, ""},
		"unframed, cut with an error":                {truncated, unframed(true), nil, ""},
		"unframed, at a faulty worker":               {truncated, unframed(false), func(h *History) { h.RecordFault("w", at(0), at(time.Second)) }, ""},
		"unframed, from a killed process":            {truncated, unframed(false), func(h *History) { h.RecordFault("g", at(0), at(time.Second)) }, ""},
		"refused but ran":                            {refused, ran(0, "id"), nil, "as not run"},
		"late":                                       {late, ran(0, "id"), nil, "after 4s, of 3s"},
		"late from a paused process":                 {late, ran(0, "id"), func(h *History) { h.RecordFault("g", at(time.Second), at(3*time.Second)) }, ""},
		"no answer":                                  {unanswered, nil, nil, "without an answer by g"},
		"no answer from a killed process":            {unanswered, nil, func(h *History) { h.RecordFault("g", at(time.Second/2), at(2*time.Second)) }, ""},
		"no answer while another process was killed": {unanswered, nil, func(h *History) { h.RecordFault("h", at(time.Second/2), at(2*time.Second)) }, "without an answer by g"},
		"no answer on a shutdown":                    {unanswered, nil, func(h *History) { h.RecordShutdown("g", at(time.Second-time.Millisecond), at(2*time.Second)) }, "without an answer by g"},
		"sent after the process had exited":          {unanswered, nil, func(h *History) { h.RecordShutdown("g", at(-time.Millisecond), at(2*time.Second)) }, ""},
		"connection refused":                         {unconnected, nil, nil, ""},
		"sent after the process learnt that the worker drains": {servedWith(func(a *caller.Answer) { a.ServerLeaving = true }), ran(0, "id"), func(h *History) {
			later(h, at(5*time.Second), 1, 0)
		}, "4s after an answer had told it"},
		"sent within the drain bound of the feedback": {servedWith(func(a *caller.Answer) { a.ServerLeaving = true }), ran(0, "id"), func(h *History) {
			later(h, at(2*time.Second), 1, 0)
		}, ""},
		"sent by a process that restarted after the feedback": {servedWith(func(a *caller.Answer) { a.ServerLeaving = true }), ran(0, "id"), func(h *History) {
			later(h, at(5*time.Second), 1, 0)
			h.RecordFault("g", at(2*time.Second), at(3*time.Second))
		}, ""},
		"sent by a process without feedback": {served(caller.Unsafe, "w answers id"), ran(0, "id"), func(h *History) {
			later(h, at(5*time.Second), 1, 0)
		}, ""},
		"above the rate": {servedWith(func(a *caller.Answer) { a.HasServerLimit = true }), ran(0, "id"), func(h *History) {
			later(h, at(5*time.Second), 18, 200*time.Millisecond)
			h.RecordRateLimit("w", 2, at(0), at(10*time.Second))
		}, "got 18 requests in 4s, of 17"},
		"at the rate": {servedWith(func(a *caller.Answer) { a.HasServerLimit = true }), ran(0, "id"), func(h *History) {
			later(h, at(5*time.Second), 17, 200*time.Millisecond)
			h.RecordRateLimit("w", 2, at(0), at(10*time.Second))
		}, ""},
		"above the rate while requests are in flight": {servedWith(func(a *caller.Answer) { a.HasServerLimit = true }), ran(0, "id"), func(h *History) {
			later(h, at(2*time.Second), 18, 50*time.Millisecond)
			h.RecordRateLimit("w", 2, at(0), at(10*time.Second))
		}, ""},
		"above the rate by a process without feedback": {served(caller.Unsafe, "w answers id"), ran(0, "id"), func(h *History) {
			later(h, at(5*time.Second), 18, 200*time.Millisecond)
			h.RecordRateLimit("w", 2, at(0), at(10*time.Second))
		}, ""},
		"sent to a draining worker":                  {served(caller.Unsafe, "w answers id"), ran(6*time.Second, "id"), func(h *History) { h.RecordDraining("w", at(time.Second)) }, "5s after it had said"},
		"sent within the drain bound of the listing": {served(caller.Unsafe, "w answers id"), ran(3*time.Second, "id"), func(h *History) { h.RecordDraining("w", at(time.Second)) }, ""},
		"sent after the store was down": {served(caller.Unsafe, "w answers id"), ran(6*time.Second, "id"), func(h *History) {
			h.RecordDraining("w", at(time.Second))
			h.RecordFault(Store, at(2*time.Second), at(4*time.Second))
		}, ""},
		"sent long after the store was down": {served(caller.Unsafe, "w answers id"), ran(6*time.Second, "id"), func(h *History) {
			h.RecordDraining("w", at(time.Second))
			h.RecordFault(Store, at(time.Second), at(2*time.Second))
		}, "5s after it had said"},
		"sent over a slow connection": {served(caller.Unsafe, "w answers id"), ran(6*time.Second, "id"), func(h *History) {
			h.RecordDraining("w", at(time.Second))
			h.RecordFault("w", at(5*time.Second), at(6*time.Second))
		}, ""},
		"sent while another connection was slow": {served(caller.Unsafe, "w answers id"), ran(6*time.Second, "id"), func(h *History) {
			h.RecordDraining("w", at(time.Second))
			h.RecordFault("other", at(5*time.Second), at(6*time.Second))
		}, "5s after it had said"},
		"too many attempts": {served(caller.Safe, "w answers id"), ran(0, "id", "id", "id", "id", "id"), nil, "4 attempts beyond the first"},
		"too many attempts in one window": {served(caller.Safe, "w answers id"), ran(time.Minute, "id", "id", "id", "id", "id"), func(h *History) {
			for n := range 200 {
				h.RecordAnswer("g", caller.Answer{ID: fmt.Sprint(n), Kind: caller.Safe, SentAt: at(0), EndedAt: at(0), Err: unconnected.Err})
			}
		}, "4 attempts beyond the first"},
		"attempts paid by the window before": {served(caller.Safe, "w answers id"), ran(9*time.Second, "id", "id", "id", "id", "id"), func(h *History) {
			for n := range 10 {
				h.RecordAnswer("g", caller.Answer{ID: fmt.Sprint(n), Kind: caller.Safe, SentAt: at(0), EndedAt: at(0), Err: unconnected.Err})
			}
		}, ""},
		"attempts paid by another service": {served(caller.Safe, "w answers id"), ran(0, "id", "id", "id", "id", "id"), func(h *History) {
			for n := range 10 {
				h.RecordAnswer("g", caller.Answer{ID: fmt.Sprint(n), Kind: caller.Stream, SentAt: at(0), EndedAt: at(0), Err: unconnected.Err})
			}
		}, "4 attempts beyond the first"},
		"not served at the end": {served(caller.Unsafe, "w answers id"), ran(0, "id"), func(h *History) {
			h.RecordFinalAnswer("g", caller.Answer{ID: "last", Kind: caller.Safe, SentAt: at(0), EndedAt: at(0), Status: 503})
		}, "last was not served by g"},
		"too much memory": {served(caller.Unsafe, "w answers id"), ran(0, "id"), func(h *History) { h.RecordMemory("g", 101) }, "101 MB of 100"},
		"enough memory":   {served(caller.Unsafe, "w answers id"), ran(0, "id"), func(h *History) { h.RecordMemory("g", 100) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := New(Bounds{
				Timeouts:  map[caller.Kind]time.Duration{caller.Unsafe: 2 * time.Second, caller.Safe: 2 * time.Second, caller.Stream: 4 * time.Second},
				Tolerance: time.Second, Drain: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 2, RetryWindow: 10 * time.Second, MemoryMegabytes: 100,
			}, start)
			h.RecordStreamer("w", "v1", at(-time.Minute))
			h.RecordStreamer("w2", "v1", at(-time.Minute))
			h.RecordAnswer("g", c.answer)
			h.RecordRequests("w", c.requests)
			if c.with != nil {
				c.with(h)
			}
			found := strings.Join(h.Breaches(), "; ")
			if c.want == "" {
				qt.Check(t, found, qt.Equals, "")
				return
			}
			qt.Check(t, found, qt.Contains, c.want)
			qt.Check(t, strings.Contains(found, ";"), qt.IsFalse, qt.Commentf(found))
		})
	}
}
