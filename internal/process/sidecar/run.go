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
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"carawayspread"
	"carawayspread/internal/connection/callers"
	"carawayspread/internal/connection/framed"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/request/body"
)

// maxQueueWait bounds the wait for a slot where the request states no remaining time.
const maxQueueWait = 2 * time.Hour

// ServeHTTP runs one request at the endpoint that its path names.
func (s *Sidecar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, path, ok := splitPath(r)
	if !ok {
		s.refuse(w, r, carawayspread.NewError(carawayspread.CodeNotFound, "no such path", carawayspread.NotRun()))
		return
	}
	s.observeVersion(r)
	worker, known := s.workers[id]
	if !known {
		s.refuse(w, r, carawayspread.NewError(carawayspread.CodeNoEndpoint, "the endpoint is not beside this sidecar", carawayspread.NotRun()))
		return
	}
	// This check comes first: a second delivery of a refused attempt must not run after
	// the caller was told that it has not run. As the first delivery may be running,
	// the refusal does not say "not run".
	if !s.attempts.Accept(r.Header.Get(sidecarhttp.HeaderAttempt)) {
		s.refuse(w, r, carawayspread.NewError(carawayspread.CodeDuplicateAttempt, "the attempt has arrived before"))
		return
	}
	text, refusal := s.readBody(w, r)
	if refusal == nil {
		refusal = s.admit(r, worker)
	}
	if refusal != nil {
		s.refuse(w, r, refusal)
		return
	}
	defer worker.releaseSlot()
	s.run(w, r, worker, path, text)
}

// readBody reads the whole body, so that a request whose body stands still takes no slot of the endpoint.
func (s *Sidecar) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *carawayspread.Error) {
	account := callers.AccountOf(r.Context())
	text, err := body.Read(account, http.MaxBytesReader(w, r.Body, s.bodyLimit), r.ContentLength, s.bodyLimit)
	if err == nil {
		err = account.Received()
	}
	if err == nil {
		return text, nil
	}
	w.Header().Set("Connection", "close") // the rest of the body is not read
	switch {
	case errors.As(err, &body.TooLargeError{}):
		return nil, carawayspread.NewError(carawayspread.CodeTooLarge, err.Error(), carawayspread.NotRun())
	case errors.Is(err, carawayspread.ErrGivenUp):
		return nil, carawayspread.NewError(carawayspread.CodeOverloaded, err.Error(), carawayspread.NotRun(), carawayspread.RetryAfter(refusalRetry))
	}
	return nil, carawayspread.NewError(carawayspread.CodeMalformed, "the body ended early", carawayspread.NotRun(), carawayspread.CausedBy(err))
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

func (s *Sidecar) observeVersion(r *http.Request) {
	if version, err := strconv.ParseUint(r.Header.Get(sidecarhttp.HeaderConfig), 10, 64); err == nil {
		s.versionObserver(carawayspread.Version(version))
	}
}

// admit makes all checks that can still refuse the attempt as not run, and acquires a
// slot of the endpoint.
func (s *Sidecar) admit(r *http.Request, w *worker) *carawayspread.Error {
	if w.isClosed() {
		return leaving()
	}
	if suspended := w.suspension(s.clock.Now()); suspended > 0 {
		return carawayspread.NewError(carawayspread.CodeOverloaded, "the endpoint asked for a pause",
			carawayspread.NotRun(), carawayspread.RetryAfter(suspended))
	}
	if refusal := s.checkQuarantine(r, w.spec.ID); refusal != nil {
		return refusal
	}
	left, stated := sidecarhttp.Remaining(r.Header)
	if !stated {
		left = maxQueueWait
	}
	if left <= 0 {
		return carawayspread.NewError(carawayspread.CodeDeadlineExceeded, "no time is left", carawayspread.NotRun())
	}
	return w.acquireSlot(r.Context(), s.clock, left)
}

// run forwards the request. From here on, only a failure to connect to the endpoint
// proves that the request has not run.
func (s *Sidecar) run(w http.ResponseWriter, r *http.Request, worker *worker, path string, text []byte) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	fingerprint := fingerprintOf(r)
	boot := worker.bootID()
	worker.running.Add(1)
	defer worker.running.Add(-1)
	worker.recordStart(fingerprint, isTrial(r))
	end := sidecarhttp.EndCut
	defer func() { s.endRecord(r, worker, boot, fingerprint, end) }()
	var connected atomic.Bool
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	req, err := s.outgoing(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), r, worker, path, text)
	if err != nil {
		s.refuse(w, r, carawayspread.NewError(carawayspread.CodeMalformed, "the path cannot be sent on", carawayspread.NotRun()))
		return
	}
	resp, err := s.roundTrip(w, s.transport(r), req)
	if err != nil {
		s.handleFailure(w, r, worker, boot, connected.Load(), err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	worker.suspend(s.clock.Now(), resp)
	end = s.copyAnswer(w, r, worker, resp)
	switch {
	case r.Context().Err() != nil:
	case end == sidecarhttp.EndUnmarked:
		end = s.checkEnd(worker, boot)
	case end == sidecarhttp.EndCut && s.crashed(worker, boot):
		end = sidecarhttp.EndCrashed
	}
	if (end == sidecarhttp.EndWhole || end == sidecarhttp.EndUnmarked) && carawayspread.Succeeded(resp.StatusCode) {
		s.suspects.Served(fingerprint)
	}
	s.setEndTrailer(w, end)
}

func (s *Sidecar) transport(r *http.Request) http.RoundTripper {
	if r.Close {
		return s.once // the entry closes the connections of at-most-once requests
	}
	return s.client
}

func (s *Sidecar) outgoing(ctx context.Context, r *http.Request, worker *worker, path string, text []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+worker.spec.Address+path, outgoingBody(text))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(text))
	req.Header = r.Header.Clone()
	for name := range req.Header {
		if strings.HasPrefix(name, "Carawayspread-") {
			delete(req.Header, name)
		}
	}
	return req, nil
}

