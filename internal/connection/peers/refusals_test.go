package peers

import (
	"context"
	"reflect"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// fakeTracker refuses some requests, and claims to have answered all that a peer refuses.
type fakeTracker struct {
	socket *Socket

	mu      sync.Mutex
	refuses []uint64
	cleared []uint64
}

func (t *fakeTracker) Refused() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refuses
}

func (t *fakeTracker) RefusedByPeer(refused []uint64) {
	for _, fingerprint := range refused {
		t.socket.BroadcastAnswered(fingerprint)
	}
}

func (t *fakeTracker) AnsweredByPeer(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refuses, t.cleared = nil, append(t.cleared, fingerprint)
}

// A process sends its peers the requests that it refuses, and learns from them which ones they
// have answered.
func TestPeerAnswersClearRefusals(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var trackers []*fakeTracker
	var seeds []string
	for range 2 {
		s, err := Listen("127.0.0.1:0", seeds, carawayspread.SystemClock())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(s.Close)
		tracker := &fakeTracker{socket: s}
		s.SetStatusFunc(func() carawayspread.PeerStatus { return carawayspread.PeerStatus{Zone: "z"} })
		s.SetRefusalTracker(tracker)
		trackers, seeds = append(trackers, tracker), []string{s.Address()}
	}
	trackers[0].refuses = []uint64{7}
	for _, tracker := range trackers {
		go func() { _ = tracker.socket.Run(ctx) }()
		go func() { _ = tracker.socket.Receive(&receiver{}) }()
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		trackers[0].mu.Lock()
		cleared := len(trackers[0].cleared)
		trackers[0].mu.Unlock()
		if cleared > 0 {
			break
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
	qt.Check(t, trackers[0].cleared[0], qt.Equals, uint64(7))
}

func FuzzDecodeRefusals(f *testing.F) {
	f.Add(refusalMessage{sender: 1, refused: []uint64{2, 3}, answered: []uint64{4}}.encode())
	f.Add([]byte{refusalMagic, 1, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeRefusals(b)
		if err != nil {
			return
		}
		again, err := decodeRefusals(m.encode())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reflect.DeepEqual(again, m), qt.IsTrue)
	})
}
