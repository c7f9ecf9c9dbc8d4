package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/urfave/cli/v2"
)

const headerTimeout = 10 * time.Second

// serve runs the named stand-ins until a signal or the end of the context.
func serve(c *cli.Context, out io.Writer, names ...string) error {
	first, err := netip.ParseAddrPort(c.String("listen"))
	if err != nil {
		return err
	}
	var group run.Group
	for i, name := range names {
		if err := addServer(&group, c, out, name, addressOf(first, i)); err != nil {
			return err
		}
	}
	group.Add(run.SignalHandler(c.Context, syscall.SIGINT, syscall.SIGTERM))
	err = group.Run()
	if errors.Is(err, run.ErrSignal) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// addressOf returns the address of the i-th stand-in, on the i-th port after the first. Port 0 stays
// 0, so that each gets a free port.
func addressOf(first netip.AddrPort, i int) string {
	if first.Port() == 0 {
		return first.String()
	}
	return netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String()
}

func addServer(group *run.Group, c *cli.Context, out io.Writer, name, address string) error {
	p, _ := standins.Get(name)
	handler, err := p.handler(c)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	group.Add(
		func() error { return server.Serve(listener) },
		func(error) { _ = server.Close() },
	)
	_, err = fmt.Fprintf(out, "%s=%s\n", name, listener.Addr())
	return err
}
