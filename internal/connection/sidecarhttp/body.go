package sidecarhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayspread"
)

var errStalled = errors.New("nothing has arrived for too long")

// watchdog cancels an attempt on which nothing arrives.
//
// If the sidecar is paused or the network is partitioned, no reset arrives, and the connection would
// stay open without data forever. The timer restarts with all data and heartbeats, so only an
// attempt without either is cancelled.
type watchdog struct {
	timer *time.Timer
	limit time.Duration
}

func newWatchdog(limit time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{timer: time.AfterFunc(limit, func() { cancel(errStalled) }), limit: limit}
}

func (w *watchdog) touch() { w.timer.Reset(w.limit) }
func (w *watchdog) stop()  { w.timer.Stop() }

// checksum counts and hashes the bytes of a body.
type checksum struct {
	digest *xxhash.Digest
	bytes  int64
}

func newChecksum() *checksum { return &checksum{digest: xxhash.New()} }

func (s *checksum) add(p []byte) {
	_, _ = s.digest.Write(p)
	s.bytes += int64(len(p))
}

// matches reports whether the trailer of an answer states this length and hash.
func (s *checksum) matches(trailer http.Header) bool {
	return trailer.Get(TrailerBytes) == strconv.FormatInt(s.bytes, 10) &&
		trailer.Get(TrailerSum) == strconv.FormatUint(s.digest.Sum64(), 16)
}

// Sum counts and hashes the bytes of a body for the trailer.
type Sum struct{ checksum *checksum }

// NewSum returns the sum of an empty body.
func NewSum() Sum { return Sum{checksum: newChecksum()} }

// Add adds the next bytes of the body.
func (s Sum) Add(p []byte) { s.checksum.add(p) }

// Write sets the trailer of an answer; end is one of the values of TrailerEnd.
func (s Sum) Write(header http.Header, end string) {
	header.Set(http.TrailerPrefix+TrailerEnd, end)
	header.Set(http.TrailerPrefix+TrailerBytes, strconv.FormatInt(s.checksum.bytes, 10))
	header.Set(http.TrailerPrefix+TrailerSum, strconv.FormatUint(s.checksum.digest.Sum64(), 16))
}

// verifiedBody is a body that ends with io.EOF only if its trailer proves that it is complete, or that
// all of an answer arrived whose end nothing marks.
//
// If the endpoint or the sidecar dies in the middle of an answer, or answers are mixed up, a
// truncated answer could look complete. HTTP itself detects a connection that breaks between entry
// and sidecar; the trailer reveals one between sidecar and endpoint, and the checksum reveals bytes
// of another answer.
type verifiedBody struct {
	resp       *http.Response
	stallTimer *watchdog
	cancel     context.CancelCauseFunc
	checksum   *checksum
}

func (b *verifiedBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	b.stallTimer.touch()
	b.checksum.add(p[:n])
	if err == nil {
		return n, nil
	}
	b.stallTimer.stop()
	return n, b.verify(err)
}

// verify returns io.EOF if the body is complete, and otherwise an error that says why it is not.
func (b *verifiedBody) verify(err error) error {
	end := b.resp.Trailer.Get(TrailerEnd)
	switch {
	case errors.Is(err, io.EOF) && b.resp.Header.Get(TrailerEnd) == EndWhole:
		return io.EOF // an answer without a body has a header instead of the trailer
	case !errors.Is(err, io.EOF):
		return incompleteError("the answer was cut on its way", errors.Join(ErrConnectionLost, err))
	case end == EndCrashed:
		return incompleteError("the endpoint crashed while it answered", ErrCrashed)
	case end != EndWhole && (end != EndUnmarked || !unmarked(b.resp)):
		return incompleteError("the endpoint ended the answer early", nil)
	case !b.checksum.matches(b.resp.Trailer):
		return incompleteError("the answer does not match its sum", nil)
	}
	return io.EOF
}

func incompleteError(message string, cause error) *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeIncomplete, message, carawayspread.CausedBy(cause))
}

// Close ends the attempt. The sidecar notices it and cancels the request at the endpoint.
func (b *verifiedBody) Close() error {
	b.stallTimer.stop()
	err := b.resp.Body.Close()
	b.cancel(nil)
	return err
}
