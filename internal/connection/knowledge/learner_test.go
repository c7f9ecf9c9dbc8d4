package knowledge

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/transfer"
)

// holder knows by versions and refuses a body that says so.
type holder struct {
	mu    sync.Mutex
	known carawayspread.Knowledge
	lost  bool
	asked int
	whole bool // only the whole list fits
}

func (h *holder) NewerThan(routes, list uint64) carawayspread.Knowledge {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked++
	var newer carawayspread.Knowledge
	if h.known.Routes.Version > routes {
		newer.Routes = h.known.Routes
	}
	if h.known.Endpoints.Version > list {
		newer.Endpoints = h.known.Endpoints
		if h.whole && list > 0 {
			newer.Endpoints.Body = []byte("changes")
		}
	}
	return newer
}

func (h *holder) Status(of carawayspread.Resource) carawayspread.ResourceStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	if of == carawayspread.ResourceEndpoints {
		return carawayspread.ResourceStatus{Version: h.known.Endpoints.Version}
	}
	return carawayspread.ResourceStatus{Version: h.known.Routes.Version}
}

func (h *holder) Learn(k carawayspread.Knowledge) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if string(k.Routes.Body) == "broken" {
		return false, errors.New("broken")
	}
	if h.whole && string(k.Endpoints.Body) == "changes" {
		return false, carawayspread.ErrDeltaMismatch
	}
	learnt := false
	if k.Routes.Version > h.known.Routes.Version {
		h.known.Routes, learnt = k.Routes, true
	}
	if k.Endpoints.Version > h.known.Endpoints.Version {
		h.known.Endpoints, learnt = k.Endpoints, true
	}
	return learnt, nil
}

func (h *holder) Stale() bool { return h.lost }

func document(version uint64, body string) carawayspread.Document {
	return carawayspread.Document{Version: version, Body: []byte(body)}
}

func learner(h *holder, peers ...string) *Learner {
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	return New(h, func() []string { return append([]string(nil), peers...) }, carawayspread.SystemClock(), quiet, metrics.NewSet())
}

func serve(t *testing.T, h *holder) string {
	t.Helper()
	server := httptest.NewServer(learner(h).Handler())
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Callers of a process without the store are served by what any peer knows: one
// is gone, one hands on what cannot be read, one knows nothing, one knows.
func TestOneOfThePeersKnows(t *testing.T) {
	knows := &holder{known: carawayspread.Knowledge{Routes: document(7, "routes"), Endpoints: document(20, "list")}}
	broken := &holder{known: carawayspread.Knowledge{Routes: document(9, "broken")}}
	for _, other := range []string{"127.0.0.1:1", serve(t, broken), serve(t, &holder{})} {
		for range 12 { // in either order
			h := &holder{lost: true}
			l := learner(h, other, serve(t, knows))
			l.ask(context.Background())
			qt.Assert(t, h.known, qt.DeepEquals, knows.known)
			l.ask(context.Background()) // nothing is newer
			qt.Assert(t, h.known, qt.DeepEquals, knows.known)
		}
	}
}

// A process that has missed something between two peers asks for the whole where the
// changes do not fit.
func TestWholeListWhereChangesDoNotFit(t *testing.T) {
	knows := &holder{known: carawayspread.Knowledge{Endpoints: document(20, "list")}, whole: true}
	h := &holder{known: carawayspread.Knowledge{Endpoints: document(5, "old")}, whole: true}
	qt.Assert(t, learner(h).Ask(context.Background(), serve(t, knows), carawayspread.ResourceEndpoints), qt.IsNil)
	qt.Check(t, string(h.known.Endpoints.Body), qt.Equals, "list")
}

// Only what is newer travels.
func TestNewerAlone(t *testing.T) {
	knows := &holder{known: carawayspread.Knowledge{Routes: document(7, "routes"), Endpoints: document(20, "list")}}
	got, err := learner(knows).Newer(context.Background(), &NewerRequest{Routes: 7, List: 19})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.Routes, qt.IsNil)
	qt.Check(t, string(got.List.Body), qt.Equals, "list")
}

// Peers are left alone while the store answers.
func TestNobodyIsAskedBesideTheStore(t *testing.T) {
	knows := &holder{known: carawayspread.Knowledge{Routes: document(7, "routes")}}
	h := &holder{}
	l := learner(h, serve(t, knows))
	ctx, cancel := context.WithTimeout(context.Background(), 3*askEvery)
	defer cancel()
	qt.Check(t, errors.Is(l.Run(ctx), context.DeadlineExceeded), qt.IsTrue)
	qt.Check(t, knows.asked, qt.Equals, 0)
	qt.Check(t, h.known, qt.DeepEquals, carawayspread.Knowledge{})
}

