package weights

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"carawayspread"
	"carawayspread/internal/standin/weights"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Several processes fetch weights at once. Beyond its rate limit the store refuses with Retry-After.
// Until that time the client must refuse by itself, without a request and with the time that remains.
func TestFetchHonoursRetryAfter(t *testing.T) {
	clock := clockwork.NewFakeClock()
	service := weights.New(clock, 10*time.Second, 1, 64)
	server := httptest.NewServer(service)
	defer server.Close()
	store := New(server.URL, clock)
	defer store.Close()
	ctx := context.Background()

	n, err := store.Fetch(ctx, "model", io.Discard)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, n, qt.Equals, int64(64))
	for range 3 {
		_, err = store.Fetch(ctx, "model", io.Discard)
		typed, ok := carawayspread.AsError(err)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, typed.NotRun(), qt.IsTrue)
		qt.Check(t, typed.RetryAfter(), qt.Equals, 10*time.Second)
	}
	qt.Check(t, service.Reads(), qt.Equals, uint64(2))
	clock.Advance(10 * time.Second)
	_, err = store.Fetch(ctx, "model", io.Discard)
	qt.Check(t, err, qt.IsNil)
}
