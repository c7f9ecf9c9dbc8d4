package weights

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/connection/framed"
	"carawayspread/internal/connection/retryafter"
)

const (
	defaultRetryAfter = 5 * time.Second // if the store sends no Retry-After
	idleConnTimeout   = 90 * time.Second
)

// Store is the platform's weight store. It is safe for concurrent use.
type Store struct {
	client *http.Client
	url    string
	clock  carawayspread.Clock
	// limitedUntil is the time until which the store refuses requests, in Unix nanoseconds.
	limitedUntil atomic.Int64
}

// New returns the weight store at a base URL such as http://127.0.0.1:6000.
func New(baseURL string, clock carawayspread.Clock) *Store {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout}
	return &Store{client: &http.Client{Transport: framed.New(transport)}, url: baseURL + "/weights/", clock: clock}
}

// Close closes idle connections.
func (s *Store) Close() { s.client.CloseIdleConnections() }

// Fetch copies the weights with that name to w and returns their size. Beyond the store's rate limit
// it returns a *carawayspread.Error with the time after which to retry. Until then it refuses without
// a request, so that processes that all need weights do not use up the store's rate with requests
// that are refused.
func (s *Store) Fetch(ctx context.Context, name string, w io.Writer) (int64, error) {
	if wait := s.remainingWait(); wait > 0 {
		return 0, rateLimitError(wait)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+name, nil)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		n, err := io.Copy(w, resp.Body)
		return n, trace.Wrap(err)
	case http.StatusTooManyRequests:
		wait, given := retryafter.Parse(resp.Header, s.clock.Now())
		if !given {
			wait = defaultRetryAfter
		}
		s.limitedUntil.Store(s.clock.Now().Add(wait).UnixNano())
		return 0, rateLimitError(wait)
	}
	return 0, fmt.Errorf("weight store: status %d", resp.StatusCode)
}

func (s *Store) remainingWait() time.Duration {
	return time.Duration(s.limitedUntil.Load() - s.clock.Now().UnixNano())
}

func rateLimitError(wait time.Duration) error {
	return carawayspread.NewError(carawayspread.CodeOverloaded, "the weight store is at its rate limit",
		carawayspread.NotRun(), carawayspread.RetryAfter(wait))
}
