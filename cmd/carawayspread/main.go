// Command carawayspread runs the daemons of the serving system and the commands of its operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/urfave/cli/v2"

	"carawayspread/internal/process/operator"
)

func main() {
	log.SetHandler(logfmt.New(os.Stderr))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := app().RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func app() *cli.App {
	return &cli.App{
		Name:  "carawayspread",
		Usage: "serve language-model work and plain services from one fixed fleet",
		Commands: append([]*cli.Command{
			devCommand(),
			entryCommand(),
			sidecarCommand(),
		}, operator.Commands()...),
	}
}
