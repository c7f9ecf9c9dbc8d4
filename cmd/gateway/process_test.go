package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/rows"
)

// processVariable names the settings of a gateway that this program runs as, in place of the tests.
const processVariable = "CARAWAYSPREAD_TEST_GATEWAY"

func TestMain(m *testing.M) {
	if name := os.Getenv(processVariable); name != "" {
		os.Args = []string{"gateway", "--config", name}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// process is a gateway as a process of its own, which gets its settings late.
type process struct {
	cmd      *exec.Cmd
	settings *os.File
	text     string
	listen   chan string
	ended    chan error
}

// startProcess starts a gateway, and returns when it waits for its settings.
func startProcess(t *testing.T, store *rows.Store) *process {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	const anyPort = "127.0.0.1:0"
	p := &process{listen: make(chan string, 1), ended: make(chan error, 1)}
	p.text = fmt.Sprintf(`{"instance":{"id":"g","zone":"z"},"addresses":{"listen":%q,"health":%q,"peer":%q,"metrics":%q},
		"store":%q,"seeds":[],"grace":"8s","memoryMegabytes":100,"retries":{"ratio":0.2,"slack":50,"window":"10s"}}`,
		anyPort, anyPort, anyPort, anyPort, strings.TrimPrefix(server.URL, "http://"))
	name := filepath.Join(t.TempDir(), "settings.jsonc")
	qt.Assert(t, syscall.Mkfifo(name, 0o600), qt.IsNil)
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), processVariable+"="+name)
	out, err := p.cmd.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	go func() {
		address := regexp.MustCompile(`listen=([0-9.:]+)`)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if found := address.FindStringSubmatch(lines.Text()); found != nil {
				p.listen <- found[1]
			}
		}
		p.ended <- p.cmd.Wait()
	}()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	p.settings, err = os.OpenFile(name, os.O_WRONLY, 0) // returns when the process reads
	qt.Assert(t, err, qt.IsNil)
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	qt.Assert(t, p.cmd.Process.Signal(s), qt.IsNil)
}

// begin has the process read its settings.
func (p *process) begin(t *testing.T) {
	t.Helper()
	_, err := p.settings.WriteString(p.text)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.settings.Close(), qt.IsNil)
}

// awaitServing returns the address for callers of a process that serves.
func (p *process) awaitServing(t *testing.T) string {
	t.Helper()
	var address string
	select {
	case address = <-p.listen:
	case err := <-p.ended:
		t.Fatalf("the process has ended: %v", err)
	}
	waitUntil(t, func() bool { return streamAt(address, "first") == http.StatusOK })
	return address
}

// streamAt sends a stream that must not run twice, and returns the status of its answer; zero if that is not complete.
func streamAt(address, id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/once/stream/x", strings.NewReader("body"))
	if err != nil {
		return 0
	}
	req.Host = "a.example"
	req.Header.Set("Carawayspread-Request-Id", id)
	req.Header.Set(tokenCountHeader, "10,10")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// storeOfStreams holds an engine, and routes whose streams may outlast the grace.
func storeOfStreams(t *testing.T) *rows.Store {
	t.Helper()
	store := rows.New()
	store.SetStreamTimeout(9 * time.Second)
	store.Publish(1, "model")
	w := startWorker(t, "w")
	_ = store.PutServer(w.ID(), rows.Server{Service: "model", Address: w.Address(), Zone: "z", Slots: 8, State: "ready", Stage: "decode", Seq: 1})
	return store
}

// Guards against a process that a SIGHUP ends while it starts, with the connections that callers have set up.
func TestReloadDuringTheStartEndsNoProcess(t *testing.T) {
	p := startProcess(t, storeOfStreams(t))
	p.signal(t, syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	p.begin(t)
	p.awaitServing(t)
}

// Guards against requests that a process takes for its first seconds of a shutdown, and cuts or is killed with, since
// it has noticed the signal late.
func TestSignalThatIsNoticedLateBoundsWhatIsTaken(t *testing.T) {
	p := startProcess(t, storeOfStreams(t))
	p.begin(t)
	address := p.awaitServing(t)
	p.signal(t, syscall.SIGSTOP)
	sent := time.Now()
	p.signal(t, syscall.SIGTERM)
	time.Sleep(1500 * time.Millisecond)
	p.signal(t, syscall.SIGCONT)
	var taken, refused int
	for n := 0; time.Since(sent) < 4400*time.Millisecond; n++ {
		late := time.Since(sent) > 3100*time.Millisecond
		switch status := streamAt(address, fmt.Sprint("id-", n)); {
		case late && status == http.StatusOK:
			taken++
		case late && status == http.StatusServiceUnavailable:
			refused++
		}
		time.Sleep(20 * time.Millisecond)
	}
	qt.Check(t, taken, qt.Equals, 0)
	qt.Check(t, refused > 0, qt.IsTrue)
	qt.Check(t, <-p.ended, qt.IsNil)
}
