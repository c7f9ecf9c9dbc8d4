package instancelist

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
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
		listed, _, err := decode(bytes.NewReader(body), nil)
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

// One row of the list is odd, and no daemon follows the list from then on: instances that join get nothing, and those
// that leave get requests.
func TestOddRowHidesNoInstances(t *testing.T) {
	for name, row := range map[string]string{
		"null": `null`, "a number": `7`, "a list": `[]`, "no id": `{"address":"127.0.0.1:1"}`, "port 0": `{"id":"odd","address":"127.0.0.1:0"}`,
		"port out of range": `{"id":"odd","address":"127.0.0.1:65536"}`, "control port out of range": `{"id":"odd","control":"127.0.0.1:70000"}`,
		"unspecified": `{"id":"odd","address":"0.0.0.0:1"}`, "multicast": `{"id":"odd","control":"224.0.0.1:1"}`, "a name": `{"id":"odd","address":"host:1"}`,
		"another type": `{"id":"odd","address":7}`, "number too large": `{"id":"odd","endpoints":1e999}`, "id a number": `{"id":1e999}`,
		"nested 5,000 deep": `{"id":"odd","endpoints":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			logged := memory.New()
			l := New("", WithLog(&log.Logger{Handler: logged, Level: log.InfoLevel}))
			read := func(rows string) string {
				listed, err := l.update(strings.NewReader(`{"instances":[` + rows + `]}`))
				qt.Assert(t, err, qt.IsNil)
				all := ""
				for _, instance := range listed {
					all += instance.ID + " " + string(instance.State) + ", "
				}
				return all
			}
			const first, second = `{"id":"a","address":"127.0.0.1:1","state":"live"}`, `{"id":"b","address":"127.0.0.1:2","state":"leaving"}`
			for range 3 {
				qt.Check(t, read(first+","+row), qt.Equals, "a live, ")
			}
			qt.Check(t, logged.Entries, qt.HasLen, 1)
			qt.Check(t, read(first+","+row+","+second), qt.Equals, "a live, b leaving, ")
			qt.Check(t, read(row+","+second), qt.Equals, "b leaving, ")
			qt.Check(t, read(`{"id":"odd","address":"127.0.0.1:3","state":"live"}`), qt.Equals, "odd live, ")
		})
	}
}

// The row of an instance becomes odd, and the instance looks gone although it serves.
func TestRowThatBecomesOddStays(t *testing.T) {
	l := New("")
	l.log = &log.Logger{Handler: memory.New(), Level: log.InfoLevel}
	_, err := l.update(strings.NewReader(`{"instances":[{"id":"a","address":"127.0.0.1:1"}]}`))
	qt.Assert(t, err, qt.IsNil)
	listed, err := l.update(strings.NewReader(`{"instances":[{"id":"a","address":"127.0.0.1:70000"},{"id":"b"}]}`))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listed, qt.HasLen, 2)
	qt.Check(t, listed[1].Address, qt.Equals, "127.0.0.1:1")
	listed, err = l.update(strings.NewReader(`{"instances":[{"id":"b"},{"id":"b","address":"127.0.0.1:9"},{"id":"a","address":"127.0.0.1:2"}]}`))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listed, qt.HasLen, 2)
	qt.Check(t, listed[0].Address, qt.Equals, "", qt.Commentf("the first of two"))
	qt.Check(t, listed[1].Address, qt.Equals, "127.0.0.1:2")
}
