package gatewayd

import (
	"context"
	"time"

	"carawayspread"
)

const (
	// acceptPeriod is how long new connections are still accepted after a drain starts. The load
	// balancer checks the readiness once a second and removes the process after two failures.
	acceptPeriod = 3 * time.Second
	// graceForRequests is the fraction of the grace period in which running requests may finish.
	// By the fraction graceForAborted, those that did not are aborted and answered.
	graceForRequests = 0.9
	graceForAborted  = 0.95
	// leastForRequests is the fraction of the grace period that running requests have from the moment at which the
	// signal is noticed, also where it may have come earlier.
	leastForRequests = 0.85
	drainPoll        = 20 * time.Millisecond
	// firstRequestWait is how long a new connection may be open without a request. Callers send
	// the request at once, and wait a second for a connection.
	firstRequestWait = time.Second
)

// drain keeps serving requests whose deadline is within the grace period, and returns when the last
// request is answered or that period is nearly over.
//
// Connections would be reset if a process ended while its load balancer still sends to it. So the
// process first reports that it is not ready, which removes it from the load balancer, and answers ask
// callers to reconnect. If all processes drain at once, callers still arrive: requests whose deadline is
// within the grace period are served, and the others are refused with the time after which to retry.
//
// Idle connections stay open meanwhile. net/http can close a connection that it considers idle while
// a request on it is being read. That request would still run, but its caller would get neither an
// answer nor a refusal.
func (d *Daemon) drain(times drainTimes) {
	d.log.WithField("running", d.gateway.Running()).WithField("lateMs", times.late.Milliseconds()).Info("leaving")
	defer d.abortRequestsAt(times.end)()
	for now := d.clock.Now(); now.Before(times.end); now = d.clock.Now() {
		if now.After(times.acceptUntil) && d.gateway.Running() == 0 {
			break
		}
		<-d.clock.After(drainPoll)
	}
	d.drainConnections(times.end, times.abortEnd)
	d.refuseRemaining(times.end)
	d.abortRemaining(times.abortEnd)
	_ = d.callers.Close()
}

// drainTimes are the times of a process that has been told to shut down.
type drainTimes struct {
	late        time.Duration // how much earlier than it was noticed the signal may have come
	acceptUntil time.Time     // until when connections are accepted at least
	end         time.Time     // until when running requests may finish
	abortEnd    time.Time     // until when aborted ones are answered
}

// beginDrain makes the gateway accept only what it can answer before the process ends, and returns the times of the
// drain. It waits for nothing: what is accepted meanwhile would be cut.
//
// A process that is behind notices the signal late. What it accepts then is bounded by the earliest time at which the
// signal may have come; the requests that run are not ended for what may not be so.
func (d *Daemon) beginDrain() drainTimes {
	noticed, late := d.clock.Now(), d.standstill.SignalLateness()
	grace := func(share float64) time.Duration { return time.Duration(share * float64(d.settings.Grace())) }
	sent := noticed.Add(-late)
	d.gateway.Drain(sent.Add(acceptPeriod), sent.Add(grace(graceForRequests)))
	d.draining.Store(true)
	d.election.Resign()
	times := drainTimes{late: late, acceptUntil: noticed.Add(acceptPeriod), end: sent.Add(grace(graceForRequests))}
	if least := noticed.Add(grace(leastForRequests)); times.end.Before(least) {
		times.end = least
	}
	times.abortEnd = times.end.Add(grace(graceForAborted - graceForRequests))
	return times
}

// drainConnections stops accepting connections and waits until the open ones are closed. It stops
// waiting for connections without a request after firstRequestWait.
//
// Without this wait, a request that arrives after the last check for running requests would lose its
// connection without an answer, although it may have been sent to an endpoint. Shutdown of net/http
// does not help: it drops requests that are being read when it is called.
func (d *Daemon) drainConnections(end, abortEnd time.Time) {
	acceptEnd := end.Add(abortEnd.Sub(end) / 2) // what is accepted last is answered in the other half
	ctx, cancel := context.WithTimeout(context.Background(), acceptEnd.Sub(d.clock.Now()))
	defer cancel()
	if err := d.listener.Drain(ctx); err != nil {
		d.log.WithError(err).Warn("dropping connections that were not accepted")
	}
	<-d.acceptEnded // from here on, all accepted connections are counted
	idleUntil := d.clock.Now().Add(firstRequestWait)
	for now := d.clock.Now(); now.Before(end); now = d.clock.Now() {
		if d.connections.open() == 0 || d.gateway.Running() == 0 && now.After(idleUntil) {
			return
		}
		<-d.clock.After(drainPoll)
	}
}

// refuseRemaining refuses all further requests and waits for the answers to the running ones, which
// would be lost when the connections are closed.
func (d *Daemon) refuseRemaining(end time.Time) {
	now := d.clock.Now()
	d.gateway.Drain(now, now)
	for ; now.Before(end) && d.connections.active() > 0; now = d.clock.Now() {
		<-d.clock.After(drainPoll)
	}
}

// abortRequestsAt aborts the requests that are running at that time, unless stop is called before. It
// does not wait for the listener, which callers that keep connecting can hold open.
func (d *Daemon) abortRequestsAt(end time.Time) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		select {
		case <-stopped:
		case <-d.clock.After(end.Sub(d.clock.Now())):
			if running := d.gateway.Running(); running > 0 {
				d.log.WithField("running", running).Warn("grace period is nearly over; aborting the requests still running")
			}
			d.abortRequests()
		}
	}()
	return func() { close(stopped) }
}

// abortRequests aborts the requests that are still running, and those that arrive later, so that they
// are answered without their endpoints.
//
// An endpoint may take longer for a request than the grace period. The platform would then kill the
// process, and callers could not know whether their requests ran.
func (d *Daemon) abortRequests() {
	d.cancelRequests(carawayspread.ErrShutdown)
}

// abortRemaining aborts the requests that are still running, and waits until each caller that may have
// sent a request has its answer.
func (d *Daemon) abortRemaining(abortEnd time.Time) {
	d.abortRequests()
	for now := d.clock.Now(); now.Before(abortEnd) && d.connections.unanswered() > 0; now = d.clock.Now() {
		<-d.clock.After(drainPoll)
	}
}
