package gatewayd

import (
	"context"
	"time"

	"carawayspread"
)

const (
	// leaveFor is how long new connections are still taken after the order to
	// end: the balancer learns of it by its questions, a second apart, of
	// which it needs two.
	leaveFor = 3 * time.Second
	// graceUsed is the part of the grace that running requests may take, and
	// graceAnswered the part in which those that took longer are answered.
	graceUsed     = 0.9
	graceAnswered = 0.95
	leavePoll     = 20 * time.Millisecond
	// askWait is how long a connection may be open without its request: callers
	// send it at once, and wait a second for a connection.
	askWait = time.Second
)

// leave serves on while callers still arrive and can be answered in time, and
// returns when the last request has its answer.
//
// Failure: a process ends while its balancer still sends to it. Symptom:
// callers whose connections are reset. Not being ready takes it out of the
// rotation first, and answers ask their callers to open connections anew. Where
// all processes leave at once, callers still arrive: whatever is sure to end
// inside the grace is served, the others are told when to come back.
//
// Idle connections stay open meanwhile. net/http's own ways to close them look
// at a connection, find no request on it, and close it while one is being read:
// that request is passed on, and its caller sees neither an answer nor a refusal.
func (d *Daemon) leave() {
	d.leaving.Store(true)
	d.rota.Resign()
	begun := d.clock.Now()
	end := begun.Add(time.Duration(graceUsed * float64(d.settings.Grace())))
	last := begun.Add(time.Duration(graceAnswered * float64(d.settings.Grace())))
	d.log.WithField("running", d.gateway.Running()).Info("leaving")
	d.gateway.Drain(begun.Add(leaveFor), end)
	for now := begun; now.Before(end); now = d.clock.Now() {
		if now.Sub(begun) > leaveFor && d.gateway.Running() == 0 {
			break
		}
		<-d.clock.After(leavePoll)
	}
	d.settle(end, last)
	d.finish(end)
	d.giveUp(last)
	_ = d.callers.Close()
}

// settle takes no more connections and waits for those that it has, for the
// ones without a request only a while.
//
// Failure: a request arrives between the look that finds none running and the
// end. Symptom: a connection closed without an answer, its request perhaps
// passed on. net/http's own Shutdown drops what is being read when it begins.
func (d *Daemon) settle(end, last time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), last.Sub(d.clock.Now()))
	defer cancel()
	if err := d.listener.Drain(ctx); err != nil {
		d.log.WithError(err).Warn("connections that were not accepted are dropped")
	}
	<-d.served // from here each one that was accepted is counted
	unasked := d.clock.Now().Add(askWait)
	for now := d.clock.Now(); now.Before(end); now = d.clock.Now() {
		if d.connections.open() == 0 || d.gateway.Running() == 0 && now.After(unasked) {
			return
		}
		<-d.clock.After(leavePoll)
	}
}

// finish refuses whatever is still read, and waits for the last answers: what
// runs when the connections are closed would get none.
func (d *Daemon) finish(end time.Time) {
	now := d.clock.Now()
	d.gateway.Drain(now, now)
	for ; now.Before(end) && d.connections.answering() > 0; now = d.clock.Now() {
		<-d.clock.After(leavePoll)
	}
}

// giveUp has what still runs answered without its endpoint, and waits until each
// caller that may have sent a request has its answer.
//
// An endpoint may hold a request for longer than the grace. The platform would kill the
// process meanwhile, and callers could not tell a request that ran from one that did not.
func (d *Daemon) giveUp(last time.Time) {
	if running := d.gateway.Running(); running > 0 {
		d.log.WithField("running", running).Warn("the grace ends before the last answer")
	}
	d.endServing(carawayspread.ErrShutdown)
	for now := d.clock.Now(); now.Before(last) && d.connections.owed() > 0; now = d.clock.Now() {
		<-d.clock.After(leavePoll)
	}
}
