package report

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"carawayspread/internal/connection/control"
)

// An entry receives the report that an endpoint drains, and then an older one, delayed by the
// network, that it is free. If sequence numbers were not compared, the entry would send work to the
// draining endpoint until the next report.
func TestReorderedReportIsDropped(t *testing.T) {
	newest := map[string]uint64{}
	qt.Check(t, inOrder(newest, &control.LoadReport{Instance: "a", Sequence: 2}), qt.IsTrue)
	qt.Check(t, inOrder(newest, &control.LoadReport{Instance: "a", Sequence: 1}), qt.IsFalse)
	qt.Check(t, inOrder(newest, &control.LoadReport{Instance: "b", Sequence: 1}), qt.IsTrue)
}

func TestIntervalStaysWithinBudget(t *testing.T) {
	tests := map[string]struct {
		sidecars, bytes int
		want            time.Duration
	}{
		"today":       {sidecars: 23, bytes: 100, want: time.Second},
		"target size": {sidecars: 325, bytes: 100, want: 13 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, Interval(test.sidecars, test.bytes).Round(time.Millisecond), qt.Equals, test.want.Round(time.Millisecond))
		})
	}
}

func FuzzDecode(f *testing.F) {
	datagram, _ := proto.Marshal(&control.LoadReport{Instance: "a", Sequence: 1, Endpoints: []*control.EndpointState{{Slots: 4}}})
	f.Add(datagram)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		report, ok := Decode(datagram)
		if ok && (report.GetInstance() == "" || report.GetSequence() == 0) {
			t.Fatal("accepted without instance or sequence")
		}
	})
}
