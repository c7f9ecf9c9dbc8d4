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

// What breaks a promise is said, and what is allowed beside it is not.
func TestBreaches(t *testing.T) {
	begun := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return begun.Add(d) }
	served := func(kind caller.Kind, body string) caller.Answer {
		return caller.Answer{ID: "id", Kind: kind, SentAt: at(0), EndedAt: at(time.Second), Status: 200, Seal: "w.id", Body: body}
	}
	refused := caller.Answer{ID: "id", Kind: caller.Unsafe, SentAt: at(0), EndedAt: at(time.Second), Status: 503, HasRetryAfter: true}
	cut := caller.Answer{ID: "id", Kind: caller.Unsafe, SentAt: at(0), EndedAt: at(time.Second), Err: errors.New("EOF")}
	unconnected := cut
	unconnected.Err = &net.OpError{Op: "dial", Err: errors.New("refused")}
	broken := served(caller.Unsafe, "w answ")
	broken.Err = errors.New("unexpected EOF")
	tardy := served(caller.Unsafe, "w answers id")
	tardy.EndedAt = at(4 * time.Second)
	ran := func(d time.Duration, ids ...string) []worker.Request {
		var all []worker.Request
		for _, id := range ids {
			all = append(all, worker.Request{ID: id, Target: "/order/x", Header: http.Header{}, Ran: true, At: at(d)})
		}
		return all
	}
	said := func(what func(*caller.Answer)) caller.Answer {
		a := served(caller.Unsafe, "w answers id")
		what(&a)
		return a
	}
	// later adds requests that were served by w from that moment on.
	later := func(h *History, from time.Time, n int, apart time.Duration) {
		for i := range n {
			id, asked := fmt.Sprint("later-", i), from.Add(time.Duration(i)*apart)
			a := caller.Answer{ID: id, Kind: caller.Unsafe, SentAt: asked, EndedAt: asked.Add(time.Second), Status: 200, Seal: "w." + id, Body: "w answers " + id}
			h.Answered("g", a)
			h.Ran("w", []worker.Request{{ID: id, Target: "/order/x", Header: http.Header{}, Ran: true, At: asked}})
		}
	}
	for name, c := range map[string]struct {
		answer caller.Answer
		runs   []worker.Request
		with   func(*History)
		want   string
	}{
		"served":                            {served(caller.Unsafe, "w answers id"), ran(0, "id"), nil, ""},
		"ran twice":                         {served(caller.Unsafe, "w answers id"), ran(0, "id", "id"), nil, "ran 2 times"},
		"a safe one ran twice":              {served(caller.Safe, "w answers id"), ran(0, "id", "id"), nil, ""},
		"another's answer":                  {served(caller.Unsafe, "w answers other"), ran(0, "id"), nil, "as its own"},
		"an answer that nobody gave":        {served(caller.Unsafe, "w answers id"), nil, nil, "as its own"},
		"a whole stream":                    {served(caller.Stream, events("id")), ran(0, "id"), nil, ""},
		"a stream that only looks whole":    {served(caller.Stream, "id: 1\ndata: part 1 of id\n\n"), ran(0, "id"), nil, "as whole"},
		"an answer cut openly":              {broken, ran(0, "id"), nil, ""},
		"refused":                           {refused, nil, nil, ""},
		"refused, and ran":                  {refused, ran(0, "id"), nil, "as not run"},
		"late":                              {tardy, ran(0, "id"), nil, "after 4s, of 3s"},
		"late, of a process that paused":    {tardy, ran(0, "id"), func(h *History) { h.Hurt("g", at(time.Second), at(3*time.Second)) }, ""},
		"left without an answer":            {cut, nil, nil, "without an answer by g"},
		"left by a process that was killed": {cut, nil, func(h *History) { h.Hurt("g", at(time.Second/2), at(2*time.Second)) }, ""},
		"left by another that was killed":   {cut, nil, func(h *History) { h.Hurt("h", at(time.Second/2), at(2*time.Second)) }, "without an answer by g"},
		"cut as its process ended in order": {cut, nil, func(h *History) { h.Ended("g", at(time.Second-time.Millisecond), at(2*time.Second)) }, "without an answer by g"},
		"asked when it had ended":           {cut, nil, func(h *History) { h.Ended("g", at(-time.Millisecond), at(2*time.Second)) }, ""},
		"nobody at the port":                {unconnected, nil, nil, ""},
		"sent by the one that was told that it leaves": {said(func(a *caller.Answer) { a.ServerLeaving = true }), ran(0, "id"), func(h *History) {
			later(h, at(5*time.Second), 1, 0)
		}, "4s after an answer had told it"},
		"sent just after it was told": {said(func(a *caller.Answer) { a.ServerLeaving = true }), ran(0, "id"), func(h *History) {
			later(h, at(2*time.Second), 1, 0)
		}, ""},
		"sent by one that has started again since": {said(func(a *caller.Answer) { a.ServerLeaving = true }), ran(0, "id"), func(h *History) {
			later(h, at(5*time.Second), 1, 0)
			h.Hurt("g", at(2*time.Second), at(3*time.Second))
		}, ""},
		"sent by one that was told nothing": {served(caller.Unsafe, "w answers id"), ran(0, "id"), func(h *History) {
			later(h, at(5*time.Second), 1, 0)
		}, ""},
		"more than the rate": {said(func(a *caller.Answer) { a.HasServerLimit = true }), ran(0, "id"), func(h *History) {
			later(h, at(5*time.Second), 18, 200*time.Millisecond)
			h.Limited("w", 2, at(0), at(10*time.Second))
		}, "got 18 requests in 4s, of 17"},
		"the rate": {said(func(a *caller.Answer) { a.HasServerLimit = true }), ran(0, "id"), func(h *History) {
			later(h, at(5*time.Second), 17, 200*time.Millisecond)
			h.Limited("w", 2, at(0), at(10*time.Second))
		}, ""},
		"more while it is learnt": {said(func(a *caller.Answer) { a.HasServerLimit = true }), ran(0, "id"), func(h *History) {
			later(h, at(2*time.Second), 18, 50*time.Millisecond)
			h.Limited("w", 2, at(0), at(10*time.Second))
		}, ""},
		"more by one that was told nothing": {served(caller.Unsafe, "w answers id"), ran(0, "id"), func(h *History) {
			later(h, at(5*time.Second), 18, 200*time.Millisecond)
			h.Limited("w", 2, at(0), at(10*time.Second))
		}, ""},
		"sent to one that leaves":    {served(caller.Unsafe, "w answers id"), ran(6*time.Second, "id"), func(h *History) { h.Left("w", at(time.Second)) }, "5s after it had said"},
		"sent just after it said so": {served(caller.Unsafe, "w answers id"), ran(3*time.Second, "id"), func(h *History) { h.Left("w", at(time.Second)) }, ""},
		"sent while the store was away": {served(caller.Unsafe, "w answers id"), ran(6*time.Second, "id"), func(h *History) {
			h.Left("w", at(time.Second))
			h.Hurt(Store, at(2*time.Second), at(4*time.Second))
		}, ""},
		"sent long after the store was away": {served(caller.Unsafe, "w answers id"), ran(6*time.Second, "id"), func(h *History) {
			h.Left("w", at(time.Second))
			h.Hurt(Store, at(time.Second), at(2*time.Second))
		}, "5s after it had said"},
		"sent over a way that was slow": {served(caller.Unsafe, "w answers id"), ran(6*time.Second, "id"), func(h *History) {
			h.Left("w", at(time.Second))
			h.Hurt("w", at(5*time.Second), at(6*time.Second))
		}, ""},
		"sent while another way was slow": {served(caller.Unsafe, "w answers id"), ran(6*time.Second, "id"), func(h *History) {
			h.Left("w", at(time.Second))
			h.Hurt("other", at(5*time.Second), at(6*time.Second))
		}, "5s after it had said"},
		"too many attempts": {served(caller.Safe, "w answers id"), ran(0, "id", "id", "id", "id", "id"), nil, "4 attempts beyond the first"},
		"not served at the end": {served(caller.Unsafe, "w answers id"), ran(0, "id"), func(h *History) {
			h.Recovered("g", caller.Answer{ID: "last", Kind: caller.Safe, SentAt: at(0), EndedAt: at(0), Status: 503})
		}, "last was not served by g"},
		"too much memory": {served(caller.Unsafe, "w answers id"), ran(0, "id"), func(h *History) { h.Occupied("g", 101) }, "101 MB of 100"},
		"enough memory":   {served(caller.Unsafe, "w answers id"), ran(0, "id"), func(h *History) { h.Occupied("g", 100) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := New(Terms{
				Timeouts: map[caller.Kind]time.Duration{caller.Unsafe: 2 * time.Second, caller.Safe: 2 * time.Second, caller.Stream: 4 * time.Second},
				Late:     time.Second, Leaving: 2 * time.Second, Ratio: 0.2, Slack: 2, Window: 10 * time.Second, Megabytes: 100,
			}, begun)
			h.Answered("g", c.answer)
			h.Ran("w", c.runs)
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
