package tableclient

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/standin/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t testing.TB, opts ...Option) (carawayspread.Table, *table.Table) {
	client, service := startClient(t, carawayspread.SystemClock())
	return NewTable(client, carawayspread.SystemClock(), metrics.NewSet(), opts...), service
}

func startClient(t testing.TB, clock carawayspread.Clock) (*dynamodb.Table, *table.Table) {
	service := table.New(clock)
	server := httptest.NewServer(service)
	client := dynamodb.New(server.URL)
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, service
}

func claim(sort string) carawayspread.Write {
	item := carawayspread.Item{Key: carawayspread.Key{Partition: "claim", Sort: sort}, Token: sort}
	return carawayspread.Write{Item: item}
}

// The store accepts connections and does not answer. A caller cancels while the store holds its
// write. "Not written" would be false, as the write takes effect once the store continues. The
// outcome must be unknown.
func TestAbandonedWriteToSlowStoreIsUnknown(t *testing.T) {
	clock := clockwork.NewFakeClock()
	client, service := startClient(t, clock)
	table := NewTable(client, carawayspread.SystemClock(), metrics.NewSet(), WithTimeouts(time.Minute, time.Minute))
	service.SetSlow(time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		_ = clock.BlockUntilContext(ctx, 1) // the stand-in holds the write
	}()
	err := table.Apply(ctx, claim("slow"), claim("with it")) // two writes, which are not grouped with others
	qt.Check(t, unknown(err), qt.IsTrue, qt.Commentf("%v", err))
	service.Clear()
	clock.Advance(time.Hour)
	item, err := client.Get(context.Background(), claim("slow").Item.Key)
	for errors.Is(err, carawayspread.ErrNoItem) { // the held write is being performed
		time.Sleep(time.Millisecond)
		item, err = client.Get(context.Background(), claim("slow").Item.Key)
	}
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, item.Rev, qt.Equals, uint64(1))
}

// The store goes down. Writes in flight have an unknown outcome; later ones are refused at once, as
// not written and with the time after which to retry. When the store is up again, writes succeed
// without a restart.
func TestRecoversAfterStoreOutage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	client, service := startClient(t, carawayspread.SystemClock())
	set := metrics.NewSet()
	ctx := context.Background()
	table := NewTable(client, &instantClock{clock}, set)
	service.SetDown(true)
	var retryable interface{ RetryAfter() time.Duration }
	var err error
	for !errors.As(err, &retryable) {
		err = table.Apply(ctx, claim("down"))
	}
	qt.Check(t, err, qt.ErrorIs, carawayspread.ErrUnavailable)
	qt.Check(t, retryable.RetryAfter() > 0, qt.IsTrue)
	service.Clear()
	clock.Advance(probeLimit)
	qt.Check(t, table.Apply(ctx, claim("back")), qt.IsNil)
	var page bytes.Buffer
	set.WritePrometheus(&page)
	want := `carawayspread_table_requests_total{layer="caller",operation="apply",outcome="ok"} 1`
	qt.Check(t, strings.Contains(page.String(), want), qt.IsTrue, qt.Commentf("%s", &page))
}

// instantClock is a clock that does not advance and whose timers fire at once.
type instantClock struct{ *clockwork.FakeClock }

func (instantClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- time.Time{}
	return fired
}
