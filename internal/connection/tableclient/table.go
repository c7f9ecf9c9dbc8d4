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

// Timeouts and backoff of the table service. A healthy one answers within tens of milliseconds; a
// second is far longer than that and still short for a caller.
const (
	defaultReadTimeout  = time.Second
	defaultWriteTimeout = 2 * time.Second
	retryBase           = 50 * time.Millisecond
	retryLimit          = time.Second
	probeBase           = 500 * time.Millisecond
	probeLimit          = 5 * time.Second
	layerCaller         = "caller"
	layerPlatform       = "platform"
)

type settings struct {
	readTimeout, writeTimeout time.Duration
	groupOptions              []groupcommit.Option
}

// Option sets an option of the table.
type Option func(*settings)

// WithTimeouts bounds each single read and write.
func WithTimeouts(read, write time.Duration) Option {
	return func(s *settings) { s.readTimeout, s.writeTimeout = read, write }
}

// WithGroups passes options to the group commit.
func WithGroups(opts ...groupcommit.Option) Option {
	return func(s *settings) { s.groupOptions = append(s.groupOptions, opts...) }
}

// NewTable returns the client wrapped in all decorators.
func NewTable(client carawayspread.Table, clock carawayspread.Clock, set *metrics.Set, opts ...Option) carawayspread.Table {
	s := settings{readTimeout: defaultReadTimeout, writeTimeout: defaultWriteTimeout}
	for _, opt := range opts {
		opt(&s)
	}
	retryBackoff := backoff.New(clock, retryBase, retryLimit)
	var table carawayspread.Table = metered.New(client, clock, set, layerPlatform)
	table = timeout.New(table, s.readTimeout, s.writeTimeout)
	table = breaker.New(table, clock, backoff.New(clock, probeBase, probeLimit))
	table = retry.New(table, retryBackoff)
	table = readback.New(table, retryBackoff)
	table = groupcommit.New(table, clock, s.groupOptions...)
	return metered.New(table, clock, set, layerCaller)
}
