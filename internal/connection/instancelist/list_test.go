package instancelist

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"carawayspread"
	"carawayspread/internal/standin/instances"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestListRevisionAndLag(t *testing.T) {
	clock := clockwork.NewFakeClock()
	service := instances.New(clock, 5*time.Second)
	server := httptest.NewServer(service)
	defer server.Close()
	list := New(server.URL)
	defer list.Close()
	ctx := context.Background()

	service.Put(carawayspread.Instance{ID: "a", State: carawayspread.InstanceLive, Address: "127.0.0.1:1"})
	listed, first, err := list.List(ctx, "")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, listed, qt.HasLen, 0, qt.Commentf("the lag hides the row"))
	clock.Advance(5 * time.Second)
	listed, second, err := list.List(ctx, first)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, listed, qt.HasLen, 1)
	qt.Check(t, second, qt.Not(qt.Equals), first)
	listed, third, err := list.List(ctx, second)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, listed, qt.IsNil)
	qt.Check(t, third, qt.Equals, second)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"instances":[{"id":"a","address":"127.0.0.1:1"}]}`))
	f.Add([]byte(`{"instances":[{"id":"a"},{"id":"a"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		listed, err := decode(bytes.NewReader(body))
		if err != nil {
			return
		}
		ids := map[string]bool{}
		for _, instance := range listed {
			qt.Assert(t, instance.ID == "" || ids[instance.ID], qt.IsFalse)
			ids[instance.ID] = true
		}
	})
}
