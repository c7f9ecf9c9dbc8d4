package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"carawayspread/internal/standin/engine"
	"carawayspread/internal/standin/plain"
)

// session is a transcript of what callers and operators send and receive.
// `go test ./cmd/carawayspread -run Sessions -update` rewrites the golden files.
type session struct {
	*fleet
	text strings.Builder
}

// volatile lists what differs between runs, with what replaces it in the transcript.
var volatile = []struct {
	pattern *regexp.Regexp
	name    string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "<id>"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "<address>"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "<time>"},
	{regexp.MustCompile(`(Retry-After: )\d+`), "${1}<seconds>"},
	{regexp.MustCompile(`\d+(\.\d+)?m?s ago`), "<age> ago"},
	{regexp.MustCompile(`("evidenceAgeMs": ?)\d+`), "${1}<ms>"},
}

// shownHeaders are the headers of an answer that callers act on.
var shownHeaders = []string{"Content-Type", "Retry-After", "X-Should-Retry", "Idempotent-Replayed"}

func (s *session) note(format string, args ...any) { fmt.Fprintf(&s.text, format+"\n", args...) }

// caller sends a request and writes it and the answer to the transcript.
func (s *session) caller(p *process, method, path, class, body string, onByte func(), header ...string) answer {
	s.note("> %s %s via %s, X-Class: %s %s\n> %s\n", method, path, p.row.ID, class, strings.Join(header, ": "), body)
	got := call(p, method, path, class, body, onByte, header...)
	s.note("< %d", got.status)
	for _, name := range shownHeaders {
		if value := got.header.Get(name); value != "" {
			s.note("< %s: %s", name, value)
		}
	}
	s.note("<\n%s", got.body)
	return got
}

// operator runs a command and writes it and its output to the transcript.
func (s *session) operator(p *process, args ...string) {
	s.note("$ carawayspread %s", strings.Join(args, " "))
	out, _ := exec.Command(binary, append(args, "--server", "http://"+p.admin, "--actor", "ana")...).CombinedOutput()
	s.note("%s", out)
}

func (s *session) check(name string) {
	text := s.text.String()
	for _, v := range volatile {
		text = v.pattern.ReplaceAllString(text, v.name)
	}
	goldie.New(s.t, goldie.WithNameSuffix(".golden")).Assert(s.t, name, []byte(text))
}

const (
	chatPath = "/v1/chat/completions"
	chatBody = `{"model":"stand-in","messages":[{"role":"user","content":"Is Chia one place?"}],"max_tokens":3%s}`
)

func TestSessions(t *testing.T) {
	tests := map[string]func(s *session){
		"goodPath":        goodPath,
		"refusal":         refusal,
		"resume":          resume,
		"drain":           drain,
		"atMostOnceRetry": atMostOnceRetry,
		"storeOutage":     storeOutage,
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			s := &session{fleet: newFleet(t)}
			run(s)
			s.check(name)
		})
	}
}

func goodPath(s *session) {
	s.sidecar("sidecar-1", model("engine-1", engine.New(engine.ChecksFence())), records("records-1", plain.New(0)))
	entry := s.entry("entry-1")
	s.caller(entry, http.MethodGet, "/v1/models", "interactive", "", nil)
	s.caller(entry, http.MethodPost, chatPath, "interactive", fmt.Sprintf(chatBody, ""), nil)
	s.caller(entry, http.MethodPost, chatPath, "interactive", fmt.Sprintf(chatBody, `,"stream":true`), nil)
	s.caller(entry, http.MethodGet, "/services/records/records/25175", "interactive", "", nil)
	s.operator(entry, "class", "list")
	s.operator(entry, "class", "set", "interactive", "--first-token", "2s", "--share", "0.9", "--against", "1")
	s.operator(entry, "class", "show", "interactive")
}

func refusal(s *session) {
	s.sidecar("sidecar-1", model("engine-1", engine.New(engine.ChecksFence())))
	entry := s.entry("entry-1")
	good := fmt.Sprintf(chatBody, "")
	s.caller(entry, http.MethodPost, chatPath, "no-such-class", good, nil)
	s.caller(entry, http.MethodPost, chatPath, "interactive", `{"model":`, nil)
	s.caller(entry, http.MethodPost, chatPath, "interactive", good, nil, "X-Deadline", "2020-01-01T00:00:00Z")
	s.caller(entry, http.MethodPost, chatPath, "interactive", strings.Replace(good, "stand-in", "none", 1), nil)
	s.caller(entry, http.MethodDelete, chatPath, "interactive", "", nil)
}

func resume(s *session) {
	engines := map[*engine.Engine]*process{}
	for _, id := range []string{"1", "2"} {
		e := engine.New(engine.TokenEvery(gap), engine.ChecksFence())
		engines[e] = s.sidecar("sidecar-"+id, model("engine-"+id, e))
	}
	entry := s.entry("entry-1")
	s.note("The sidecar is killed when the first token has arrived.")
	s.caller(entry, http.MethodPost, "/v1/completions", "interactive", streamBody("municipio", 8), func() {
		engines[busy(engines)].kill()
	})
}

func drain(s *session) {
	first := s.sidecar("sidecar-1", model("engine-1", engine.New(engine.ChecksFence())))
	s.sidecar("sidecar-2", model("engine-2", engine.New(engine.ChecksFence())))
	entry := s.entry("entry-1")
	s.operator(entry, "drain", "--instance", first.row.ID)
	s.caller(entry, http.MethodPost, chatPath, "interactive", fmt.Sprintf(chatBody, ""), nil)
	s.operator(entry, "audit")
}

func atMostOnceRetry(s *session) {
	s.sidecar("sidecar-1", records("records-1", plain.New(0)))
	entries := []*process{s.entry("entry-1"), s.entry("entry-2")}
	const path = "/services/records/receipts"
	for _, entry := range entries {
		s.caller(entry, http.MethodPost, path, "interactive", `{"rent":7}`, nil, "Idempotency-Key", "claim-7")
	}
	s.caller(entries[1], http.MethodPost, path, "interactive", `{"rent":8}`, nil, "Idempotency-Key", "claim-7")
	s.caller(entries[0], http.MethodGet, path, "interactive", "", nil)
}

func storeOutage(s *session) {
	s.sidecar("sidecar-1", model("engine-1", engine.New(engine.ChecksFence())), records("records-1", plain.New(0)))
	entry := s.entry("entry-1")
	s.note("The table service is down.")
	s.table.SetDown(true)
	s.caller(entry, http.MethodPost, chatPath, "interactive", fmt.Sprintf(chatBody, ""), nil)
	s.caller(entry, http.MethodPost, "/services/records/receipts", "interactive", `{"rent":7}`, nil, "Idempotency-Key", "claim-7")
	s.operator(entry, "class", "set", "interactive", "--first-token", "2s", "--share", "0.9", "--against", "1")
	s.note("The table service is back.")
	s.table.SetDown(false)
	s.eventually(func() bool {
		return call(entry, http.MethodPost, "/services/records/receipts", "interactive", `{"rent":9}`, nil, "Idempotency-Key", "probe").status == http.StatusCreated
	})
	s.caller(entry, http.MethodPost, "/services/records/receipts", "interactive", `{"rent":7}`, nil, "Idempotency-Key", "claim-7")
}
