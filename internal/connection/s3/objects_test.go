package s3

import (
	"context"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"carawayspread"
	"carawayspread/internal/standin/objects"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// The store loses the answer to the first write of a snapshot. The SDK retries the write, which is
// harmless because it replaces the whole object.
func TestPutSurvivesLostAnswer(t *testing.T) {
	service := objects.New(carawayspread.SystemClock())
	server := httptest.NewServer(service)
	defer server.Close()
	client := New(server.URL)
	defer client.Close()
	ctx := context.Background()

	_, err := client.Get(ctx, "config/7")
	qt.Assert(t, err, qt.ErrorIs, carawayspread.ErrNoObject)
	service.LoseAnswers(1)
	qt.Assert(t, client.Put(ctx, "config/7", []byte("snapshot")), qt.IsNil)
	qt.Check(t, service.Writes(), qt.Equals, uint64(2))
	body, err := client.Get(ctx, "config/7")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(body), qt.Equals, "snapshot")
}
