package tableclient

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
	"carawayspread/internal/connection/breaker"
	"carawayspread/internal/connection/groupcommit"
	"carawayspread/internal/connection/metered"
	"carawayspread/internal/connection/readback"
	"carawayspread/internal/connection/retry"
	"carawayspread/internal/connection/timeout"
)

// Times of the table service. A healthy one answers within tens of
// milliseconds; a second is far beyond that and still short for a caller.
const (
	defaultRead   = time.Second
	defaultWrite  = 2 * time.Second
	retryBase     = 50 * time.Millisecond
	retryLimit    = time.Second
	trialBase     = 500 * time.Millisecond
	trialLimit    = 5 * time.Second
	layerCaller   = "caller"
	layerPlatform = "platform"
)

type settings struct {
	read, write time.Duration
	group       []groupcommit.Option
}

// Option sets an optional part of the table.
type Option func(*settings)

// WithTimeouts bounds each single read and write.
func WithTimeouts(read, write time.Duration) Option {
	return func(s *settings) { s.read, s.write = read, write }
}

// WithGroups passes options to the group commit.
func WithGroups(opts ...groupcommit.Option) Option {
	return func(s *settings) { s.group = append(s.group, opts...) }
}

// NewTable returns the client with all decorators.
func NewTable(client carawayspread.Table, clock carawayspread.Clock, set *metrics.Set, opts ...Option) carawayspread.Table {
	s := settings{read: defaultRead, write: defaultWrite}
	for _, opt := range opts {
		opt(&s)
	}
	short := backoff.New(clock, retryBase, retryLimit)
	var table carawayspread.Table = metered.New(client, clock, set, layerPlatform)
	table = timeout.New(table, s.read, s.write)
	table = breaker.New(table, clock, backoff.New(clock, trialBase, trialLimit))
	table = retry.New(table, short)
	table = readback.New(table, short)
	table = groupcommit.New(table, clock, s.group...)
	return metered.New(table, clock, set, layerCaller)
}
