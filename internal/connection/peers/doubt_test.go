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

// doubter refuses some requests, and answers all that a peer refuses.
type doubter struct {
	socket *Socket

	mu      sync.Mutex
	refuses []uint64
	cleared []uint64
}

func (d *doubter) Refused() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refuses
}

func (d *doubter) RefusedByPeer(refused []uint64) {
	for _, fingerprint := range refused {
		d.socket.Answered(fingerprint)
	}
}

func (d *doubter) AnsweredByPeer(fingerprint uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuses, d.cleared = nil, append(d.cleared, fingerprint)
}

// What a process refuses is told to its peers, and what they answered is told to it.
func TestDoubtsAreAnswered(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var doubters []*doubter
	var seeds []string
	for range 2 {
		s, err := Listen("127.0.0.1:0", seeds, carawayspread.SystemClock())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(s.Close)
		d := &doubter{socket: s}
		s.Present(func() carawayspread.PeerStatus { return carawayspread.PeerStatus{Zone: "z"} })
		s.Doubt(d)
		doubters, seeds = append(doubters, d), []string{s.Address()}
	}
	doubters[0].refuses = []uint64{7}
	for _, d := range doubters {
		go func() { _ = d.socket.Run(ctx) }()
		go func() { _ = d.socket.Receive(&receiver{}) }()
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		doubters[0].mu.Lock()
		cleared := len(doubters[0].cleared)
		doubters[0].mu.Unlock()
		if cleared > 0 {
			break
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
	qt.Check(t, doubters[0].cleared[0], qt.Equals, uint64(7))
}

func FuzzDoubt(f *testing.F) {
	f.Add(doubt{sender: 1, refused: []uint64{2, 3}, answered: []uint64{4}}.encode())
	f.Add([]byte{doubtMagic, 1, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := decodeDoubt(b)
		if err != nil {
			return
		}
		again, err := decodeDoubt(d.encode())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reflect.DeepEqual(again, d), qt.IsTrue)
	})
}
