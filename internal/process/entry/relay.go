package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayspread"
	"carawayspread/internal/connection/callers"
	"carawayspread/internal/connection/hopbyhop"
	"carawayspread/internal/connection/openai"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/request/call"
)

// maxHeldBack is how many bytes of an unstreamed answer are buffered until the
// answer is complete. An answer of up to that size that breaks off can be retried
// without the caller noticing.
const maxHeldBack = 64 << 10

// relay forwards the answer of a call to its caller across all attempts. It never
// sends the same part twice.
type relay struct {
	w           http.ResponseWriter
	call        *call.Call
	sent        bool           // the status and header are sent
	streams     bool           // what is sent is a part of the stream that was asked for
	status      int            // of the last answer of an endpoint; zero before the first
	events      int            // complete events sent to the caller
	digest      *xxhash.Digest // of the data of these events
	clock       carawayspread.Clock
	firstByteAt time.Time     // zero before the first byte of the answer
	record      *recorder     // nil unless the answer is to be stored
	beforeEnd   func() error  // called before the end of a complete answer is sent
	caller      *http.Request // nil if it is not known
	complete    func()        // lets the connection to the caller end in order; nil if it may do so anyway
}

func newRelay(w http.ResponseWriter, c *call.Call, clock carawayspread.Clock) *relay {
	return &relay{w: w, call: c, clock: clock, digest: xxhash.New(), beforeEnd: func() error { return nil }}
}

// withCaller sets the caller's request.
func (a *relay) withCaller(r *http.Request) *relay {
	a.caller = r
	return a
}

func (a *relay) started() bool { return a.sent }

// succeeded reports whether the last answer is a success.
func (a *relay) succeeded() bool { return carawayspread.Succeeded(a.status) }

// resumable reports whether another attempt can continue the answer from what was sent.
func (a *relay) resumable() bool { return !a.sent || a.streams }

// setResumeHeaders sets the headers that state which events the caller has received.
func (a *relay) setResumeHeaders(header http.Header) {
	if a.events == 0 {
		return
	}
	header.Set(sidecarhttp.HeaderResumeOffset, strconv.Itoa(a.events))
	header.Set(sidecarhttp.HeaderResumeDigest, strconv.FormatUint(a.digest.Sum64(), 16))
}

// result returns the cost and timing of the answer, as far as it was received.
func (a *relay) result(whole bool, began, ended time.Time) carawayspread.JobResult {
	cost := a.call.Job().Cost
	if a.call.Stream() || !whole {
		cost.Decode = a.events
	}
	served := carawayspread.JobResult{Cost: cost, Took: ended.Sub(began)}
	if !a.firstByteAt.IsZero() {
		served.FirstToken = a.firstByteAt.Sub(began)
	}
	return served
}

// forward sends an endpoint's answer to the caller. It returns nil if the caller
// has received all of it.
func (a *relay) forward(got *sidecarhttp.Answer) error {
	if a.firstByteAt.IsZero() {
		a.firstByteAt = a.clock.Now()
	}
	a.status = got.Status
	a.recordHeader(got)
	switch {
	case a.sent && !(a.streams && isStream(got)):
		return incomplete("the endpoint cannot resume the answer")
	case isStream(got):
		return a.forwardEvents(got)
	}
	return a.forwardBody(got)
}

func isStream(got *sidecarhttp.Answer) bool {
	return strings.HasPrefix(got.Header.Get("Content-Type"), "text/event-stream")
}

func incomplete(message string) *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeIncomplete, message)
}

// forwardEvents forwards complete events. It sends the closing event only after the
// trailer has proved that nothing is missing.
func (a *relay) forwardEvents(got *sidecarhttp.Answer) error {
	if a.events > 0 && got.Header.Get(sidecarhttp.HeaderResumedFrom) != strconv.Itoa(a.events) {
		return incomplete("the endpoint does not resume where the caller stands")
	}
	a.sendHeader(got)
	events := openai.NewEvents(got.Body)
	for {
		event, err := events.Next()
		if err != nil {
			return streamError(err)
		}
		if openai.Done(event) {
			return a.finishStream(event, got.Body)
		}
		if err := a.sendEvent(event); err != nil {
			return err
		}
	}
}

