package peers

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// partTracker knows crashes, and of a part that it was answered.
type partTracker struct {
	answeredHere uint64

	mu                sync.Mutex
	reports, learned  []carawayspread.PartCrash
	answeredElsewhere []uint64
}

func (p *partTracker) PartReports() []carawayspread.PartCrash {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.reports)
}

func (p *partTracker) LearnParts(crashes []carawayspread.PartCrash) (answered []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range crashes {
		if c.Part == p.answeredHere {
			answered = append(answered, c.Part)
		}
	}
	p.learned = append(p.learned, crashes...)
	return answered
}

func (p *partTracker) PartsAnsweredByPeer(parts []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredElsewhere = append(p.answeredElsewhere, parts...)
}

// A crash under a part of a prompt, or an answer, does not reach a peer: neither at once, nor with the
// heartbeats after the first message was lost.
func TestPartCrashesReachThePeers(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	told := carawayspread.PartCrash{Part: 1, Endpoint: "w", Witness: 7, Age: time.Second, Doubtful: true}
	repeated := carawayspread.PartCrash{Part: 2, Endpoint: "v"}
	trackers := []*partTracker{{reports: []carawayspread.PartCrash{repeated}}, {answeredHere: 2}}
	var sockets []*Socket
	for i, tracker := range trackers {
		var seeds []string
		if i > 0 {
			seeds = []string{sockets[0].Address()}
		}
		s, err := Listen("127.0.0.1:0", seeds, carawayspread.SystemClock())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(s.Close)
		s.SetPartTracker(tracker)
		go func() { _ = s.Run(ctx) }()
		go func() { _ = s.Receive(&receiver{}) }()
		sockets = append(sockets, s)
	}
	waitFor(t, func() bool { return sockets[0].FleetSize() == 2 && sockets[1].FleetSize() == 2 })
	sockets[0].BroadcastPartCrashes([]carawayspread.PartCrash{told})
	sockets[1].BroadcastPartsAnswered([]uint64{5})
	waitFor(t, func() bool {
		trackers[0].mu.Lock()
		defer trackers[0].mu.Unlock()
		trackers[1].mu.Lock()
		defer trackers[1].mu.Unlock()
		return slices.Contains(trackers[1].learned, told) && slices.Contains(trackers[1].learned, repeated) &&
			slices.Contains(trackers[0].answeredElsewhere, 2) && slices.Contains(trackers[0].answeredElsewhere, 5)
	})
}

func FuzzDecodeParts(f *testing.F) {
	f.Add(partMessage{sender: 1, crashes: []carawayspread.PartCrash{{Part: 2, Endpoint: "w", Witness: 3, Age: time.Second, Doubtful: true}}, answered: []uint64{4}}.encode())
	f.Add([]byte{partMagic, 1, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeParts(b)
		if err != nil {
			return
		}
		again, err := decodeParts(m.encode())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reflect.DeepEqual(again, m), qt.IsTrue)
	})
}
