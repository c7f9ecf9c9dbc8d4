package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/connection/s3"
	"carawayspread/internal/standin/engine"
	"carawayspread/internal/standin/instances"
	"carawayspread/internal/standin/objects"
	"carawayspread/internal/standin/plain"
	"carawayspread/internal/standin/table"
	"carawayspread/internal/standin/weights"
	"carawayspread/internal/version/change"
	"carawayspread/internal/version/changelog"
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "carawayspread")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "carawayspread")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// terminate asks a daemon to drain and end.
const terminate = syscall.SIGTERM

const (
	testConfig = `{"set": {
	"classes": [
		{"name": "interactive", "firstToken": "10s", "betweenTokens": "1s", "share": 0.95},
		{"name": "finding", "whole": "60s", "share": 0.95, "atMostOnce": true}],
	"workspaces": [{"name": "demo"}],
	"services": [
		{"name": "assistant", "kind": "model", "models": ["stand-in"]},
		{"name": "records", "kind": "plain"}]}}`
	entrySettings = `{
	"instance": {"id": %q, "role": "entry", "region": "local", "zone": "zone-a"},
	"addresses": {"listen": "127.0.0.1:0", "control": "127.0.0.1:0", "admin": "127.0.0.1:0"},
	"platform": {%s},
	"rolePolicy": "threshold",
	"timeouts": {"betweenBytes": "1500ms", "configPoll": "500ms", "configFresh": "2s"}}`
	sidecarSettings = `{
	"instance": {"id": %q, "role": "sidecar", "region": "local", "zone": "zone-a"},
	"addresses": {"listen": "127.0.0.1:0", "control": "127.0.0.1:0"},
	"platform": {%s},
	"endpoints": [%s]}`
)

// fleet is a set of entry and sidecar processes with stand-ins that run in the test process.
type fleet struct {
	t        testing.TB
	table    *table.Table
	list     *instances.List
	platform string // JSON of the platform, as in the settings
	changes  *changelog.Log
	config   *carawayspread.Config // the newest that was accepted
}

func newFleet(t testing.TB) *fleet {
	clock := carawayspread.SystemClock()
	f := &fleet{t: t, table: table.New(clock), list: instances.New(clock, 0)}
	tableAddress, objectsAddress := serve(t, f.table), serve(t, objects.New(clock))
	f.platform = fmt.Sprintf(`"table": %q, "objects": %q, "instanceList": %q, "weights": %q`,
		tableAddress, objectsAddress, serve(t, f.list), serve(t, weights.New(clock, time.Second, 1, 1)))
	f.changes = changelog.New(dynamodb.New("http://"+tableAddress), s3.New("http://"+objectsAddress), clock)
	f.config = carawayspread.NewConfig(0, nil, nil, nil)
	f.change(testConfig)
	return f
}

// change appends a change of the configuration to its log.
func (f *fleet) change(text string) {
	f.t.Helper()
	_, cfg, err := f.changes.Append(context.Background(), changelog.Proposal{
		Change: change.Parse("test", []byte(text)), Against: f.config.Version(), Actor: "test", Held: f.config,
	})
	qt.Assert(f.t, err, qt.IsNil)
	f.config = cfg
}

func serve(t testing.TB, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// process is one daemon process.
type process struct {
	t       testing.TB
	cmd     *exec.Cmd
	row     carawayspread.Instance
	admin   string
	link    *link // between the entries and a sidecar, where there is one
	mu      sync.Mutex
	log     bytes.Buffer
	started chan string // the log line with its addresses
	ended   chan struct{}
}

var addressPattern = regexp.MustCompile(`(admin|control|listen)=(\S+)`)

// start starts a daemon and adds it to the instance list.
func (f *fleet) start(role carawayspread.InstanceRole, id, settings string, endpoints ...carawayspread.InstanceEndpoint) *process {
	f.t.Helper()
	file := filepath.Join(f.t.TempDir(), id+".jsonc")
	qt.Assert(f.t, os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	p := &process{t: f.t, started: make(chan string, 1), ended: make(chan struct{})}
	p.cmd = exec.Command(binary, string(role), "--config", file)
	stderr, err := p.cmd.StderrPipe()
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, p.cmd.Start(), qt.IsNil)
	go p.readLog(stderr)
	f.t.Cleanup(p.kill)
	var line string
	select {
	case line = <-p.started:
	case <-p.ended:
		f.t.Fatalf("%s did not start:\n%s", id, p.logged())
	}
	p.row = carawayspread.Instance{ID: id, Role: role, State: carawayspread.InstanceLive, Region: "local", Zone: "zone-a", Endpoints: endpoints}
	for _, match := range addressPattern.FindAllStringSubmatch(line, -1) {
		switch match[1] {
		case "listen":
			p.row.Address = match[2]
		case "control":
			p.row.Control = match[2]
		case "admin":
			p.admin = match[2]
		}
	}
	f.list.Put(p.row)
	return p
}

func (p *process) readLog(stderr io.Reader) {
	defer close(p.ended)
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		p.mu.Lock()
		p.log.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
		if strings.Contains(lines.Text(), ` serves"`) {
			p.started <- lines.Text()
		}
	}
	_ = p.cmd.Wait()
}

