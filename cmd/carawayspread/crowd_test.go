//go:build crowds

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/standin/crowd"
	"carawayspread/internal/standin/plain"
)

// The crowd, and what a process under it is granted.
const (
	crowdSize          = 300
	crowdBody          = 2 << 20 // the limit of a body
	grantedMegabytes   = 144
	grantedDescriptors = 1024
	fewDescriptors     = 256 // a crowd of connections has more
)

// crowdedProcess is a process that a crowd calls.
type crowdedProcess struct {
	*process
	descriptors int
	head        string               // of a request of the crowd, as in crowd.Target
	ordinary    func() *http.Request // of a client that behaves
	withBody    func() *http.Request // of one whose request has a body, of a stated length and in chunks in turn
}

// withLimits returns settings with the limits of the crowd's tests.
func withLimits(settings string, descriptors int) string {
	return strings.TrimSuffix(settings, "}") + fmt.Sprintf(`, "limits": {"bodyBytes": %d, "memoryMegabytes": %d, "descriptors": %d}}`, crowdBody, grantedMegabytes, descriptors)
}

func startCrowdedEntry(t *testing.T, descriptors int) *crowdedProcess {
	f := newFleet(t)
	f.sidecar("sidecar-1", records("records-1", plain.New(0)))
	p := &crowdedProcess{process: f.entryWith(withLimits(entrySettings, descriptors), "entry-1"), descriptors: descriptors}
	p.head = "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nX-Workspace: demo\r\nX-Class: interactive\r\n"
	p.ordinary = func() *http.Request {
		return newRequest(http.MethodGet, p.row.Address, "/services/records/records/7", http.NoBody, "X-Workspace", "demo", "X-Class", "interactive")
	}
	n := 0
	p.withBody = func() *http.Request {
		n++
		return newRequest(http.MethodPost, p.row.Address, "/services/records/receipts", crowd.OrdinaryBody(n%2 == 0), "X-Workspace", "demo", "X-Class", "interactive")
	}
	return p
}

func startCrowdedSidecar(t *testing.T, descriptors int) *crowdedProcess {
	f := newFleet(t)
	p := &crowdedProcess{process: f.sidecarWith(withLimits(sidecarSettings, descriptors), "sidecar-1", records("records-1", plain.New(0))), descriptors: descriptors}
	path := sidecarhttp.PathPrefix + "records-1"
	p.head = "POST " + path + "/receipts HTTP/1.1\r\nHost: sidecar\r\n" + sidecarhttp.HeaderAttempt + ": crowd-{n}\r\n"
	n := 0
	request := func(method, path string, body io.Reader) *http.Request {
		n++
		return newRequest(method, p.row.Address, path, body,
			sidecarhttp.HeaderAttempt, fmt.Sprint("ordinary-", n), sidecarhttp.HeaderRemaining, "5000")
	}
	p.ordinary = func() *http.Request { return request(http.MethodGet, path+"/records/7", http.NoBody) }
	p.withBody = func() *http.Request {
		return request(http.MethodPost, path+"/receipts", crowd.OrdinaryBody(n%2 == 0))
	}
	return p
}

