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
func (d *Daemon) drain() {
	d.draining.Store(true)
	d.election.Resign()
	start := d.clock.Now()
	end := start.Add(time.Duration(graceForRequests * float64(d.settings.Grace())))
	abortEnd := start.Add(time.Duration(graceForAborted * float64(d.settings.Grace())))
	d.log.WithField("running", d.gateway.Running()).Info("leaving")
	d.gateway.Drain(start.Add(acceptPeriod), end)
	defer d.abortRequestsAt(end)()
	for now := start; now.Before(end); now = d.clock.Now() {
		if now.Sub(start) > acceptPeriod && d.gateway.Running() == 0 {
			break
		}
		<-d.clock.After(drainPoll)
	}
	d.drainConnections(end, abortEnd)
	d.refuseRemaining(end)
	d.abortRemaining(abortEnd)
	_ = d.callers.Close()
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
