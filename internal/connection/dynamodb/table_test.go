package dynamodb

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"carawayspread"
	"carawayspread/internal/standin/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t testing.TB) (*Table, *table.Table) {
	service := table.New(carawayspread.SystemClock())
	server := httptest.NewServer(service)
	client := New(server.URL)
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, service
}

func put(sort string, ifRev uint64, token string) carawayspread.Write {
	item := carawayspread.Item{Key: carawayspread.Key{Partition: "p", Sort: sort}, Token: token, Body: []byte(`{}`)}
	return carawayspread.Write{Item: item, IfRev: ifRev}
}

func check(w carawayspread.Write) carawayspread.Write { w.CheckOnly = true; return w }

func remove(w carawayspread.Write) carawayspread.Write { w.Delete = true; return w }

func TestApply(t *testing.T) {
	tests := map[string]struct {
		writes []carawayspread.Write
		failed []int // nil if all writes succeed
		want   map[string]uint64
	}{
		"put on a free key":        {writes: []carawayspread.Write{put("new", 0, "t")}, want: map[string]uint64{"a": 1, "new": 1}},
		"put on a taken key":       {writes: []carawayspread.Write{put("a", 0, "t")}, failed: []int{0}, want: map[string]uint64{"a": 1}},
		"put on the revision":      {writes: []carawayspread.Write{put("a", 1, "t")}, want: map[string]uint64{"a": 2}},
		"put on another revision":  {writes: []carawayspread.Write{put("a", 2, "t")}, failed: []int{0}, want: map[string]uint64{"a": 1}},
		"delete":                   {writes: []carawayspread.Write{remove(put("a", 1, ""))}, want: map[string]uint64{}},
		"delete another revision":  {writes: []carawayspread.Write{remove(put("a", 3, ""))}, failed: []int{0}, want: map[string]uint64{"a": 1}},
		"check alone":              {writes: []carawayspread.Write{check(put("a", 1, ""))}, want: map[string]uint64{"a": 1}},
		"transaction":              {writes: []carawayspread.Write{put("a", 1, "t"), put("b", 0, "t")}, want: map[string]uint64{"a": 2, "b": 1}},
		"transaction writes none":  {writes: []carawayspread.Write{put("b", 0, "t"), put("a", 0, "t"), put("c", 9, "t")}, failed: []int{1, 2}, want: map[string]uint64{"a": 1}},
		"failed check stops write": {writes: []carawayspread.Write{put("b", 0, "t"), check(put("a", 0, ""))}, failed: []int{1}, want: map[string]uint64{"a": 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, _ := start(t)
			ctx := context.Background()
			qt.Assert(t, client.Apply(ctx, put("a", 0, "first")), qt.IsNil)
			err := client.Apply(ctx, test.writes...)
			var condition *carawayspread.ConditionError
			if test.failed == nil {
				qt.Assert(t, err, qt.IsNil)
			} else {
				qt.Assert(t, errors.As(err, &condition), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, condition.Failed, qt.DeepEquals, test.failed)
			}
			items, err := client.Query(ctx, "p", "", 10)
			qt.Assert(t, err, qt.IsNil)
			got := map[string]uint64{}
			for _, item := range items {
				got[item.Key.Sort] = item.Rev
			}
			qt.Check(t, got, qt.DeepEquals, test.want)
		})
	}
}

func TestQueryFollowsOrderAndLimit(t *testing.T) {
	client, _ := start(t)
	ctx := context.Background()
	for _, sort := range []string{"c", "a", "d", "b"} {
		qt.Assert(t, client.Apply(ctx, put(sort, 0, sort)), qt.IsNil)
	}
	items, err := client.Query(ctx, "p", "a", 2)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, items, qt.HasLen, 2)
	qt.Check(t, items[0].Key.Sort+items[1].Key.Sort, qt.Equals, "bc")
	_, err = client.Get(ctx, carawayspread.Key{Partition: "p", Sort: "none"})
	qt.Check(t, err, qt.ErrorIs, carawayspread.ErrNoItem)
}

// Guards against a wrong statement whether a write may have taken effect. If no connection was
// made, or the service rejected the request, nothing was written. If the connection ends without an
// answer, the outcome is unknown: the write may have taken effect (a lost answer) or not (a service
// that went down).
func TestWriteFailures(t *testing.T) {
	tests := map[string]struct {
		fault       func(*table.Table)
		unavailable bool
		written     bool
	}{
		"throttled":   {fault: func(s *table.Table) { s.SetThrottled(true) }, unavailable: true},
		"down":        {fault: func(s *table.Table) { s.SetDown(true) }},
		"answer lost": {fault: func(s *table.Table) { s.LoseAnswers(1) }, written: true},
	}
	for name, test := range tests {
		for size, more := range map[string][]carawayspread.Write{"single": nil, "transaction": {put("b", 0, "t")}} {
			t.Run(name+" "+size, func(t *testing.T) {
				client, service := start(t)
				ctx := context.Background()
				_, err := client.Get(ctx, put("a", 0, "").Item.Key) // opens a connection that is reused
				qt.Assert(t, err, qt.ErrorIs, carawayspread.ErrNoItem)
				test.fault(service)
				err = client.Apply(ctx, append([]carawayspread.Write{put("a", 0, "t")}, more...)...)
				qt.Assert(t, err, qt.IsNotNil)
				qt.Check(t, errors.Is(err, carawayspread.ErrUnavailable), qt.Equals, test.unavailable, qt.Commentf("%v", err))
				qt.Check(t, errors.Is(err, carawayspread.ErrCondition), qt.IsFalse)
				service.Clear()
				_, err = client.Get(ctx, put("a", 0, "").Item.Key)
				qt.Check(t, err == nil, qt.Equals, test.written)
			})
		}
	}
}

func TestRefusedConnectionWritesNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listener.Close(), qt.IsNil)
	client := New("http://" + listener.Addr().String())
	err = client.Apply(context.Background(), put("a", 0, "t"))
	qt.Check(t, err, qt.ErrorIs, carawayspread.ErrUnavailable)
}
