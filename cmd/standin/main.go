// Command standin serves stand-ins of the platform and of the endpoints, for tests and local runs
// only.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v2"
)

func main() {
	if err := newApp(os.Stdout).Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newApp(out io.Writer) *cli.App {
	app := &cli.App{
		Name:  "standin",
		Usage: "serve stand-ins of the platform and of endpoints on loopback",
		Description: "Each stand-in prints one line name=address once it listens, and serves until SIGINT.\n" +
			"Those of the platform take faults at POST /faults, as JSON with any of down, slowMs,\n" +
			"loseNext (answers of writes; -1 for all) and throttled, and count at GET /counters.",
	}
	for _, name := range standins.Names() {
		p, _ := standins.Get(name)
		app.Commands = append(app.Commands, &cli.Command{
			Name:   name,
			Usage:  p.usage,
			Flags:  append([]cli.Flag{listenFlag}, p.flags...),
			Action: func(c *cli.Context) error { return serve(c, out, name) },
		})
	}
	app.Commands = append(app.Commands, &cli.Command{
		Name:   "all",
		Usage:  "every stand-in, each on the next port after --listen, or all on free ports with port 0",
		Flags:  append([]cli.Flag{listenFlag}, allFlags()...),
		Action: func(c *cli.Context) error { return serve(c, out, standins.Names()...) },
	})
	return app
}

var listenFlag = &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP number and `PORT` to serve on"}

// allFlags joins the flags of all stand-ins.
func allFlags() []cli.Flag {
	var flags []cli.Flag
	for _, name := range standins.Names() {
		p, _ := standins.Get(name)
		flags = append(flags, p.flags...)
	}
	return flags
}
