// Command gateway runs the daemon that accepts callers' requests on the users' platform.
package main

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/urfave/cli/v2"

	"carawayspread"
	"carawayspread/internal/connection/direct"
	"carawayspread/internal/connection/storetime"
	"carawayspread/internal/connection/uptime"
	"carawayspread/internal/daemon/gatewayd"
	"carawayspread/internal/process/follower"
	"carawayspread/internal/version/gatewaysettings"
	"carawayspread/platform/catalog"
	"carawayspread/platform/cloud"
	"carawayspread/platform/orders"
	"carawayspread/platform/rows"
	"carawayspread/platform/wire"
)

func main() {
	log.SetHandler(logfmt.New(os.Stdout))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := &cli.App{
		Name:  "gateway",
		Usage: "take callers' requests by route and have them run",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", EnvVars: []string{wire.SettingsVariable}, Usage: "settings `FILE`, JSON with comments"},
		},
		Commands: []*cli.Command{
			{Name: "check", Usage: "check the settings file and say all that is wrong", Action: check},
			checkRoutesCommand(),
		},
		Action: run,
	}
	if err := app.RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func check(c *cli.Context) error {
	_, err := readSettings(c)
	return err
}

// readSettings reads the settings file that the flag names.
func readSettings(c *cli.Context) (*gatewaysettings.Settings, error) {
	name := c.String("config")
	if name == "" {
		return nil, errors.New("--config: no settings file is named")
	}
	return gatewaysettings.Read(name)
}

func run(c *cli.Context) error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // one that comes during the start must not end the process
	s, err := readSettings(c)
	if err != nil {
		return err
	}
	gatewayd.LimitMemory(s)
	clock := carawayspread.SystemClock()
	transport := direct.New(direct.WithClock(clock))
	storeTime := storetime.New(uptime.Clock{})
	store := rows.New(transport, s.Store(), rows.WithClockObserver(uptime.Clock{}, storeTime.Observe), rows.WithLog(log.Log))
	var usage carawayspread.UsageSink
	if u := s.Usage(); u != nil {
		usage = cloud.New(transport, u.Address(), s.ID())
	}
	d, err := gatewayd.New(s, clock, log.Log, os.Stdout, gatewayd.Ports{
		Transport: transport,
		Prober:    transport, Connections: transport.Connections,
		Mover:    orders.NewMover(transport),
		Protocol: wire.Protocol{},
		Source: func(sink *gatewayd.Daemon) follower.Source {
			return catalog.New(store, sink, log.Log)
		},
		Table:  rows.NewTable(store, "carawayspread"),
		Uptime: uptime.Clock{}, StoreTime: storeTime, Usage: usage,
		Engine: func(endpoint carawayspread.Endpoint) carawayspread.Engine {
			return orders.New(transport, endpoint, s.ID())
		},
	})
	if err != nil {
		return err
	}
	stdlog.SetFlags(0)
	stdlog.SetOutput(d.LibraryWriter())
	go reportReloads(c.Context, reloads, c.String("config"), s)
	return d.Run(c.Context)
}

// reportReloads reads the settings file on each signal and logs whether it is valid and differs
// from the running settings. Changes take effect at the next start, since a running process keeps
// its addresses.
func reportReloads(ctx context.Context, reloads <-chan os.Signal, name string, running *gatewaysettings.Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		}
		entry := log.WithField("instance", running.ID()).WithField("running", running.Digest())
		next, err := gatewaysettings.Read(name)
		if err != nil {
			entry.WithError(err).Error("reload")
			continue
		}
		entry.WithField("file", next.Digest()).WithField("changed", next.Digest() != running.Digest()).Info("reload")
	}
}
