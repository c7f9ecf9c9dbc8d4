package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"github.com/urfave/cli/v2"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/connection/s3"
	"carawayspread/internal/process/admin"
	"carawayspread/internal/process/confsync"
	"carawayspread/internal/process/fleet"
	"carawayspread/internal/standin/objects"
	"carawayspread/internal/standin/table"
	"carawayspread/internal/version/changelog"
)

// jumpingClock is a clock that advances to the end of every wait at once.
type jumpingClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *jumpingClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *jumpingClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	woken := make(chan time.Time)
	close(woken)
	return woken
}

// fakeInstance is an instance of the session that answers control calls.
type fakeInstance struct {
	control.Control
	id          string
	syncer      *confsync.Syncer
	unreachable bool
}

func (i *fakeInstance) Status(context.Context, *control.StatusRequest) (*control.StatusResponse, error) {
	if i.unreachable {
		return nil, errors.New("connection refused")
	}
	answer := &control.StatusResponse{Instance: i.id, ConfigVersion: uint64(i.syncer.Held().Version())}
	if i.id == "sidecar-1" {
		answer.Endpoints = []*control.EndpointLoad{{Endpoint: "worker-1", Running: 3, Slots: 16}}
	}
	return answer, nil
}

func (i *fakeInstance) Drain(context.Context, *control.DrainRequest) (*control.DrainResponse, error) {
	if i.unreachable {
		return nil, errors.New("connection refused")
	}
	return &control.DrainResponse{Running: 3}, nil
}

// session is one entry with its administration API, a sidecar and the platform.
type session struct {
	tables     *table.Table
	server     *httptest.Server
	sidecar    *fakeInstance
	loseAnswer bool // of the next request to the API, after the request was performed
	out        strings.Builder
}

func newSession(t *testing.T) *session {
	s := &session{tables: table.New(carawayspread.SystemClock())}
	tableServer := httptest.NewServer(s.tables)
	storeServer := httptest.NewServer(objects.New(carawayspread.SystemClock()))
	tableClient, storeClient := dynamodb.New(tableServer.URL), s3.New(storeServer.URL)

	discardLogger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	clock := &jumpingClock{now: time.Date(2026, 12, 2, 9, 30, 0, 0, time.UTC)}
	attempts := 0
	configLog := changelog.New(tableClient, storeClient, clock, changelog.WithLogger(discardLogger),
		changelog.WithTokens(func() string { attempts++; return fmt.Sprintf("attempt-%d", attempts) }))
	entry := &fakeInstance{id: "entry-1", syncer: confsync.New(configLog, clock, confsync.WithLogger(discardLogger))}
	s.sidecar = &fakeInstance{id: "sidecar-1", syncer: entry.syncer}

	api := admin.New(configLog, entry.syncer, fleet.New(s.list, s.dial(entry)), clock, admin.WithLogger(discardLogger))
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.loseAnswer {
			s.loseAnswer = false
			api.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		api.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		s.server.Close()
		tableClient.Close()
		storeClient.Close()
		tableServer.Close()
		storeServer.Close()
	})
	return s
}

func (s *session) list(context.Context) ([]carawayspread.Instance, error) {
	live := carawayspread.InstanceLive
	return []carawayspread.Instance{
		{ID: "entry-1", Role: carawayspread.InstanceEntry, State: live, Zone: "bogota-norte", Control: "entry"},
		{
			ID: "sidecar-1", Role: carawayspread.InstanceSidecar, State: live, Zone: "bogota-sur", Control: "sidecar",
			Endpoints: []carawayspread.InstanceEndpoint{{ID: "worker-1", Service: "nombres-llm"}},
		},
	}, nil
}

func (s *session) dial(entry *fakeInstance) func(string) control.Control {
	return func(address string) control.Control {
		if address == "entry" {
			return entry
		}
		return s.sidecar
	}
}

// events maps lines of a session to the faults and recoveries between its commands.
var events = map[string]func(*session){
	"# the table service goes down":                func(s *session) { s.tables.SetDown(true) },
	"# the table service is back":                  func(s *session) { s.tables.Clear() },
	"# the table loses the next answer":            func(s *session) { s.tables.LoseAnswers(1) },
	"# the entry's next answer is lost on its way": func(s *session) { s.loseAnswer = true },
	"# sidecar-1 is cut off":                       func(s *session) { s.sidecar.unreachable = true },
	"# sidecar-1 is back":                          func(s *session) { s.sidecar.unreachable = false },
}

// run executes one line of a session and records the output that the operator sees.
func (s *session) run(t *testing.T, line string) {
	fmt.Fprintln(&s.out, line)
	if strings.HasPrefix(line, "#") {
		event, ok := events[line]
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf(line))
		event(s)
		return
	}
	actor, command, _ := strings.Cut(line, "$ ")
	t.Setenv("CARAWAYSPREAD_SERVER", s.server.URL)
	t.Setenv("CARAWAYSPREAD_ACTOR", actor)
	code := 0
	app := &cli.App{
		Name: "carawayspread", Commands: Commands(), Writer: &s.out, ErrWriter: &s.out,
		ExitErrHandler: func(_ *cli.Context, err error) {
			var exit cli.ExitCoder
			if errors.As(err, &exit) {
				code = exit.ExitCode()
				fmt.Fprint(&s.out, strings.TrimLeft(exit.Error()+"\n", "\n"))
			}
		},
	}
	_ = app.Run(append([]string{"carawayspread"}, strings.Fields(command)...))
	if code != 0 {
		fmt.Fprintf(&s.out, "exit %d\n", code)
	}
}

// Each golden file is a complete session: the operators' commands, the faults between them, and every
// byte of the output. The flag -update records them again.
func TestSessions(t *testing.T) {
	names := []string{"goodPath", "conflict", "refused", "storeOutage", "lostAnswer", "drain", "usage"}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			script, err := os.ReadFile("testdata/" + name + ".session")
			qt.Assert(t, err, qt.IsNil)
			s := newSession(t)
			for _, line := range strings.Split(strings.TrimSpace(string(script)), "\n") {
				s.run(t, line)
			}
			goldie.New(t).Assert(t, name, []byte(s.out.String()))
		})
	}
}
