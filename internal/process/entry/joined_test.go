package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/request/call"
)

// newStreamCall returns the call of a request whose answer is to be a stream.
func newStreamCall(t *testing.T) *call.Call {
	t.Helper()
	cfg := carawayspread.NewConfig(1, map[string]carawayspread.Class{"chat": carawayspread.NewClass("chat", carawayspread.NewTarget(time.Second, 0, time.Second, 0.9), false)},
		map[string]carawayspread.Workspace{"demo": carawayspread.NewWorkspace("demo")},
		map[string]carawayspread.Service{"chat": carawayspread.NewService("chat", carawayspread.KindModel, []string{"m"}, true)})
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"p","stream":true}`))
	r.Header.Set("X-Workspace", "demo")
	r.Header.Set("X-Class", "chat")
	c, err := call.Read(httptest.NewRecorder(), r, cfg, call.Limits{Body: 1 << 10}, "1", time.Now())
	qt.Assert(t, err, qt.IsNil)
	return c
}

// dataOf returns events of this data.
func dataOf(data ...string) string {
	var b strings.Builder
	for _, d := range data {
		fmt.Fprintf(&b, "data: %s\n\n", d)
	}
	return b.String()
}

// An answer goes on at another endpoint behind what its caller has, and holds parts twice, or an object and events
// behind one another; or its end is made to look like that of a whole one.
func TestAnswerIsNotJoinedFromTwoRuns(t *testing.T) {
	const stream, object, done = "text/event-stream", "application/json", "[DONE]"
	long := `{"text":"` + strings.Repeat("x", 2*maxHeldBack)
	type run struct {
		mediaType string
		body      string
		resumed   int // events after which the endpoint says that it goes on; none if negative
		cut       bool
	}
	for name, test := range map[string]struct {
		runs  []run
		want  string
		whole bool
		reset bool // the caller sees the end of the connection only
	}{
		"a stream goes on":                  {runs: []run{{stream, dataOf("1", "2"), -1, true}, {stream, dataOf("3", done), 2, false}}, want: dataOf("1", "2", "3", done), whole: true},
		"the offset is ignored":             {runs: []run{{stream, dataOf("1", "2"), -1, true}, {stream, dataOf("1", "2", "3", done), -1, false}}, want: dataOf("1", "2")},
		"from another offset":               {runs: []run{{stream, dataOf("1", "2"), -1, true}, {stream, dataOf("2", "3", done), 1, false}}, want: dataOf("1", "2")},
		"an object within a stream":         {runs: []run{{stream, dataOf("1", "2"), -1, true}, {object, "{}\n\n", -1, false}}, want: dataOf("1", "2")},
		"a stream that has no end":          {runs: []run{{stream, dataOf("1", "2"), -1, false}}, want: dataOf("1", "2")},
		"a stream behind part of an object": {runs: []run{{object, long, -1, true}, {stream, dataOf("1", done), -1, false}}, want: long[:maxHeldBack+1], reset: true},
		"part of an object":                 {runs: []run{{object, long, -1, true}}, want: long[:maxHeldBack+1], reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			w, c, e := httptest.NewRecorder(), newStreamCall(t), New(nil, nil)
			answer := newRelay(w, c, e.clock)
			var failure error
			for n, r := range test.runs {
				if n > 0 && !answer.resumable() {
					break
				}
				body := io.Reader(strings.NewReader(r.body))
				if r.cut {
					body = io.MultiReader(body, iotest.ErrReader(incomplete("cut")))
				}
				header := http.Header{"Content-Type": {r.mediaType}}
				if r.resumed >= 0 {
					header.Set(sidecarhttp.HeaderResumedFrom, strconv.Itoa(r.resumed))
				}
				failure = answer.forward(&sidecarhttp.Answer{Status: http.StatusOK, Header: header, Length: -1, Body: io.NopCloser(body)})
			}
			qt.Check(t, answer.resumable(), qt.Equals, !test.reset)
			qt.Assert(t, failure == nil, qt.Equals, test.whole, qt.Commentf("%v", failure))
			var aborted any
			if failure != nil {
				func() {
					defer func() { aborted = recover() }()
					e.fail(w, httptest.NewRequest(http.MethodPost, "/", nil), c, answer, toError(failure))
				}()
			}
			qt.Check(t, aborted != nil, qt.Equals, test.reset)
			body, errorEvent, _ := strings.Cut(w.Body.String(), "event: error")
			qt.Check(t, strings.HasPrefix(body, test.want), qt.IsTrue)
			qt.Check(t, strings.TrimRight(body[len(test.want):], "x"), qt.Equals, "")
			qt.Check(t, errorEvent != "", qt.Equals, !test.whole && !test.reset)
		})
	}
}