// outgoingBody returns the body for the endpoint. A transport cannot rewind it, and so repeats no request whose body
// it has begun to send.
func outgoingBody(text []byte) io.Reader {
	if len(text) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(text))
}

type result struct {
	resp *http.Response
	err  error
}

// roundTrip sends the request. Until the endpoint answers, it sends interim responses
// to the entry as heartbeats.
func (s *Sidecar) roundTrip(w http.ResponseWriter, transport http.RoundTripper, req *http.Request) (*http.Response, error) {
	done := make(chan result, 1)
	go func() {
		resp, err := transport.RoundTrip(req)
		done <- result{resp: resp, err: err}
	}()
	for {
		select {
		case r := <-done:
			return r.resp, r.err
		case <-s.clock.After(sidecarhttp.Heartbeat):
			w.WriteHeader(http.StatusProcessing)
		}
	}
}

// handleFailure refuses a request to which the endpoint has sent no answer.
func (s *Sidecar) handleFailure(w http.ResponseWriter, r *http.Request, worker *worker, boot string, connected bool, err error) {
	if !connected {
		worker.setDown(true, err)
		s.refuse(w, r, carawayspread.NewError(carawayspread.CodeNoEndpoint, "the endpoint cannot be reached",
			carawayspread.NotRun(), carawayspread.CausedBy(err)))
		return
	}
	failure := carawayspread.NewError(carawayspread.CodeEndpointFailed, "the endpoint failed while it ran the request", carawayspread.CausedBy(err))
	isMalformed := errors.Is(err, carawayspread.ErrMalformed)
	if isMalformed {
		s.set.GetOrCreateCounter(`carawayspread_malformed_answers_total`).Inc()
	}
	s.event(r).WithField("endpoint", worker.spec.ID).WithField("error", err).Info("no answer")
	if r.Context().Err() == nil && !framed.HeadTooLong(err) && !isMalformed && s.crashed(worker, boot) {
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

// refuse sends an error of the sidecar itself.
func (s *Sidecar) refuse(w http.ResponseWriter, r *http.Request, e *carawayspread.Error) {
	s.event(r).WithField("code", e.Code()).WithField("notRun", e.NotRun()).Info("request refused")
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(sidecarhttp.HeaderAttempt, r.Header.Get(sidecarhttp.HeaderAttempt))
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