func newRequest(method, address, path string, body io.Reader, header ...string) *http.Request {
	r, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		panic(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// check has a crowd call the process, and checks that it lives, stays within what it is granted and serves ordinary
// requests while the crowd is there and when it has gone.
func (p *crowdedProcess) check(t *testing.T, keptLives bool, kinds ...crowd.Client) {
	t.Helper()
	p.checkTarget(t, crowd.Target{Address: p.row.Address, Head: p.head, Limit: crowdBody}, keptLives, kinds...)
}

// checkTarget is check for a crowd at any listener of the process.
func (p *crowdedProcess) checkTarget(t *testing.T, target crowd.Target, keptLives bool, kinds ...crowd.Client) {
	t.Helper()
	trial := crowd.Trial{
		Target: target, Size: crowdSize,
		PID: p.cmd.Process.Pid, Ports: crowd.Ports(p.row.Address, target.Address), Ordinary: p.ordinary, WithBody: p.withBody,
		Megabytes: grantedMegabytes, Descriptors: p.descriptors, KeptLives: keptLives,
	}
	result, begun := trial.Run(kinds...)
	qt.Assert(t, begun, qt.IsTrue)
	t.Logf("%s; granted %d MB and %d descriptors", result, grantedMegabytes, p.descriptors)
	qt.Check(t, trial.Violations(result), qt.HasLen, 0)
	select {
	case <-p.ended:
		t.Errorf("the process has ended: %s", p.logged())
	default:
	}
}

var crowdedProcesses = map[string]func(*testing.T, int) *crowdedProcess{"entry": startCrowdedEntry, "sidecar": startCrowdedSidecar}

func checkCrowdOfBodies(t *testing.T, start func(*testing.T, int) *crowdedProcess) {
	for name, client := range crowd.Clients {
		t.Run(name, func(t *testing.T) { start(t, grantedDescriptors).check(t, true, client) })
	}
	t.Run("all kinds", func(t *testing.T) { start(t, grantedDescriptors).check(t, true, crowd.Mix()...) })
}

// Guards against an entry that runs out of memory under many requests which do not end or are too large, or that
// serves nobody else meanwhile.
func TestCrowdOfBodiesAtTheEntry(t *testing.T) { checkCrowdOfBodies(t, startCrowdedEntry) }

// Guards against a sidecar that runs out of memory under many requests which do not end or are too large, or whose
// endpoint serves nobody else meanwhile.
func TestCrowdOfBodiesAtTheSidecar(t *testing.T) { checkCrowdOfBodies(t, startCrowdedSidecar) }

func checkCrowdOfConnections(t *testing.T, start func(*testing.T, int) *crowdedProcess) {
	for _, name := range []string{"nothing", "head without an end", "idle after an answer", "length, at once", "announced, nothing sent"} {
		t.Run(name, func(t *testing.T) { start(t, fewDescriptors).check(t, false, crowd.Clients[name]) })
	}
	t.Run("all kinds", func(t *testing.T) { start(t, fewDescriptors).check(t, false, crowd.Mix()...) })
}

// Guards against an entry that exceeds its descriptors, or turns ordinary clients away since others hold all of them.
func TestCrowdOfConnectionsAtTheEntry(t *testing.T) { checkCrowdOfConnections(t, startCrowdedEntry) }

// Guards against a sidecar that exceeds its descriptors, or turns entries away since others hold all of them.
func TestCrowdOfConnectionsAtTheSidecar(t *testing.T) {
	checkCrowdOfConnections(t, startCrowdedSidecar)
}

// denseList sends a whole list of as many numbers as a body may have.
func denseList(w io.Writer, t crowd.Target) error {
	list := "[" + strings.Repeat("0,", t.Limit/2-2) + "0]"
	_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", t.Head, len(list), list)
	return err
}

// Guards against a process that runs out of memory by requests at its listeners for operators and other processes.
func TestCrowdOfBodiesAtOtherListeners(t *testing.T) {
	const adminLimit = 1 << 20
	for name, c := range map[string]struct {
		process string
		address func(*crowdedProcess) string
		head    string
		limit   int
		clients []crowd.Client
	}{
		"control of the entry, over the limit": {"entry", controlAddress, "POST /x", crowdBody, []crowd.Client{crowd.Clients["over the limit, stated"]}},
		"control of the entry, all kinds":      {"entry", controlAddress, "POST /x", crowdBody, crowd.Mix()},
		"control of the sidecar, all kinds":    {"sidecar", controlAddress, "POST /x", crowdBody, crowd.Mix()},
		"administration, all kinds":            {"entry", adminAddress, "POST /admin/v1/config/check", crowdBody, crowd.Mix()},
		"administration, large chunks":         {"entry", adminAddress, "POST /admin/v1/config/check", adminLimit, []crowd.Client{crowd.Clients["large chunks"]}},
		"administration, very many values":     {"entry", adminAddress, "POST /admin/v1/config/check", adminLimit, []crowd.Client{denseList}},
	} {
		t.Run(name, func(t *testing.T) {
			p := crowdedProcesses[c.process](t, grantedDescriptors)
			p.checkTarget(t, crowd.Target{Address: c.address(p), Limit: c.limit, Head: c.head + " HTTP/1.1\r\nHost: a\r\nX-Number: {n}\r\n"}, true, c.clients...)
		})
	}
}

func controlAddress(p *crowdedProcess) string { return p.row.Control }

func adminAddress(p *crowdedProcess) string { return p.admin }

// Guards against limits of an entry that refuse a single request which keeps them.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	for name, start := range crowdedProcesses {
		for framing, hide := range map[string]bool{"length": false, "chunks": true} {
			t.Run(name+", "+framing, func(t *testing.T) {
				p := start(t, grantedDescriptors)
				var body io.Reader = strings.NewReader(strings.Repeat("x", crowdBody))
				if hide {
					body = io.MultiReader(body)
				}
				path, header := "/services/records/receipts", []string{"X-Workspace", "demo", "X-Class", "interactive"}
				if name == "sidecar" {
					path, header = sidecarhttp.PathPrefix+"records-1/receipts", []string{sidecarhttp.HeaderAttempt, "largest"}
				}
				resp, err := http.DefaultClient.Do(newRequest(http.MethodPost, p.row.Address, path, body, header...))
				qt.Assert(t, err, qt.IsNil)
				_ = resp.Body.Close()
				qt.Check(t, resp.StatusCode, qt.Equals, http.StatusCreated)
			})
		}
	}
}
