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
// Failure: the sidecar is paused or the network is cut without a reset.
// Symptom: the connection stays open and silent for ever. The timer restarts
// with every byte and heartbeat, so only silence ends the attempt.
type watchdog struct {
	timer *time.Timer
	limit time.Duration
}

func newWatchdog(limit time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{timer: time.AfterFunc(limit, func() { cancel(errStalled) }), limit: limit}
}

func (g *watchdog) touch() { g.timer.Reset(g.limit) }
func (g *watchdog) stop()  { g.timer.Stop() }

// sum counts and hashes a body.
type sum struct {
	digest *xxhash.Digest
	bytes  int64
}

func newSum() *sum { return &sum{digest: xxhash.New()} }

func (s *sum) add(p []byte) {
	_, _ = s.digest.Write(p)
	s.bytes += int64(len(p))
}

func (s *sum) matches(trailer http.Header) bool {
	return trailer.Get(TrailerBytes) == strconv.FormatInt(s.bytes, 10) &&
		trailer.Get(TrailerSum) == strconv.FormatUint(s.digest.Sum64(), 16)
}

// Sum counts and hashes a body for the trailer.
type Sum struct{ sum *sum }

// NewSum returns the sum of an empty body.
func NewSum() Sum { return Sum{sum: newSum()} }

// Add takes the next bytes of the body.
func (s Sum) Add(p []byte) { s.sum.add(p) }

// Write sets the trailer of an answer that ended that way.
func (s Sum) Write(header http.Header, end string) {
	header.Set(http.TrailerPrefix+TrailerEnd, end)
	header.Set(http.TrailerPrefix+TrailerBytes, strconv.FormatInt(s.sum.bytes, 10))
	header.Set(http.TrailerPrefix+TrailerSum, strconv.FormatUint(s.sum.digest.Sum64(), 16))
}

// wholeBody is a body that ends with io.EOF only when its trailer proves that
// it is whole.
//
// Failure: the endpoint or the sidecar dies in the middle of an answer, or
// answers cross. Symptom: a short answer that looks finished. HTTP itself
// tells a cut between entry and sidecar; the trailer tells one between sidecar
// and endpoint, and the sum tells bytes of another answer.
type wholeBody struct {
	resp   *http.Response
	guard  *watchdog
	cancel context.CancelCauseFunc
	sum    *sum
}

func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	b.guard.touch()
	b.sum.add(p[:n])
	if err == nil {
		return n, nil
	}
	b.guard.stop()
	return n, b.verdict(err)
}

func (b *wholeBody) verdict(err error) error {
	end := b.resp.Trailer.Get(TrailerEnd)
	switch {
	case errors.Is(err, io.EOF) && b.resp.Header.Get(TrailerEnd) == EndWhole:
		return io.EOF // an answer without a body has no trailer
	case !errors.Is(err, io.EOF):
		return incomplete("the answer was cut on its way", err)
	case end == EndCrashed:
		return incomplete("the endpoint crashed while it answered", ErrCrashed)
	case end != EndWhole:
		return incomplete("the endpoint ended the answer early", nil)
	case !b.sum.matches(b.resp.Trailer):
		return incomplete("the answer does not match its sum", nil)
	}
	return io.EOF
}

func incomplete(message string, cause error) *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeIncomplete, message, carawayspread.CausedBy(cause))
}

// Close ends the attempt; the sidecar sees it and cancels at the endpoint.
func (b *wholeBody) Close() error {
	b.guard.stop()
	err := b.resp.Body.Close()
	b.cancel(nil)
	return err
}
