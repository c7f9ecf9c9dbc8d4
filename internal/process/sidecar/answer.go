package sidecar

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"carawayspread"
	"carawayspread/internal/connection/framed"
	"carawayspread/internal/connection/sidecarhttp"
)

const (
	copyBuffer = 32 << 10
	tailLength = 32 // enough for the last event of a stream
)

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// copyAnswer copies the endpoint's answer and returns how it ended.
func (s *Sidecar) copyAnswer(w http.ResponseWriter, r *http.Request, worker *worker, resp *http.Response) string {
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	header.Del("Content-Length")
	header.Set(sidecarhttp.HeaderAttempt, r.Header.Get(sidecarhttp.HeaderAttempt))
	worker.answerLoad().Write(header)
	if !framed.Marked(resp) {
		header.Set(sidecarhttp.HeaderFraming, sidecarhttp.FramingClose)
	}
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
	if end == sidecarhttp.EndCut && errors.Is(err, carawayspread.ErrUnproved) {
		s.set.GetOrCreateCounter(`carawayspread_unproved_ends_total`).Inc()
	}
	if end == sidecarhttp.EndCut {
		s.event(r).WithField("status", resp.StatusCode).WithField("error", err).Info("answer cut")
	}
	sum.Write(header, end)
	return end
}

func bodyless(r *http.Request, resp *http.Response) bool {
	return r.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// ending decides whether an answer is complete. HTTP detects a cut if the body is
// framed by a length or by chunks. A stream of events must contain its last event,
// since an engine that aborts may close its stream properly; this proves the end in
// any framing, also where the end of the connection proves nothing.
func ending(resp *http.Response, tail []byte, err error) string {
	switch {
	case errors.Is(err, carawayspread.ErrUnproved) && isStream(resp) && endsWithClosingEvent(tail):
		return sidecarhttp.EndWhole
	case err != nil || isStream(resp) && !endsWithClosingEvent(tail):
		return sidecarhttp.EndCut
	case isStream(resp) || framed.Marked(resp):
		return sidecarhttp.EndWhole
	default:
		return sidecarhttp.EndUnmarked
	}
}

func isStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// endsWithClosingEvent reports whether the last bytes of a stream hold its closing event up to the
// blank line at its end.
func endsWithClosingEvent(tail []byte) bool {
	_, rest, found := bytes.Cut(tail, []byte("data: [DONE]"))
	rest = bytes.ReplaceAll(rest, []byte("\r\n"), []byte("\n"))
	return found && bytes.HasPrefix(rest, []byte("\n\n"))
}

// copyFlushing copies src and flushes after every read, so that each token is sent
// immediately. It returns the last bytes.
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

// setEndTrailer corrects the trailer of a failed answer, since a crash is only known
// after the body has ended.
func (s *Sidecar) setEndTrailer(w http.ResponseWriter, end string) {
	name := http.TrailerPrefix + sidecarhttp.TrailerEnd
	if w.Header().Get(name) != "" {
		w.Header().Set(name, end)
	}
}
