package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
)

const (
	copyBuffer   = 32 << 10
	tailLength   = 32            // enough for the last event of a stream
	longestQueue = 2 * time.Hour // waits no longer where the sender states no time
)

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// ServeHTTP runs one request at the endpoint that its path names.
func (s *Sidecar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, path, ok := splitPath(r)
	if !ok {
		s.refuse(w, r, carawayspread.NewError(carawayspread.CodeNotFound, "no such path", carawayspread.NotRun()))
		return
	}
	s.hear(r)
	worker, known := s.workers[id]
	if !known {
		s.refuse(w, r, carawayspread.NewError(carawayspread.CodeNoEndpoint, "the endpoint is not beside this sidecar", carawayspread.NotRun()))
		return
	}
	if refusal := s.admit(r, worker); refusal != nil {
		s.refuse(w, r, refusal)
		return
	}
	defer worker.leave()
	s.run(w, r, worker, path)
}

func splitPath(r *http.Request) (carawayspread.EndpointID, string, bool) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), sidecarhttp.PathPrefix)
	if !ok {
		return "", "", false
	}
	id, path, ok := strings.Cut(rest, "/")
	if !ok {
		return "", "", false
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return carawayspread.EndpointID(id), "/" + path, true
}

func (s *Sidecar) hear(r *http.Request) {
	if version, err := strconv.ParseUint(r.Header.Get(sidecarhttp.HeaderConfig), 10, 64); err == nil {
		s.heard(carawayspread.Version(version))
	}
}

// admit checks everything that can still be refused as not run, and takes a
// slot of the endpoint.
func (s *Sidecar) admit(r *http.Request, w *worker) *carawayspread.Error {
	// First of all checks: a second delivery of an attempt that was refused must
	// not run after its caller was told that it has not. The first delivery may
	// also be running, so that nothing is claimed here.
	if !s.attempts.Accept(r.Header.Get(sidecarhttp.HeaderAttempt)) {
		return carawayspread.NewError(carawayspread.CodeDuplicateAttempt, "the attempt has arrived before")
	}
	if w.isClosed() {
		return carawayspread.NewError(carawayspread.CodeDraining, "the endpoint is leaving", carawayspread.NotRun())
	}
	if paused := w.paused(s.clock.Now()); paused > 0 {
		return carawayspread.NewError(carawayspread.CodeOverloaded, "the endpoint asked for a pause",
			carawayspread.NotRun(), carawayspread.RetryAfter(paused))
	}
	if refusal := s.judge(r, w.spec.ID); refusal != nil {
		return refusal
	}
	left, stated := sidecarhttp.Remaining(r.Header)
	if !stated {
		left = longestQueue
	}
	if left <= 0 {
		return carawayspread.NewError(carawayspread.CodeDeadlineExceeded, "no time is left", carawayspread.NotRun())
	}
	return w.enter(r.Context(), s.clock, left)
}

// run passes the request on. From here on only an endpoint that was never
// connected proves that the request has not run.
func (s *Sidecar) run(w http.ResponseWriter, r *http.Request, worker *worker, path string) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	fingerprint := fingerprintOf(r)
	life := worker.life()
	worker.began(fingerprint, isTrial(r))
	defer worker.ended(fingerprint)
	var connected atomic.Bool
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	req, err := s.outgoing(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), r, worker, path)
	if err != nil {
		s.refuse(w, r, carawayspread.NewError(carawayspread.CodeMalformed, "the path cannot be sent on", carawayspread.NotRun()))
		return
	}
	resp, err := s.await(w, s.transport(r), req)
	if err != nil {
		s.failed(w, r, worker, life, connected.Load(), err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	worker.pause(s.clock.Now(), resp)
	end := s.answer(w, r, worker, resp)
	if end == sidecarhttp.EndCut && r.Context().Err() == nil && s.crashed(worker, life) {
		end = sidecarhttp.EndCrashed
	}
	if end == sidecarhttp.EndWhole {
		s.suspects.Served(fingerprint)
	}
	s.finish(w, end)
}

func (s *Sidecar) transport(r *http.Request) http.RoundTripper {
	if r.Close {
		return s.once // the entry closes the connections of work that runs at most once
	}
	return s.client
}

func (s *Sidecar) outgoing(ctx context.Context, r *http.Request, worker *worker, path string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+worker.spec.Address+path, outgoingBody(r))
	if err != nil {
		return nil, err
	}
	req.ContentLength = r.ContentLength
	req.Header = r.Header.Clone()
	for name := range req.Header {
		if strings.HasPrefix(name, "Carawayspread-") {
			delete(req.Header, name)
		}
	}
	return req, nil
}

// outgoingBody returns the body of r for the endpoint.
//
// Failure: a transport that has sent the announced bytes reads once more, to
// see the body's end; once the answer has begun, that read of a served request
// fails. Symptom: the transport closes the connection under the answer, which
// ends early. The reader here ends by itself after the announced bytes, so that
// nothing is read once more, and the server leaves the body alone (see run).
func outgoingBody(r *http.Request) io.Reader {
	switch {
	case r.ContentLength == 0:
		return nil
	case r.ContentLength > 0:
		return io.NopCloser(io.LimitReader(r.Body, r.ContentLength))
	default:
		return r.Body
	}
}

type roundTrip struct {
	resp *http.Response
	err  error
}

