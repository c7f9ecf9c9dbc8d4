package base

import (
	"context"
	"time"

	"github.com/oklog/run"

	"carawayspread"
	"carawayspread/internal/daemon/server"
)

const (
	// endTime is the last part of the grace, in which the daemon ends by itself, and
	// answerTime the part before it, in which requests are answered that outlast the rest.
	endTime    = time.Second
	answerTime = 500 * time.Millisecond
	// serverEnd is the time of a server for requests that run as the daemon ends by
	// itself: three servers, one after the other, each twice as long at the most.
	serverEnd = 150 * time.Millisecond
)

// Group is the run group of a daemon. Its actors go on when the daemon is told
// to end, until the actor that waits for the last request has returned.
type Group struct {
	run.Group
	work context.Context
	stop context.CancelFunc
}

// Group returns a run group with the servers, the instance list and the
// configuration. changed is called with every changed list.
func (b *Base) Group(ctx context.Context, changed func([]carawayspread.Instance), servers ...*server.Server) *Group {
	g := &Group{}
	g.work, g.stop = context.WithCancel(context.WithoutCancel(ctx))
	for _, s := range servers {
		g.addServer(s)
	}
	g.Go(func(work context.Context) error { return b.watch.Run(work, changed) })
	g.Go(b.config.Run)
	return g
}

// addServer adds an actor that ends when its server has, not when that takes no more
// connections: the end of one actor ends all others.
func (g *Group) addServer(s *server.Server) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := s.Run(); err != nil {
			return err
		}
		<-ended
		return nil
	}, func(error) {
		s.ShutdownWithin(serverEnd)
		close(ended)
	})
}

// Go adds an actor that ends with its context.
func (g *Group) Go(actor func(work context.Context) error) {
	g.Add(func() error { return actor(g.work) }, func(error) { g.stop() })
}

// Wait runs the group. It returns nil when the daemon was told to end, which
// is when ctx has ended.
func (g *Group) Wait(ctx context.Context) error {
	defer g.stop()
	err := g.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Finish returns when wait does, which waits for the last request of the server or for
// the end of its context.
//
// An endpoint may hold a request for longer than the platform waits before it kills the
// daemon, and its caller could not tell whether it ran. What outlasts the grace is
// answered without its endpoint.
func (b *Base) Finish(work context.Context, s *server.Server, wait func(context.Context) error) error {
	used, cancel := context.WithTimeout(work, b.settings.Timeouts().Grace()-answerTime-endTime)
	defer cancel()
	err := wait(used)
	if err == nil || work.Err() != nil {
		return err
	}
	b.log.WithError(err).Warn("the grace ends before the last answer")
	s.Abort(carawayspread.ErrShutdown)
	last, cancel := context.WithTimeout(work, answerTime)
	defer cancel()
	return wait(last)
}
