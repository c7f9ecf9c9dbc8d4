package main

import (
	"context"

	"github.com/apex/log"
	"github.com/urfave/cli/v2"

	"carawayspread"
	"carawayspread/internal/daemon/base"
	"carawayspread/internal/daemon/dev"
	"carawayspread/internal/daemon/entryd"
	"carawayspread/internal/daemon/sidecard"
	"carawayspread/internal/version/settings"
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a small fleet with stand-ins on loopback, until interrupted",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "`ADDRESS` for callers, an IP number and a port"},
			&cli.StringFlag{Name: "admin-listen", Value: "127.0.0.1:8081", Usage: "`ADDRESS` of the administration API"},
		},
		Action: func(c *cli.Context) error {
			opts := dev.Options{Listen: c.String("listen"), AdminListen: c.String("admin-listen")}
			fleet, err := dev.New(opts, carawayspread.SystemClock(), log.Log)
			if err != nil {
				return err
			}
			return fleet.Run(c.Context, c.App.Writer)
		},
	}
}

func entryCommand() *cli.Command {
	return daemonCommand("entry", "run the daemon that takes callers' requests", func(ctx context.Context, s *settings.Settings) error {
		d, err := entryd.New(base.New(s, carawayspread.SystemClock(), log.Log))
		if err != nil {
			return err
		}
		return d.Run(ctx)
	})
}

func sidecarCommand() *cli.Command {
	return daemonCommand("sidecar", "run the daemon beside the endpoints of an instance", func(ctx context.Context, s *settings.Settings) error {
		d, err := sidecard.New(base.New(s, carawayspread.SystemClock(), log.Log))
		if err != nil {
			return err
		}
		return d.Run(ctx)
	})
}

func daemonCommand(name, usage string, run func(context.Context, *settings.Settings) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Required: true, Usage: "settings `FILE`, JSON with comments"},
		},
		Action: func(c *cli.Context) error {
			s, err := settings.Read(c.String("config"))
			if err != nil {
				return err
			}
			base.LimitMemory(s)
			return run(c.Context, s)
		},
	}
}
