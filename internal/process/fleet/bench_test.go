package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/connection/s3"
	"carawayspread/internal/process/confsync"
	"carawayspread/internal/standin/objects"
	"carawayspread/internal/standin/table"
	"carawayspread/internal/version/change"
	"carawayspread/internal/version/changelog"
)

// member is one daemon with its own clients of the platform, its Syncer and its control service on
// loopback.
type member struct {
	control.Control
	id       string
	log      *changelog.Log
	syncer   *confsync.Syncer
	server   *httptest.Server
	isolated atomic.Bool // from the table, the peers and the operators
	carawayspread.Table
}

func (m *member) Query(ctx context.Context, partition, after string, limit int) ([]carawayspread.Item, error) {
	if m.isolated.Load() {
		return nil, carawayspread.ErrUnavailable
	}
	return m.Table.Query(ctx, partition, after, limit)
}

func (m *member) Status(_ context.Context, r *control.StatusRequest) (*control.StatusResponse, error) {
	if m.isolated.Load() {
		return nil, carawayspread.ErrUnavailable
	}
	m.syncer.ObserveVersion(carawayspread.Version(r.GetConfigVersion()))
	return &control.StatusResponse{Instance: m.id, ConfigVersion: uint64(m.syncer.Held().Version())}, nil
}

// BenchmarkInForce reports how long 360 daemons on loopback, each with its own clients and control
// service, take until all of them confirm a change, and the reads of the table for each change. In
// the case where a quarter of them is isolated during the change, it also reports how long these
// take after the isolation ends.
func BenchmarkInForce(b *testing.B) {
	const daemons = 360
	for name, isolated := range map[string]int{"allReachable": 0, "regionCutOff": daemons / 4} {
		b.Run(name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			tables := table.New(carawayspread.SystemClock())
			members := startMembers(ctx, b, tables, daemons)
			f := New(instanceList(members), func(address string) control.Control {
				return control.NewControlProtobufClient("http://"+address, http.DefaultClient)
			})
			awaitConfirmed(b, f, 0, daemons)
			var inForce, reconnected time.Duration
			before, changes := tables.Reads(), 0
			for b.Loop() {
				for _, m := range members[daemons-isolated:] {
					m.isolated.Store(true)
				}
				version := accept(ctx, b, members[0])
				inForce = max(inForce, awaitConfirmed(b, f, version, daemons-isolated))
				for _, m := range members[daemons-isolated:] {
					m.isolated.Store(false)
				}
				reconnected = max(reconnected, awaitConfirmed(b, f, version, daemons))
				changes++
			}
			b.ReportMetric(inForce.Seconds(), "longest-s")
			b.ReportMetric(reconnected.Seconds(), "longest-after-cut-s")
			b.ReportMetric(float64(tables.Reads()-before)/float64(changes), "reads/change")
			cancel()
		})
	}
}

func startMembers(ctx context.Context, b *testing.B, tables *table.Table, n int) []*member {
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	tableServer := httptest.NewServer(tables)
	storeServer := httptest.NewServer(objects.New(carawayspread.SystemClock()))
	var running sync.WaitGroup
	members := make([]*member, n)
	for i := range members {
		m := &member{id: fmt.Sprint("daemon-", i), Table: dynamodb.New(tableServer.URL)}
		m.log = changelog.New(m, s3.New(storeServer.URL), carawayspread.SystemClock(), changelog.WithLogger(quiet))
		m.syncer = confsync.New(m.log, carawayspread.SystemClock(), confsync.WithLogger(quiet))
		m.server = httptest.NewServer(control.NewControlServer(m))
		running.Go(func() { _ = m.syncer.Run(ctx) })
		members[i] = m
	}
	b.Cleanup(func() {
		running.Wait()
		for _, m := range members {
			m.server.Close()
		}
		tableServer.Close()
		storeServer.Close()
	})
	return members
}

func instanceList(members []*member) func(context.Context) ([]carawayspread.Instance, error) {
	return func(context.Context) ([]carawayspread.Instance, error) {
		listed := make([]carawayspread.Instance, len(members))
		for i, m := range members {
			listed[i] = carawayspread.Instance{ID: m.id, Control: m.server.Listener.Addr().String()}
		}
		return listed, nil
	}
}

// accept makes one change through a daemon and returns its version.
func accept(ctx context.Context, b *testing.B, m *member) carawayspread.Version {
	held := m.syncer.Held()
	add := change.New(change.SetWorkspace(carawayspread.NewWorkspace(fmt.Sprint("workspace-", held.Version()))))
	r, cfg, err := m.log.Append(ctx, changelog.Proposal{Change: add, Against: held.Version(), Actor: "ana", Held: held})
	qt.Assert(b, err, qt.IsNil)
	m.syncer.Adopt(cfg, r)
	return r.Version
}

// awaitConfirmed queries the daemons ten times a second until the given number of them confirms the
// version, and returns how long it took.
func awaitConfirmed(b *testing.B, f *Fleet, version carawayspread.Version, confirmed int) time.Duration {
	start := time.Now()
	for {
		states, err := f.Status(context.Background(), version)
		qt.Assert(b, err, qt.IsNil)
		if len(states)-len(SummarizeRollout(states).Unconfirmed) >= confirmed {
			return time.Since(start)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
