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

// The store accepts connections and never answers. A caller gives up while the
// store holds its write. "Not written" would be false: the write takes effect
// once the store goes on. So the caller is told unknown.
func TestSlowStoreHoldsTheWrite(t *testing.T) {
	clock := clockwork.NewFakeClock()
	client, service := startClient(t, clock)
	table := NewTable(client, carawayspread.SystemClock(), metrics.NewSet(), WithTimeouts(time.Minute, time.Minute))
	service.SetSlow(time.Hour)
	ctx, giveUp := context.WithCancel(context.Background())
	go func() {
		defer giveUp()
		_ = clock.BlockUntilContext(ctx, 1) // the stand-in holds the write
	}()
	err := table.Apply(ctx, claim("slow"), claim("with it")) // two, so that no group has it
	qt.Check(t, unknown(err), qt.IsTrue, qt.Commentf("%v", err))
	service.Clear()
	clock.Advance(time.Hour)
	item, err := client.Get(context.Background(), claim("slow").Item.Key)
	for errors.Is(err, carawayspread.ErrNoItem) { // the held write is being carried out
		time.Sleep(time.Millisecond)
		item, err = client.Get(context.Background(), claim("slow").Item.Key)
	}
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, item.Rev, qt.Equals, uint64(1))
}

// The store goes down. What was under way is unknown; what comes later is
// refused at once, as not written and with the time to come back. When the store
// returns, so does the service, without a restart.
func TestStoreDownAndBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	client, service := startClient(t, carawayspread.SystemClock())
	set := metrics.NewSet()
	ctx := context.Background()
	table := NewTable(client, &instant{clock}, set)
	service.SetDown(true)
	var timed interface{ RetryAfter() time.Duration }
	var err error
	for !errors.As(err, &timed) {
		err = table.Apply(ctx, claim("down"))
	}
	qt.Check(t, err, qt.ErrorIs, carawayspread.ErrUnavailable)
	qt.Check(t, timed.RetryAfter() > 0, qt.IsTrue)
	service.Clear()
	clock.Advance(trialLimit)
	qt.Check(t, table.Apply(ctx, claim("back")), qt.IsNil)
	var page bytes.Buffer
	set.WritePrometheus(&page)
	want := `carawayspread_table_requests_total{layer="caller",operation="apply",outcome="ok"} 1`
	qt.Check(t, strings.Contains(page.String(), want), qt.IsTrue, qt.Commentf("%s", &page))
}

// instant is a clock that stands still and whose waits are over at once.
type instant struct{ *clockwork.FakeClock }

func (instant) After(time.Duration) <-chan time.Time {
	over := make(chan time.Time, 1)
	over <- time.Time{}
	return over
}