func (p *process) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// sidecar starts a sidecar with those endpoints.
func (f *fleet) sidecar(id string, endpoints ...endpoint) *process {
	return f.sidecarWith(sidecarSettings, id, endpoints...)
}

// sidecarWith starts a sidecar with settings made from that template.
func (f *fleet) sidecarWith(settings, id string, endpoints ...endpoint) *process {
	rows, fragments := []carawayspread.InstanceEndpoint{}, []string{}
	for _, e := range endpoints {
		rows = append(rows, carawayspread.InstanceEndpoint{ID: carawayspread.EndpointID(e.id), Service: e.service})
		fragments = append(fragments, fmt.Sprintf(`{"id": %q, "service": %q, "kind": %q, "address": %q, "checksFence": true, "slots": 256}`,
			e.id, e.service, e.kind, serve(f.t, e.handler)))
	}
	return f.start(carawayspread.InstanceSidecar, id, fmt.Sprintf(settings, id, f.platform, strings.Join(fragments, ",")), rows...)
}

type endpoint struct {
	id, service, kind string
	handler           http.Handler
}

func model(id string, e *engine.Engine) endpoint { return endpoint{id, "assistant", "model", e} }

func records(id string, s *plain.Service) endpoint { return endpoint{id, "records", "plain", s} }

// entry starts an entry and waits until it is ready.
func (f *fleet) entry(id string) *process { return f.entryWith(entrySettings, id) }

func (f *fleet) entryWith(settings, id string) *process {
	p := f.start(carawayspread.InstanceEntry, id, fmt.Sprintf(settings, id, f.platform))
	f.eventually(func() bool { return ready(p.admin) })
	return p
}

// eventually waits until the condition holds, for at least 30 seconds: the test must fail only where
// something is broken, not where the machine is slow.
func (f *fleet) eventually(condition func() bool) {
	f.t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatal("the condition was not met in time")
}

// answer is what a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of the request or of reading the body
}

func (a answer) code() string {
	if match := regexp.MustCompile(`"code":"(\w+)"`).FindStringSubmatch(a.body); match != nil {
		return match[1]
	}
	return ""
}

func (a answer) notRun() bool { return strings.Contains(a.body, `"notRun":true`) }

func (a answer) complete() bool { return a.err == nil && strings.HasSuffix(a.body, "data: [DONE]\n\n") }

// text returns the tokens of a completion, without the ids that differ between requests.
func (a answer) text() string {
	var text strings.Builder
	for _, match := range regexp.MustCompile(`"text":"([^"]*)"`).FindAllStringSubmatch(a.body, -1) {
		text.WriteString(match[1])
	}
	return text.String()
}

// call sends a request. If onByte is not nil, it is called when the first byte of the body arrives.
func call(p *process, method, path, class, body string, onByte func(), header ...string) answer {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+p.row.Address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("X-Workspace", "demo")
	req.Header.Set("X-Class", class)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	if onByte != nil {
		_, _ = reader.Peek(1)
		onByte()
	}
	text, err := io.ReadAll(reader)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

func streamBody(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":"stand-in","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
}

// stream requests a streamed completion.
func stream(p *process, prompt string, tokens int, onByte func()) answer {
	return call(p, http.MethodPost, "/v1/completions", "interactive", streamBody(prompt, tokens), onByte)
}
