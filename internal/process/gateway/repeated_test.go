package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/direct"
	"carawayspread/internal/standin/worker"
)

// repeats is what callers saw of some requests that must not run twice, and how often these ran.
type repeats struct{ served, refused, refusedAndRan, ranTwice int }

const (
	repeatedRequests = 40
	// betweenRequests is longer than an endpoint is left out after a 421.
	betweenRequests = 5 * time.Second
)

// sendRepeated sends requests one after the other to workers with these scripts, over connections that are
// reused.
func sendRepeated(t *testing.T, path string, roles []carawayspread.Role, scripts map[int][]worker.Behaviour, header ...string) repeats {
	t.Helper()
	client := direct.New()
	t.Cleanup(client.Close)
	b := newHarness(t)
	b.gateway.transport = client
	var endpoints []carawayspread.Endpoint
	var workers []*worker.Worker
	for i, role := range roles {
		w, err := worker.New(fmt.Sprint("w", i), scripts[i]...)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(w.Close)
		workers = append(workers, w)
		endpoints = append(endpoints, carawayspread.NewEndpoint(carawayspread.EndpointID(w.ID()), "s", "z", w.Address(), false,
			carawayspread.WithRole(role), carawayspread.WithSlots(8)))
	}
	b.gateway.SetEndpoints(endpoints)
	status := map[string]int{}
	for n := range repeatedRequests {
		id := fmt.Sprint("request-", n)
		resp, _, err := b.post(t, path, id, append([]string{"Carawayspread-Request-Id", id}, header...)...)
		qt.Assert(t, err, qt.IsNil)
		status[id] = resp.StatusCode
		b.clock.Advance(betweenRequests)
	}
	ran := map[string]int{}
	for _, w := range workers {
		for _, got := range w.Requests() {
			if got.Ran {
				ran[got.ID]++
			}
		}
	}
	var r repeats
	for id, code := range status {
		switch code {
		case http.StatusOK:
			r.served++
		case http.StatusServiceUnavailable:
			r.refused++
			r.refusedAndRan += min(1, ran[id])
		}
		if ran[id] > 1 {
			r.ranTwice++
		}
	}
	t.Logf("%+v", r)
	return r
}

// script repeats a pattern of behaviours for all requests.
func script(pattern ...worker.Behaviour) []worker.Behaviour {
	var all []worker.Behaviour
	for range repeatedRequests {
		all = append(all, pattern...)
	}
	return all
}

// Guards against a request that runs twice, or is refused and runs: an engine refuses a hand-over, gets the
// whole request over the same connection, and repeats its refusal of the hand-over in front of its answer.
func TestRefusalOfAnEarlierAttemptIsNotBelieved(t *testing.T) {
	refuseFirst := script(worker.RefuseAgain, worker.Answer)
	r := sendRepeated(t, "/once/stream/x", []carawayspread.Role{carawayspread.RolePrefill, carawayspread.RoleDecode, carawayspread.RoleDecode},
		map[int][]worker.Behaviour{1: refuseFirst, 2: refuseFirst}, tokens, "5000,50")
	qt.Check(t, r, qt.Equals, repeats{served: repeatedRequests})
}

// Guards against a request that runs twice, or is refused and runs, since a worker repeats the refusal of
// an earlier request where the answer to this one is due.
func TestRefusalOfAnotherRequestIsNotBelieved(t *testing.T) {
	for name, again := range map[string]worker.Behaviour{
		"a refusal":                         worker.RefuseAgain,
		"a refusal that names no request":   worker.RefuseAgainUnnamed,
		"a rejection that names no request": worker.RejectAgainUnnamed,
		"a 421":                             worker.MisdirectAgain,
		"a 421 that names no request":       worker.MisdirectAgainUnnamed,
	} {
		t.Run(name, func(t *testing.T) {
			refuseThird := script(worker.Answer, worker.Answer, again, worker.Answer)
			either := carawayspread.RoleBoth
			r := sendRepeated(t, "/never/x", []carawayspread.Role{either, either, either, either},
				map[int][]worker.Behaviour{0: refuseThird, 1: refuseThird})
			qt.Check(t, r.refusedAndRan, qt.Equals, 0)
			qt.Check(t, r.ranTwice, qt.Equals, 0)
		})
	}
}

