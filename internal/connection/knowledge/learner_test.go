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

// holder keeps resources by version and rejects routes whose body is "broken".
type holder struct {
	mu           sync.Mutex
	known        carawayspread.Knowledge
	lost         bool
	queries      int
	completeOnly bool // changes to the list do not apply
}

func (h *holder) NewerThan(routes, endpoints uint64) carawayspread.Knowledge {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queries++
	var newer carawayspread.Knowledge
	if h.known.Routes.Version > routes {
		newer.Routes = h.known.Routes
	}
	if h.known.Endpoints.Version > endpoints {
		newer.Endpoints = h.known.Endpoints
		if h.completeOnly && endpoints > 0 {
			newer.Endpoints.Body = []byte("changes")
		}
	}
	return newer
}

func (h *holder) Status(resource carawayspread.Resource) carawayspread.ResourceStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	if resource == carawayspread.ResourceEndpoints {
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
	if h.completeOnly && string(k.Endpoints.Body) == "changes" {
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

// A process that the store does not answer learns from any peer that knows the routes, also if
// another peer does not respond, sends routes that cannot be adopted or knows nothing.
func TestLearnsFromAnyPeer(t *testing.T) {
	peer := &holder{known: carawayspread.Knowledge{Routes: document(7, "routes"), Endpoints: document(20, "list")}}
	broken := &holder{known: carawayspread.Knowledge{Routes: document(9, "broken")}}
	for _, other := range []string{"127.0.0.1:1", serve(t, broken), serve(t, &holder{})} {
		for range 12 { // in either query order
			h := &holder{lost: true}
			l := learner(h, other, serve(t, peer))
			l.pollPeers(context.Background())
			qt.Assert(t, h.known, qt.DeepEquals, peer.known)
			l.pollPeers(context.Background()) // nothing is newer
			qt.Assert(t, h.known, qt.DeepEquals, peer.known)
		}
	}
}

// A process that missed a version requests the complete list if the peer's changes do not apply to
// the version that it holds.
func TestCompleteListIfChangesDoNotApply(t *testing.T) {
	peer := &holder{known: carawayspread.Knowledge{Endpoints: document(20, "list")}, completeOnly: true}
	h := &holder{known: carawayspread.Knowledge{Endpoints: document(5, "old")}, completeOnly: true}
	qt.Assert(t, learner(h).Pull(context.Background(), serve(t, peer), carawayspread.ResourceEndpoints), qt.IsNil)
	qt.Check(t, string(h.known.Endpoints.Body), qt.Equals, "list")
}

// Only resources with a newer version are sent.
func TestOnlyNewerResourcesAreSent(t *testing.T) {
	peer := &holder{known: carawayspread.Knowledge{Routes: document(7, "routes"), Endpoints: document(20, "list")}}
	got, err := learner(peer).Newer(context.Background(), &NewerRequest{Routes: 7, List: 19})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.Routes, qt.IsNil)
	qt.Check(t, string(got.List.Body), qt.Equals, "list")
}

// Peers are not queried while the store answers.
func TestPeersAreNotQueriedWhileStoreAnswers(t *testing.T) {
	peer := &holder{known: carawayspread.Knowledge{Routes: document(7, "routes")}}
	h := &holder{}
	l := learner(h, serve(t, peer))
	ctx, cancel := context.WithTimeout(context.Background(), 3*pollInterval)
	defer cancel()
	qt.Check(t, errors.Is(l.Run(ctx), context.DeadlineExceeded), qt.IsTrue)
	qt.Check(t, peer.queries, qt.Equals, 0)
	qt.Check(t, h.known, qt.DeepEquals, carawayspread.Knowledge{})
}

// older is a process of an older release, which supports neither changes nor compressed bodies.
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

// Guards against a rolling release during which processes of the two releases cannot learn from each
// other.
func TestCompatibleWithOlderProcesses(t *testing.T) {
	known := carawayspread.Knowledge{Routes: document(7, strings.Repeat("routes", 1000)), Endpoints: document(20, strings.Repeat("list", 1000))}
	server := httptest.NewServer(NewKnowledgeServer(older{known}))
	t.Cleanup(server.Close)
	h := &holder{}
	l := learner(h)
	for resource := range carawayspread.ResourceCount {
		qt.Assert(t, l.Pull(context.Background(), strings.TrimPrefix(server.URL, "http://"), resource), qt.IsNil)
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

// fixedAnswer sends the same answer to every request.
type fixedAnswer struct{ answer *NewerResponse }

func (f fixedAnswer) Newer(context.Context, *NewerRequest) (*NewerResponse, error) {
	return f.answer, nil
}

// Guards against answers that exhaust the memory, and against invalid answers that are adopted in part.
// Each must end with an error, and another peer can be queried afterwards.
func TestInvalidAnswersAreRejected(t *testing.T) {
	c := newPackCache()
	packed := func(body []byte) []byte {
		b, err := c.pack(carawayspread.ResourceRoutes, carawayspread.Document{Body: body})
		qt.Assert(t, err, qt.IsNil)
		return b
	}
	valid := packed(bytes.Repeat([]byte("routes"), 1000))
	for name, body := range map[string][]byte{
		"not gzip":               []byte("routes"),
		"truncated":              valid[:len(valid)-9],
		"decompressed too large": packed(make([]byte, maxUnpackedBytes+1)),
		"too large":              make([]byte, maxAnswerBytes),
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(NewKnowledgeServer(fixedAnswer{&NewerResponse{Routes: &Document{Version: 9, Body: body, Packed: true}}}))
			t.Cleanup(server.Close)
			h := &holder{known: carawayspread.Knowledge{Routes: document(7, "routes")}}
			l := learner(h)
			qt.Check(t, l.Pull(context.Background(), strings.TrimPrefix(server.URL, "http://"), carawayspread.ResourceRoutes), qt.IsNotNil)
			qt.Check(t, string(h.known.Routes.Body), qt.Equals, "routes")
			peer := &holder{known: carawayspread.Knowledge{Routes: document(9, "newer")}}
			qt.Check(t, l.Pull(context.Background(), serve(t, peer), carawayspread.ResourceRoutes), qt.IsNil)
			qt.Check(t, string(h.known.Routes.Body), qt.Equals, "newer")
		})
	}
}

// A body that many processes request is compressed once, and few results are kept.
func TestBodyIsCompressedOnce(t *testing.T) {
	c := newPackCache()
	body := bytes.Repeat([]byte("routes"), 1000)
	first, err := c.pack(carawayspread.ResourceRoutes, carawayspread.Document{Version: 1, Body: body})
	qt.Assert(t, err, qt.IsNil)
	again, err := c.pack(carawayspread.ResourceRoutes, carawayspread.Document{Version: 1, Body: bytes.Clone(body)})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, &first[0], qt.Equals, &again[0])
	other, err := c.pack(carawayspread.ResourceRoutes, carawayspread.Document{Version: 1, Body: []byte("other")})
	qt.Assert(t, err, qt.IsNil)
	unpacked, err := transfer.Unpack(other, maxUnpackedBytes)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(unpacked), qt.Equals, "other")
	for version := range uint64(100) {
		_, err := c.pack(carawayspread.ResourceEndpoints, carawayspread.Document{Version: version, Body: body})
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, c.kept, qt.HasLen, packCacheSize)
	qt.Check(t, c.keys, qt.HasLen, packCacheSize)
}
