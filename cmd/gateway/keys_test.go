package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/worker"
	"carawayspread/internal/version/gatewaysettings"
)

const (
	authorizationHeader = "Authorization"
	tenantHeader        = "Carawayspread-Tenant"
	revocationBound     = 2 * time.Second
)

// newFleetWithKeys returns a fleet whose callers need one of the keys, by workspace.
func newFleetWithKeys(t *testing.T, keys map[string][]string) *fleet {
	f := newFleet(t)
	text := fmt.Sprintf(`{"instance":{"id":"g","zone":"z"},"addresses":{"listen":%[1]q,"health":%[1]q,"peer":%[1]q,"metrics":%[1]q},
		"store":%[2]q,"seeds":[],"grace":"8s","memoryMegabytes":100,"retries":{"ratio":0.2,"slack":50,"window":"10s"},
		"promises":{"leaving":"2s","inForce":"1s","revoked":%[3]q}}`, "127.0.0.1:0", f.settings.Store(), revocationBound)
	var err error
	f.settings, err = gatewaysettings.Parse("test", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	f.publishKeys(t, 2, keys)
	return f
}

func (f *fleet) publishKeys(t *testing.T, version int, keys map[string][]string) {
	t.Helper()
	qt.Assert(t, f.store.PublishKeys(version, "model", keys), qt.IsNil)
}

// sendWithKey sends a request with that key and returns the status of the answer.
func (f *fleet) sendWithKey(t *testing.T, id, key string) int {
	t.Helper()
	resp, _, err := f.send("POST", "/order/x", id, id, authorizationHeader, "Bearer "+key)
	qt.Assert(t, err, qt.IsNil)
	return resp.StatusCode
}

// Guards against keys that are forwarded to endpoints, and requests that run for a workspace which
// the caller named itself.
func TestEndpointsSeeTheWorkspaceAndNeverTheKey(t *testing.T) {
	f := newFleetWithKeys(t, map[string][]string{"w1": {"k1"}})
	plain, prefillEngine, decodeEngine := startWorker(t, "w-plain"), startWorker(t, "w-reader"), startWorker(t, "w-answerer")
	f.putServer(plain, "plain", "", "ready", 1)
	f.putServer(prefillEngine, "model", "prefill", "ready", 1)
	f.putServer(decodeEngine, "model", "decode", "ready", 1)
	f.start(t)
	f.waitReady(t)
	for path, id := range map[string]string{"/order/x": "id-1", "/lookup/x": "id-2", "/stream/x": "id-3"} {
		resp, _, err := f.send("POST", path, id, "p", authorizationHeader, "bearer  k1", tenantHeader, "w2", tokenCountHeader, "9000,100",
			"Carawayspread-Prefix-Hash", "aa:8000,bb:1000")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
	arrived := 0
	for _, w := range []*worker.Worker{plain, prefillEngine, decodeEngine} {
		for _, s := range w.Requests() {
			arrived++
			qt.Check(t, s.Header.Values(tenantHeader), qt.DeepEquals, []string{"w1"})
			qt.Check(t, s.Header.Values(authorizationHeader), qt.HasLen, 0)
		}
	}
	qt.Check(t, arrived, qt.Equals, 4)
	qt.Check(t, strings.Contains(f.out.String(), "k1"), qt.IsFalse)
	waitUntil(t, func() bool { return strings.Contains(f.out.String(), "workspace=w1") })
}

// Guards against requests that run without a valid key.
func TestRequestsWithoutAKeyDoNotRun(t *testing.T) {
	f := newFleetWithKeys(t, map[string][]string{"w1": {"k1"}, "w2": {"k2", "both"}, "w3": {"both"}, "w4": {}})
	w := startWorker(t, "w")
	f.putServer(w, "plain", "", "ready", 1)
	f.start(t)
	f.waitReady(t)
	for name, headers := range map[string][]string{
		"none":                  nil,
		"empty":                 {authorizationHeader, ""},
		"other":                 {authorizationHeader, "Basic azE6"},
		"unknown":               {authorizationHeader, "Bearer nobody"},
		"key of two workspaces": {authorizationHeader, "Bearer both"},
	} {
		t.Run(name, func(t *testing.T) {
			time.Sleep(1100 * time.Millisecond) // the gateway may read the store again
			resp, body, err := f.send("POST", "/order/x", "id", "", headers...)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, 401)
			qt.Check(t, resp.Header.Get("WWW-Authenticate"), qt.Equals, "Bearer")
			qt.Check(t, strings.Contains(body, `"code":"unauthenticated"`), qt.IsTrue)
		})
	}
	qt.Check(t, w.Requests(), qt.HasLen, 0)
}

// Guards against a final refusal of a key that was added a moment before: the store is read first.
// Guessed keys must not cause calls to the store without bound.
func TestAddedKeyWorksAtOnce(t *testing.T) {
	f := newFleetWithKeys(t, map[string][]string{"w1": {"k1"}})
	f.putServer(startWorker(t, "w"), "plain", "", "ready", 1)
	f.start(t)
	f.waitReady(t)
	f.store.SuppressChanges(true) // calls that wait for changes return none
	f.publishKeys(t, 3, map[string][]string{"w1": {"k1", "k2"}})
	qt.Check(t, f.sendWithKey(t, "id-1", "k2"), qt.Equals, 200)
	f.publishKeys(t, 4, map[string][]string{"w1": {"k1", "k2", "k3"}})
	before := f.store.Calls()
	for i := range 20 {
		qt.Check(t, f.sendWithKey(t, fmt.Sprint("guess-", i), "guess"), qt.Equals, 503)
	}
	qt.Check(t, f.store.Calls()-before <= 2, qt.IsTrue)
	qt.Check(t, f.sendWithKey(t, "id-2", "k3"), qt.Equals, 503, qt.Commentf("the store was read a moment before"))
	time.Sleep(1100 * time.Millisecond)
	qt.Check(t, f.sendWithKey(t, "id-3", "k3"), qt.Equals, 200)
}

// Guards against a revoked key that is accepted for longer than its bound while the store is down,
// and against refusals before that bound.
func TestRevokedKeyStopsWithoutTheStore(t *testing.T) {
	f := newFleetWithKeys(t, map[string][]string{"w1": {"k1"}})
	w := startWorker(t, "w")
	f.putServer(w, "plain", "", "ready", 1)
	f.start(t)
	f.waitReady(t)
	f.store.FailWith(503)
	outageStart := time.Now()
	for i := 0; time.Since(outageStart) < revocationBound/2; i++ {
		qt.Check(t, f.sendWithKey(t, fmt.Sprint("early-", i), "k1"), qt.Equals, 200)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Until(outageStart.Add(revocationBound)))
	ran := w.Runs()
	resp, body, err := f.send("POST", "/order/x", "late", "", authorizationHeader, "Bearer k1")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 503)
	qt.Check(t, strings.Contains(body, `"notRun":true`), qt.IsTrue)
	qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Check(t, w.Runs(), qt.Equals, ran)
	qt.Check(t, f.daemon.Ready(), qt.IsFalse)
	f.store.FailWith(0)
	f.waitReady(t)
	qt.Check(t, f.sendWithKey(t, "back", "k1"), qt.Equals, 200)
	f.publishKeys(t, 3, map[string][]string{"w1": {}})
	time.Sleep(time.Second)
	qt.Check(t, f.sendWithKey(t, "gone", "k1") >= 400, qt.IsTrue)
}