func streamError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, openai.ErrInsideEvent) {
		return incomplete("the stream ended without its closing event")
	}
	return err
}

func (a *relay) finishStream(event []byte, body io.Reader) error {
	event = append([]byte(nil), event...)
	if _, err := io.Copy(io.Discard, body); err != nil {
		return err
	}
	a.recordBytes(event)
	if err := a.beforeEnd(); err != nil {
		return err
	}
	return a.write(event)
}

func (a *relay) sendEvent(event []byte) error {
	if data := openai.Data(event); data != nil {
		a.events++
		_, _ = a.digest.Write(data)
	}
	a.recordBytes(event)
	return a.write(event)
}

func (a *relay) write(p []byte) error {
	if _, err := a.w.Write(p); err != nil {
		return carawayspread.NewError(carawayspread.CodeIncomplete, "the caller has gone", carawayspread.CausedBy(err))
	}
	_ = http.NewResponseController(a.w).Flush()
	return nil
}

// forwardBody forwards an unstreamed answer. It buffers the answer until it is
// complete or exceeds maxHeldBack.
func (a *relay) forwardBody(got *sidecarhttp.Answer) error {
	held, err := io.ReadAll(io.LimitReader(got.Body, maxHeldBack+1))
	if err != nil {
		return err
	}
	a.recordBytes(held)
	if len(held) <= maxHeldBack {
		if err := a.beforeEnd(); err != nil {
			return err
		}
		a.sendHeader(got)
		return a.write(held)
	}
	a.sendHeader(got)
	if err := a.write(held); err != nil {
		return err
	}
	if _, err := io.Copy(writerFunc(a.recordAndWrite), got.Body); err != nil {
		return err
	}
	return a.beforeEnd()
}

func (a *relay) recordAndWrite(p []byte) (int, error) {
	a.recordBytes(p)
	return len(p), a.write(p)
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// sendHeader sends the status and the endpoint's header, once for all attempts.
func (a *relay) sendHeader(got *sidecarhttp.Answer) {
	if a.sent {
		return
	}
	a.sent, a.streams = true, a.call.Stream() && isStream(got)
	header := a.w.Header()
	for name, values := range got.Header {
		if !strings.HasPrefix(name, "Carawayspread-") && name != "X-Request-Id" && name != "Date" {
			header[name] = values
		}
	}
	hopbyhop.Strip(header)
	header.Del(sidecarhttp.HeaderResumedFrom)
	switch {
	case isStream(got): // its closing event marks the end
	case got.Unmarked:
		setUnmarked(header)
	case got.Length >= 0:
		header.Set("Content-Length", strconv.FormatInt(got.Length, 10))
	}
	if a.caller != nil && (got.Unmarked || !a.caller.ProtoAtLeast(1, 1)) {
		a.complete = resetOnLoss(a.caller)
	}
	a.w.WriteHeader(got.Status)
}

// resetOnLoss has the connection of the request reset if the process is lost before the returned function is
// called. An error means that the connection has gone.
func resetOnLoss(r *http.Request) (complete func()) {
	complete, _ = callers.ResetOnLoss(r.Context())
	return complete
}

// markComplete lets the connection to the caller end in order.
func (a *relay) markComplete() {
	if a.complete == nil {
		return
	}
	_ = http.NewResponseController(a.w).Flush() // an error shows at the caller
	a.complete()
}

// setUnmarked makes an answer end with its connection. Its endpoint marked the end in no other way, so
// that a length or a last chunk would claim a proof that does not exist.
func setUnmarked(header http.Header) { header.Set("Transfer-Encoding", "identity") }

// sendError ends an incomplete stream with an error event.
func (a *relay) sendError(failure *carawayspread.Error) {
	_ = a.write(openai.ErrorEvent(failure))
	a.markComplete()
}
