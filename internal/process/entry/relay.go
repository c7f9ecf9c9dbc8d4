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
	"carawayspread/internal/connection/hopbyhop"
	"carawayspread/internal/connection/openai"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/request/call"
)

// heldBack is how much of an unstreamed answer is held until it is known to be
// whole, so that a cut answer of that size can be asked for again unseen.
const heldBack = 64 << 10

// relay passes the answer of a call to its caller over all attempts. What the
// caller has been given is never given again.
type relay struct {
	w       http.ResponseWriter
	call    *call.Call
	sent    bool           // the status is out
	events  int            // whole events that the caller has
	digest  *xxhash.Digest // of their data
	clock   carawayspread.Clock
	first   time.Time    // of the answer's first byte; zero before it
	record  *recorder    // nil unless the answer is to be stored
	closing func() error // called before the caller is told that the answer is whole
}

func newRelay(w http.ResponseWriter, c *call.Call, clock carawayspread.Clock) *relay {
	return &relay{w: w, call: c, clock: clock, digest: xxhash.New(), closing: func() error { return nil }}
}

func (a *relay) started() bool { return a.sent }

// resumable reports whether another attempt can continue what the caller has.
func (a *relay) resumable() bool { return !a.sent || a.call.Stream() }

// askResume states to the next endpoint what the caller has already.
func (a *relay) askResume(header http.Header) {
	if a.events == 0 {
		return
	}
	header.Set(sidecarhttp.HeaderResumeOffset, strconv.Itoa(a.events))
	header.Set(sidecarhttp.HeaderResumeDigest, strconv.FormatUint(a.digest.Sum64(), 16))
}

// served returns what the answer took, as far as it was seen.
func (a *relay) served(whole bool, began, ended time.Time) carawayspread.JobResult {
	cost := a.call.Job().Cost
	if a.call.Stream() || !whole {
		cost.Decode = a.events
	}
	served := carawayspread.JobResult{Cost: cost, Took: ended.Sub(began)}
	if !a.first.IsZero() {
		served.FirstToken = a.first.Sub(began)
	}
	return served
}

// pass hands an endpoint's answer to the caller. It returns nil when the
// caller has the whole of it.
func (a *relay) pass(got *sidecarhttp.Answer) error {
	if a.first.IsZero() {
		a.first = a.clock.Now()
	}
	a.recordHeader(got)
	if isStream(got) {
		return a.passEvents(got)
	}
	if a.sent {
		return incomplete("the endpoint cannot resume the answer")
	}
	return a.passWhole(got)
}

func isStream(got *sidecarhttp.Answer) bool {
	return strings.HasPrefix(got.Header.Get("Content-Type"), "text/event-stream")
}

func incomplete(message string) *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeIncomplete, message)
}

// passEvents passes whole events on. The closing event is held until the
// stream's trailer proves that nothing is missing.
func (a *relay) passEvents(got *sidecarhttp.Answer) error {
	if a.events > 0 && got.Header.Get(sidecarhttp.HeaderResumedFrom) != strconv.Itoa(a.events) {
		return incomplete("the endpoint does not resume where the caller stands")
	}
	a.sendHeader(got)
	events := openai.NewEvents(got.Body)
	for {
		event, err := events.Next()
		if err != nil {
			return endedEarly(err)
		}
		if openai.Done(event) {
			return a.close(event, got.Body)
		}
		if err := a.send(event); err != nil {
			return err
		}
	}
}

func endedEarly(err error) error {
	if errors.Is(err, io.EOF) {
		return incomplete("the stream ended without its closing event")
	}
	return err
}

func (a *relay) close(event []byte, body io.Reader) error {
	event = append([]byte(nil), event...)
	if _, err := io.Copy(io.Discard, body); err != nil {
		return err
	}
	a.recordBytes(event)
	if err := a.closing(); err != nil {
		return err
	}
	return a.write(event)
}

func (a *relay) send(event []byte) error {
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

// passWhole passes an unstreamed answer on. Its beginning is held back until
// the answer is whole or grows too long.
func (a *relay) passWhole(got *sidecarhttp.Answer) error {
	held, err := io.ReadAll(io.LimitReader(got.Body, heldBack+1))
	if err != nil {
		return err
	}
	a.recordBytes(held)
	if len(held) <= heldBack {
		if err := a.closing(); err != nil {
			return err
		}
		a.sendHeader(got)
		return a.write(held)
	}
	a.sendHeader(got)
	if err := a.write(held); err != nil {
		return err
	}
	if _, err := io.Copy(writerFunc(a.passOn), got.Body); err != nil {
		return err
	}
	return a.closing()
}

func (a *relay) passOn(p []byte) (int, error) {
	a.recordBytes(p)
	return len(p), a.write(p)
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// sendHeader sends the status and the endpoint's header once.
func (a *relay) sendHeader(got *sidecarhttp.Answer) {
	if a.sent {
		return
	}
	a.sent = true
	header := a.w.Header()
	for name, values := range got.Header {
		if !strings.HasPrefix(name, "Carawayspread-") && name != "X-Request-Id" && name != "Date" {
			header[name] = values
		}
	}
	hopbyhop.Strip(header)
	header.Del(sidecarhttp.HeaderResumedFrom)
	if got.Length >= 0 && !isStream(got) {
		header.Set("Content-Length", strconv.FormatInt(got.Length, 10))
	}
	a.w.WriteHeader(got.Status)
}

// sendError ends a stream whose answer is not whole.
func (a *relay) sendError(failure *carawayspread.Error) { _ = a.write(openai.ErrorEvent(failure)) }
