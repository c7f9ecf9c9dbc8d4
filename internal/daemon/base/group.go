package base

import (
	"context"
	"time"

	"github.com/oklog/run"

	"carawayspread"
	"carawayspread/internal/daemon/server"
)

const (
	// shutdownReserve is the last part of the grace period, in which the servers shut down and the
	// process exits. abortReserve is the part before it, in which the requests that are still
	// running are aborted and answered.
	shutdownReserve = time.Second
	abortReserve    = 500 * time.Millisecond
	// serverShutdownTime is passed to ShutdownWithin. At most three servers shut down one after the
	// other, each in at most twice this time, which fits into shutdownReserve.
	serverShutdownTime = 150 * time.Millisecond
)

// Group is the run group of a daemon. When the daemon is told to shut down, the actors keep running
// until the one that waits for the last request has returned.
type Group struct {
	run.Group
	ctx  context.Context
	stop context.CancelFunc
}

// Group returns a run group with the servers and with the actors that keep the instance list and the
// configuration up to date. changed is called with each changed instance list.
func (b *Base) Group(ctx context.Context, changed func([]carawayspread.Instance), servers ...*server.Server) *Group {
	g := &Group{}
	g.ctx, g.stop = context.WithCancel(context.WithoutCancel(ctx))
	for _, s := range servers {
		g.addServer(s)
	}
	g.Go(func(runCtx context.Context) error { return b.watch.Run(runCtx, changed) })
	g.Go(b.config.Run)
	g.Go(b.logIntake)
	return g
}

// addServer adds an actor that returns only after its server has shut down completely, not when the
// server stops accepting connections. The first actor that returns interrupts all others.
func (g *Group) addServer(s *server.Server) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := s.Run(); err != nil {
			return err
		}
		<-ended
		return nil
	}, func(error) {
		s.ShutdownWithin(serverShutdownTime)
		close(ended)
	})
}

// Go adds an actor that returns when its context ends.
func (g *Group) Go(actor func(runCtx context.Context) error) {
	g.Add(func() error { return actor(g.ctx) }, func(error) { g.stop() })
}

// Wait runs the group until all actors have returned. It returns nil if ctx has ended, which means
// that the daemon was told to shut down, and otherwise the error of the first actor.
func (g *Group) Wait(ctx context.Context) error {
	defer g.stop()
	err := g.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// AbortTime returns when FinishRequests aborts the requests that still run, if it is called now.
func (b *Base) AbortTime() time.Time { return b.clock.Now().Add(b.timeForRequests()) }

func (b *Base) timeForRequests() time.Duration {
	return b.settings.Timeouts().Grace() - abortReserve - shutdownReserve
}

// FinishRequests calls wait, which returns when the last request of the server has finished or its
// context has ended, and returns its error.
//
// An endpoint may take longer for a request than the grace period after which the platform kills the
// daemon, and the caller could not know whether the request ran. Shortly before the grace period ends,
// FinishRequests therefore aborts the requests that are still running, so that they are answered
// without their endpoints, and waits again.
func (b *Base) FinishRequests(runCtx context.Context, s *server.Server, wait func(context.Context) error) error {
	graceful, cancel := context.WithTimeout(runCtx, b.timeForRequests())
	defer cancel()
	err := wait(graceful)
	if err == nil || runCtx.Err() != nil {
		return err
	}
	b.log.WithError(err).Warn("grace period is nearly over; aborting the requests still running")
	s.Abort(carawayspread.ErrShutdown)
	aborted, cancel := context.WithTimeout(runCtx, abortReserve)
	defer cancel()
	return wait(aborted)
}