// Guards against a request that is refused and runs, or runs twice, since a worker repeats an earlier answer.
func TestRepeatedAnswerIsNoRefusal(t *testing.T) {
	again := script(worker.Answer, worker.AnswerAgain)
	either := carawayspread.RoleBoth
	r := sendRepeated(t, "/never/x", []carawayspread.Role{either, either}, map[int][]worker.Behaviour{0: again, 1: again})
	qt.Check(t, r.refused, qt.Equals, 0)
	qt.Check(t, r.ranTwice, qt.Equals, 0)
}

// Guards against connections that are given up after answers that leave them in step.
func TestConnectionsAreReused(t *testing.T) {
	client := direct.New()
	t.Cleanup(client.Close)
	b := newHarness(t)
	b.gateway.transport = client
	w, err := worker.New("w0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(w.Close)
	b.gateway.SetEndpoints([]carawayspread.Endpoint{
		carawayspread.NewEndpoint("w0", "s", "z", w.Address(), false, carawayspread.WithRole(carawayspread.RoleBoth), carawayspread.WithSlots(8)),
	})
	for n := range repeatedRequests {
		resp, text, err := b.post(t, "/never/x", "body", "Carawayspread-Request-Id", fmt.Sprint("request-", n))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
		qt.Check(t, strings.HasPrefix(text, "w0 answers"), qt.IsTrue)
	}
	qt.Check(t, client.Connections(), qt.Equals, uint64(1))
}

// Guards against refusals that cost the next request on their connection its answer.
func TestRefusalCostsNoOtherRequest(t *testing.T) {
	for name, again := range map[string]worker.Behaviour{
		"a refusal":                         worker.RefuseAgain,
		"a refusal that names no request":   worker.RefuseAgainUnnamed,
		"a rejection that names no request": worker.RejectAgainUnnamed,
		"a 421":                             worker.MisdirectAgain,
		"a 421 that names no request":       worker.MisdirectAgainUnnamed,
	} {
		t.Run(name, func(t *testing.T) {
			refuseThird := script(worker.Answer, worker.Answer, again, worker.Answer)
			either := carawayspread.RoleBoth
			r := sendRepeated(t, "/never/x", []carawayspread.Role{either, either, either, either},
				map[int][]worker.Behaviour{0: refuseThird, 1: refuseThird})
			qt.Check(t, r, qt.Equals, repeats{served: repeatedRequests})
		})
	}
}

// Guards against prefills that all fail after one repeated answer, each with the answer to the one before.
func TestRepeatedPrefillAnswerCostsOnePrefill(t *testing.T) {
	client := direct.New()
	t.Cleanup(client.Close)
	b := newHarness(t)
	b.gateway.transport = client
	prefills, err := worker.New("w0", worker.Answer, worker.AnswerAgain)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(prefills.Close)
	decodes, err := worker.New("w1")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(decodes.Close)
	b.gateway.SetEndpoints([]carawayspread.Endpoint{
		carawayspread.NewEndpoint("w0", "s", "z", prefills.Address(), false, carawayspread.WithRole(carawayspread.RolePrefill), carawayspread.WithSlots(8)),
		carawayspread.NewEndpoint("w1", "s", "z", decodes.Address(), false, carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithSlots(8)),
	})
	for n := range repeatedRequests {
		resp, _, err := b.post(t, "/once/stream/x", "body", "Carawayspread-Request-Id", fmt.Sprint("request-", n), tokens, "5000,50")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
		b.clock.Advance(betweenRequests)
	}
	handedOver := 0
	for _, got := range decodes.Requests() {
		if got.Header.Get("Carawayspread-Kv-Source") != "" {
			handedOver++
		}
	}
	qt.Check(t, handedOver, qt.Equals, repeatedRequests-1)
}
