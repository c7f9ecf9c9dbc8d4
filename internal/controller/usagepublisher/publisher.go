// Package usagepublisher sends the usage counts of this process to the collectors, the processes
// that sum the usage of the fleet.
package usagepublisher

import (
	"context"
	"slices"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/usage"
)

const (
	// publishEvery is the interval between statements. A killed process loses what it counted
	// since its last one.
	publishEvery = time.Second
	// resendEvery is the interval between statements while some collector has not acknowledged
	// a closed window.
	resendEvery = 200 * time.Millisecond
	// closeDelay is the time from the end of a window until it is closed. Requests to plain
	// services are counted only when they are answered, in the window in which they were sent.
	closeDelay = time.Second
	// maxCountsPerStatement is the number of counts that fit into one packet.
	maxCountsPerStatement = 120
	// finalSends bounds how often a process that shuts down sends its final statements, and
	// finalAckTimeout is the wait for acknowledgements after each time.
	finalSends      = 10
	finalAckTimeout = 40 * time.Millisecond
)

// Fleet knows the collectors and sends messages to them.
type Fleet interface {
	// Collectors returns the other processes that sum usage, and whether this process is one
	// too.
	Collectors() (others []carawayspread.Peer, self bool)
	// SendUsage sends statements to a process. Delivery is not guaranteed.
	SendUsage(to carawayspread.Peer, statements []carawayspread.UsageStatement)
}

// Publisher publishes the counts of one process. Run must be called only once; Acknowledged is
// safe for concurrent use.
type Publisher struct {
	ledger  *usage.Ledger
	fleet   Fleet
	windows carawayspread.UsageWindows
	now     func() (time.Duration, bool) // synchronized time since the start of 1970
	clock   carawayspread.Clock
	acks    chan ack

	// The fields below are used by Run only.
	firstWindow int64                     // the window in which this process started; zero until known
	acked       map[uint64]map[int64]bool // closed windows by the collectors that have all their counts
	closed      []int64                   // closed windows that may still be reported
	unacked     bool                      // some collector has not acknowledged a closed window
}

type ack struct {
	collector uint64
	window    int64
}

// New returns a publisher of this process's counts in the ledger. now returns the synchronized
// time since the start of 1970, and whether it is known.
func New(ledger *usage.Ledger, fleet Fleet, windows carawayspread.UsageWindows, now func() (time.Duration, bool), clock carawayspread.Clock) *Publisher {
	return &Publisher{
		ledger: ledger, fleet: fleet, windows: windows, now: now, clock: clock,
		acks: make(chan ack, 64), acked: map[uint64]map[int64]bool{},
	}
}

// Acknowledged records that a collector has all counts of a closed window. It never blocks.
func (p *Publisher) Acknowledged(collector uint64, window int64) {
	select {
	case p.acks <- ack{collector, window}:
	default: // the queue is full; the window is resent and acknowledged again
	}
}

// Run publishes counts until ctx ends, then publishes the final ones and returns ctx.Err().
func (p *Publisher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			p.publishFinal()
			return ctx.Err()
		case a := <-p.acks:
			p.acknowledge(a)
			continue
		case <-p.clock.After(p.interval()):
		}
		p.publish(0)
	}
}

func (p *Publisher) interval() time.Duration {
	if p.unacked {
		return resendEvery
	}
	return publishEvery
}

func (p *Publisher) acknowledge(a ack) {
	if p.acked[a.collector] == nil {
		p.acked[a.collector] = map[int64]bool{}
	}
	p.acked[a.collector][a.window] = true
}

// publishFinal closes all windows, as this process counts nothing any more, and sends them until
// each one is acknowledged by some collector, at most finalSends times.
func (p *Publisher) publishFinal() {
	for range finalSends {
		p.publish(closeDelay + p.windows.Length())
		timeout := p.clock.After(finalAckTimeout)
		for waiting := true; waiting; {
			select {
			case a := <-p.acks:
				p.acknowledge(a)
			case <-timeout:
				waiting = false
			}
		}
		if p.isAcknowledged() {
			return
		}
	}
}

// isAcknowledged reports whether some collector has acknowledged each closed window.
func (p *Publisher) isAcknowledged() bool {
	return !slices.ContainsFunc(p.closed, func(window int64) bool {
		for _, windows := range p.acked {
			if windows[window] {
				return false
			}
		}
		return true
	})
}

// publish closes the windows that will have ended after the duration ahead, and sends each
// collector the closed windows that it has not acknowledged and the latest changes.
func (p *Publisher) publish(ahead time.Duration) {
	now, known := p.now()
	if !known {
		return
	}
	current := p.windows.Window(now)
	if p.firstWindow == 0 {
		p.firstWindow = current
	}
	p.close(now+ahead, current)
	changes := []carawayspread.UsageStatement{p.ledger.Changes(current - 1), p.ledger.Changes(current)}
	collectors, _ := p.fleet.Collectors()
	p.unacked = false
	for _, collector := range collectors {
		var statements []carawayspread.UsageStatement
		for _, window := range p.closed {
			if !p.acked[collector.ID][window] {
				p.unacked = true
				statements = append(statements, split(p.ledger.Own(window))...)
			}
		}
		for _, c := range changes {
			if len(c.Counts) > 0 {
				statements = append(statements, split(c)...)
			}
		}
		if len(statements) > 0 {
			p.fleet.SendUsage(collector, statements)
		}
	}
}

// close closes the windows that ended at least closeDelay before now, and drops those that can no
// longer be reported.
func (p *Publisher) close(now time.Duration, current int64) {
	for window := max(p.firstWindow, current-p.windows.RetainedWindows()); p.windows.End(window)+closeDelay <= now; window++ {
		if !slices.Contains(p.closed, window) {
			p.ledger.Close(window)
			p.closed = append(p.closed, window)
		}
	}
	old := current - p.windows.RetainedWindows()
	p.closed = slices.DeleteFunc(p.closed, func(window int64) bool { return window < old })
	for collector, windows := range p.acked {
		for window := range windows {
			if window < old {
				delete(windows, window)
			}
		}
		if len(windows) == 0 {
			delete(p.acked, collector)
		}
	}
}

// split splits a statement into statements that fit into a packet.
func split(s carawayspread.UsageStatement) []carawayspread.UsageStatement {
	statements := make([]carawayspread.UsageStatement, 0, 1+len(s.Counts)/maxCountsPerStatement)
	for counts := range slices.Chunk(s.Counts, maxCountsPerStatement) {
		chunk := s
		chunk.Counts = counts
		statements = append(statements, chunk)
	}
	if len(statements) == 0 {
		statements = append(statements, s)
	}
	return statements
}