// older is a process that knows nothing of changes and packed bodies.
type older struct{ known carawayspread.Knowledge }

func (o older) Newer(_ context.Context, req *NewerRequest) (*NewerResponse, error) {
	got := &NewerResponse{}
	if o.known.Routes.Version > req.Routes {
		got.Routes = &Document{Version: o.known.Routes.Version, Body: o.known.Routes.Body}
	}
	if o.known.Endpoints.Version > req.List {
		got.List = &Document{Version: o.known.Endpoints.Version, Body: o.known.Endpoints.Body}
	}
	return got, nil
}

// Guards against a rolling release in which processes of two versions learn nothing from
// one another.
func TestOlderProcessesUnderstandOneAnother(t *testing.T) {
	known := carawayspread.Knowledge{Routes: document(7, strings.Repeat("routes", 1000)), Endpoints: document(20, strings.Repeat("list", 1000))}
	server := httptest.NewServer(NewKnowledgeServer(older{known}))
	t.Cleanup(server.Close)
	h := &holder{}
	l := learner(h)
	for of := range carawayspread.ResourceCount {
		qt.Assert(t, l.Ask(context.Background(), strings.TrimPrefix(server.URL, "http://"), of), qt.IsNil)
	}
	qt.Check(t, h.known, qt.DeepEquals, known)

	got, err := NewKnowledgeProtobufClient("http://"+serve(t, &holder{known: known}), http.DefaultClient).Newer(
		context.Background(), &NewerRequest{Routes: 3, List: 3})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(got.Routes.Body), qt.Equals, string(known.Routes.Body))
	qt.Check(t, got.Routes.Since, qt.Equals, uint64(0))
	qt.Check(t, string(got.List.Body), qt.Equals, string(known.Endpoints.Body))
	qt.Check(t, got.Routes.Packed || got.List.Packed, qt.IsFalse)
}

// forged answers whatever it is told to.
type forged struct{ answer *NewerResponse }

func (f forged) Newer(context.Context, *NewerRequest) (*NewerResponse, error) { return f.answer, nil }

// Guards against memory that a peer's answer fills, and against an answer that cannot be
// read and is taken in part: each ends with an error, and another peer is asked.
func TestAnswersThatCannotBeTaken(t *testing.T) {
	p := newPacker()
	packed := func(body []byte) []byte {
		b, err := p.pack(carawayspread.ResourceRoutes, carawayspread.Document{Body: body})
		qt.Assert(t, err, qt.IsNil)
		return b
	}
	good := packed(bytes.Repeat([]byte("routes"), 1000))
	for name, body := range map[string][]byte{
		"no gzip":           []byte("routes"),
		"cut off":           good[:len(good)-9],
		"bursts":            packed(make([]byte, unpackedLimit+1)),
		"larger than taken": make([]byte, answerLimit),
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(NewKnowledgeServer(forged{&NewerResponse{Routes: &Document{Version: 9, Body: body, Packed: true}}}))
			t.Cleanup(server.Close)
			h := &holder{known: carawayspread.Knowledge{Routes: document(7, "routes")}}
			l := learner(h)
			qt.Check(t, l.Ask(context.Background(), strings.TrimPrefix(server.URL, "http://"), carawayspread.ResourceRoutes), qt.IsNotNil)
			qt.Check(t, string(h.known.Routes.Body), qt.Equals, "routes")
			knows := &holder{known: carawayspread.Knowledge{Routes: document(9, "newer")}}
			qt.Check(t, l.Ask(context.Background(), serve(t, knows), carawayspread.ResourceRoutes), qt.IsNil)
			qt.Check(t, string(h.known.Routes.Body), qt.Equals, "newer")
		})
	}
}

// What many processes ask for is packed once, and little is kept.
func TestPackedOnce(t *testing.T) {
	p := newPacker()
	body := bytes.Repeat([]byte("routes"), 1000)
	first, err := p.pack(carawayspread.ResourceRoutes, carawayspread.Document{Version: 1, Body: body})
	qt.Assert(t, err, qt.IsNil)
	again, err := p.pack(carawayspread.ResourceRoutes, carawayspread.Document{Version: 1, Body: bytes.Clone(body)})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, &first[0], qt.Equals, &again[0])
	other, err := p.pack(carawayspread.ResourceRoutes, carawayspread.Document{Version: 1, Body: []byte("other")})
	qt.Assert(t, err, qt.IsNil)
	unpacked, err := transfer.Unpack(other, unpackedLimit)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(unpacked), qt.Equals, "other")
	for version := range uint64(100) {
		_, err := p.pack(carawayspread.ResourceEndpoints, carawayspread.Document{Version: version, Body: body})
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, p.kept, qt.HasLen, packedKept)
	qt.Check(t, p.names, qt.HasLen, packedKept)
}