// await sends the request and keeps the entry informed with interim responses
// until the endpoint answers.
func (s *Sidecar) await(w http.ResponseWriter, transport http.RoundTripper, req *http.Request) (*http.Response, error) {
	done := make(chan roundTrip, 1)
	go func() {
		resp, err := transport.RoundTrip(req)
		done <- roundTrip{resp: resp, err: err}
	}()
	for {
		select {
		case result := <-done:
			return result.resp, result.err
		case <-s.clock.After(sidecarhttp.Heartbeat):
			w.WriteHeader(http.StatusProcessing)
		}
	}
}

// answer copies the endpoint's answer and says how it ended.
func (s *Sidecar) answer(w http.ResponseWriter, r *http.Request, worker *worker, resp *http.Response) string {
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	header.Del("Content-Length")
	header.Set(sidecarhttp.HeaderAttempt, r.Header.Get(sidecarhttp.HeaderAttempt))
	worker.onAnswer().Write(header)
	if resp.ContentLength >= 0 {
		header.Set(sidecarhttp.HeaderLength, strconv.FormatInt(resp.ContentLength, 10))
	}
	if bodyless(r, resp) {
		header.Set(sidecarhttp.TrailerEnd, sidecarhttp.EndWhole)
		w.WriteHeader(resp.StatusCode)
		return sidecarhttp.EndWhole
	}
	w.WriteHeader(resp.StatusCode)
	sum := sidecarhttp.NewSum()
	tail, err := copyFlushing(w, resp.Body, sum)
	end := ending(resp, tail, err)
	if end != sidecarhttp.EndWhole {
		s.event(r).WithField("status", resp.StatusCode).WithField("error", err).Info("answer cut")
	}
	sum.Write(header, end)
	return end
}

func bodyless(r *http.Request, resp *http.Response) bool {
	return r.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// ending judges whether an answer is whole. HTTP tells a cut where a length or
// chunks frame the body; a stream of events must also show its last event,
// since an engine that gives up may close its stream properly.
func ending(resp *http.Response, tail []byte, err error) string {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if err != nil || !framed {
		return sidecarhttp.EndCut
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") && !bytes.Contains(tail, []byte("data: [DONE]")) {
		return sidecarhttp.EndCut
	}
	return sidecarhttp.EndWhole
}

// copyFlushing copies src and flushes after every read, so that each token
// leaves at once. It returns the last bytes.
func copyFlushing(w http.ResponseWriter, src io.Reader, sum sidecarhttp.Sum) ([]byte, error) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	flusher := http.NewResponseController(w)
	tail := make([]byte, 0, 2*tailLength)
	for {
		n, err := src.Read(*buffer)
		part := (*buffer)[:n]
		sum.Add(part)
		tail = keepTail(tail, part)
		if _, werr := w.Write(part); werr != nil {
			return tail, werr
		}
		_ = flusher.Flush()
		if errors.Is(err, io.EOF) {
			return tail, nil
		}
		if err != nil {
			return tail, err
		}
	}
}

func keepTail(tail, part []byte) []byte {
	if len(part) >= tailLength {
		return append(tail[:0], part[len(part)-tailLength:]...)
	}
	tail = append(tail, part...)
	if extra := len(tail) - tailLength; extra > 0 {
		tail = append(tail[:0], tail[extra:]...)
	}
	return tail
}

// finish sends the trailer. The trailer of an answer that failed is corrected
// here, since a crash is only known after the body ended.
func (s *Sidecar) finish(w http.ResponseWriter, end string) {
	name := http.TrailerPrefix + sidecarhttp.TrailerEnd
	if w.Header().Get(name) != "" {
		w.Header().Set(name, end)
	}
}

// failed answers a request that got no answer from its endpoint.
func (s *Sidecar) failed(w http.ResponseWriter, r *http.Request, worker *worker, life string, connected bool, err error) {
	if !connected {
		worker.setDown(true, err)
		s.refuse(w, r, carawayspread.NewError(carawayspread.CodeNoEndpoint, "the endpoint cannot be reached",
			carawayspread.NotRun(), carawayspread.CausedBy(err)))
		return
	}
	failure := carawayspread.NewError(carawayspread.CodeEndpointFailed, "the endpoint failed while it ran the request", carawayspread.CausedBy(err))
	if r.Context().Err() == nil && s.crashed(worker, life) {
		w.Header().Set(sidecarhttp.HeaderCrashed, "true")
	}
	s.refuse(w, r, failure)
}

func (s *Sidecar) event(r *http.Request) log.Interface {
	return s.log.WithFields(log.Fields{
		"requestId": r.Header.Get(sidecarhttp.HeaderRequest),
		"attempt":   r.Header.Get(sidecarhttp.HeaderAttempt),
		"class":     r.Header.Get(sidecarhttp.HeaderClass),
		"workspace": r.Header.Get(sidecarhttp.HeaderWorkspace),
	})
}

// refuse sends an error of the sidecar's own.
func (s *Sidecar) refuse(w http.ResponseWriter, r *http.Request, e *carawayspread.Error) {
	s.event(r).WithField("code", e.Code()).WithField("notRun", e.NotRun()).Info("request refused")
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(sidecarhttp.HeaderRefused, string(e.Code()))
	header.Set(sidecarhttp.HeaderNotRun, strconv.FormatBool(e.NotRun()))
	if e.RetryAfter() > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter().Seconds()))))
	}
	w.WriteHeader(e.Code().Status())
	body := sidecarhttp.RefusalBody{}
	body.Error.Message = e.Message()
	_ = json.NewEncoder(w).Encode(body)
}
