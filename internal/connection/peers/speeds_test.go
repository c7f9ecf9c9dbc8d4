package peers

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// speedTracker has evidence of engines, a share of which it hands over once.
type speedTracker struct {
	mu      sync.Mutex
	shares  []carawayspread.EngineSpeed
	news    []carawayspread.EngineSpeed
	learned map[uint32]carawayspread.EngineSpeed
}

func (s *speedTracker) SpeedShares(n int) []carawayspread.EngineSpeed {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, len(s.shares))
	taken := s.shares[:n]
	s.shares = s.shares[n:]
	return taken
}

func (s *speedTracker) SpeedNews(int) []carawayspread.EngineSpeed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.news
}

func (s *speedTracker) LearnSpeeds(speeds []carawayspread.EngineSpeed, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.learned == nil {
		s.learned = map[uint32]carawayspread.EngineSpeed{}
	}
	for _, e := range speeds {
		s.learned[e.Engine] = e
	}
}

func (s *speedTracker) count() (left, learned int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.shares), len(s.learned)
}

// startWith starts a process that exchanges speeds.
func startWith(t *testing.T, tracker *speedTracker, seeds ...string) *Socket {
	t.Helper()
	s, err := Listen("127.0.0.1:0", seeds, carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	s.SetSpeedTracker(tracker)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run(ctx) })
	running.Go(func() { _ = s.Receive(&receiver{}) })
	t.Cleanup(func() {
		cancel()
		s.Close()
		running.Wait()
	})
	return s
}

func someSpeeds(n int) []carawayspread.EngineSpeed {
	var speeds []carawayspread.EngineSpeed
	for i := range n {
		speeds = append(speeds, carawayspread.EngineSpeed{
			Engine: uint32(i), Prefill: carawayspread.SpeedShare{Ratio: -0.5, Weight: 3.25},
			Step: carawayspread.SpeedShare{Ratio: 1, Weight: 200}, Passing: carawayspread.PassingSlowness{Ratio: 1.5, Weight: 2},
		})
	}
	return speeds
}

// A process that starts before engines of unlike speeds treats all alike until its own answers have shown
// them, seconds later, although its peers know. Within a second of its first peer it knows as much.
func TestStartingProcessIsToldSpeeds(t *testing.T) {
	knowing := &speedTracker{shares: someSpeeds(300)}
	started := &speedTracker{}
	first := startWith(t, knowing)
	second := startWith(t, started, first.Address())
	until(t, func() bool { return len(second.PeerAddresses()) > 0 && second.FleetSize() > 1 })
	heard := time.Now()
	until(t, func() bool { _, learned := started.count(); return learned == 300 })
	t.Logf("after %v", time.Since(heard))
	started.mu.Lock()
	defer started.mu.Unlock()
	qt.Check(t, started.learned[7], qt.Equals, someSpeeds(8)[7])
}

// Evidence that is sent to a process of an older release is lost to all: half of what the fleet knows with
// each datagram.
func TestOlderProcessesAreSentNoEvidence(t *testing.T) {
	knowing := &speedTracker{shares: someSpeeds(10), news: someSpeeds(1)}
	first := startWith(t, knowing)
	older, _ := start(t, first.Address())
	until(t, func() bool { return first.FleetSize() > 1 && older.FleetSize() > 1 })
	for range 4 {
		time.Sleep(speedInterval)
	}
	left, _ := knowing.count()
	qt.Check(t, left, qt.Equals, 10)
}

// A message that is cut off or names more engines than one may hold leaves nothing behind.
func FuzzDecodeSpeeds(f *testing.F) {
	whole := speedMessage{sender: 7, asks: true, speeds: someSpeeds(maxSpeeds)}.encode()
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{speedMagic, 1, 0, maxSpeeds + 1})
	if len(whole) > maxMessageSize {
		f.Fatalf("%d bytes", len(whole))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeSpeeds(b)
		if err != nil {
			return
		}
		again, err := decodeSpeeds(m.encode())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, fmt.Sprintf("%+v", again), qt.Equals, fmt.Sprintf("%+v", m))
	})
}
