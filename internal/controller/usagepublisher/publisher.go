// Package usagepublisher tells what this process counted to the processes that add
// usage up.
package usagepublisher

import (
	"context"
	"slices"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/usage"
)

const (
	// publishEvery is the time between two statements: what a killed process counted
	// in its last second is lost.
	publishEvery = time.Second
	// repeatEvery is the time between two statements while a collector has not
	// acknowledged a closed window.
	repeatEvery = 200 * time.Millisecond
	// settle is how long after its end a window is closed. Requests to plain services
	// are counted when they are answered, as of when they were sent.
	settle = time.Second
	// statementLimit is how many counts fit one packet.
	statementLimit = 120
	// finalSends is how often a process that ends repeats its last statements, and
	// finalSendWait how long it waits for an acknowledgement.
	finalSends    = 10
	finalSendWait = 40 * time.Millisecond
)

// Fleet says who collects, and reaches them.
type Fleet interface {
	// Collectors returns the processes that add usage up, without this one, and
	// whether this is one of them.
	Collectors() (others []carawayspread.Peer, self bool)
	// SendUsage sends statements to a process. They may be lost.
	SendUsage(to carawayspread.Peer, statements []carawayspread.UsageStatement)
}

// Publisher is one process's side. Run is called once.
type Publisher struct {
	ledger *usage.Ledger
	fleet  Fleet
	terms  carawayspread.UsageWindows
	now    func() (time.Duration, bool) // true time since the start of 1970
	clock  carawayspread.Clock
	acks   chan ack

	// Below is used by Run alone.
	first   int64                     // the first window that this process lived in; zero until it is known
	acked   map[uint64]map[int64]bool // closed windows that a collector has whole
	closed  []int64                   // that may still be reported
	unacked bool                      // a collector has not acknowledged a closed window
}

type ack struct {
	collector uint64
	window    int64
}

// New returns a publisher of the ledger.
func New(ledger *usage.Ledger, fleet Fleet, terms carawayspread.UsageWindows, now func() (time.Duration, bool), clock carawayspread.Clock) *Publisher {
	return &Publisher{
		ledger: ledger, fleet: fleet, terms: terms, now: now, clock: clock,
		acks: make(chan ack, 64), acked: map[uint64]map[int64]bool{},
	}
}

// Acknowledged takes note that a collector has all of a closed window.
func (p *Publisher) Acknowledged(collector uint64, window int64) {
	select {
	case p.acks <- ack{collector, window}:
	default: // the next statement is acknowledged again
	}
}

// Run publishes until ctx ends, and then closes what is counted.
func (p *Publisher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			p.leave()
			return ctx.Err()
		case a := <-p.acks:
			p.acknowledge(a)
			continue
		case <-p.clock.After(p.pause()):
		}
		p.publish(0)
	}
}

func (p *Publisher) pause() time.Duration {
	if p.unacked {
		return repeatEvery
	}
	return publishEvery
}

func (p *Publisher) acknowledge(a ack) {
	if p.acked[a.collector] == nil {
		p.acked[a.collector] = map[int64]bool{}
	}
	p.acked[a.collector][a.window] = true
}

// leave states all that was counted once and for all, as this process counts nothing
// any more, until a collector has it.
func (p *Publisher) leave() {
	for range finalSends {
		p.publish(settle + p.terms.Length())
		end := p.clock.After(finalSendWait)
		for waiting := true; waiting; {
			select {
			case a := <-p.acks:
				p.acknowledge(a)
			case <-end:
				waiting = false
			}
		}
		if p.isAcknowledged() {
			return
		}
	}
}

// isAcknowledged reports whether each closed window is known to some collector.
func (p *Publisher) isAcknowledged() bool {
	return !slices.ContainsFunc(p.closed, func(window int64) bool {
		for _, of := range p.acked {
			if of[window] {
				return false
			}
		}
		return true
	})
}

// publish closes the windows that ended, seen from so much later, and tells each
// collector what it does not have.
func (p *Publisher) publish(ahead time.Duration) {
	now, known := p.now()
	if !known {
		return
	}
	current := p.terms.Window(now)
	if p.first == 0 {
		p.first = current
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
				statements = append(statements, parts(p.ledger.Own(window))...)
			}
		}
		for _, c := range changes {
			if len(c.Counts) > 0 {
				statements = append(statements, parts(c)...)
			}
		}
		if len(statements) > 0 {
			p.fleet.SendUsage(collector, statements)
		}
	}
}

// close closes the windows that have ended by then, and forgets those whose reports no
// longer count.
func (p *Publisher) close(now time.Duration, current int64) {
	for window := max(p.first, current-p.terms.RetainedWindows()); p.terms.End(window)+settle <= now; window++ {
		if !slices.Contains(p.closed, window) {
			p.ledger.Close(window)
			p.closed = append(p.closed, window)
		}
	}
	old := current - p.terms.RetainedWindows()
	p.closed = slices.DeleteFunc(p.closed, func(window int64) bool { return window < old })
	for collector, of := range p.acked {
		for window := range of {
			if window < old {
				delete(of, window)
			}
		}
		if len(of) == 0 {
			delete(p.acked, collector)
		}
	}
}

// parts splits a statement into ones that fit a packet.
func parts(s carawayspread.UsageStatement) []carawayspread.UsageStatement {
	statements := make([]carawayspread.UsageStatement, 0, 1+len(s.Counts)/statementLimit)
	for counts := range slices.Chunk(s.Counts, statementLimit) {
		part := s
		part.Counts = counts
		statements = append(statements, part)
	}
	if len(statements) == 0 {
		statements = append(statements, s)
	}
	return statements
}
