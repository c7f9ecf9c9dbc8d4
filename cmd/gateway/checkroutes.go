package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v2"

	"carawayspread/internal/connection/direct"
	"carawayspread/internal/version/finding"
	"carawayspread/internal/version/routingcheck"
	"carawayspread/platform/catalog"
	"carawayspread/platform/rows"
)

// Exit codes of the commands.
const (
	exitFailure  = 1 // the command could not do its work
	exitErrors   = 2 // the configuration has errors
	exitWarnings = 3 // the configuration has warnings only
)

const (
	// storeTimeout bounds reading the configuration in force.
	storeTimeout = 5 * time.Second
	// maxPrinted bounds the lines of each kind that are printed; the rest is counted.
	maxPrinted = 200
)

func checkRoutesCommand() *cli.Command {
	return &cli.Command{
		Name: "check-routes", ArgsUsage: "FILE",
		Usage: "check a configuration of routes before it is sent, and compare it with the one in force",
		Description: "Prints errors, warnings and differences. Exits with 0 if there is neither an error nor a warning, 2 for errors,\n" +
			"3 for warnings only, 1 if the check could not be done. Sends nothing.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "in-force", Usage: "compare with `FILE` and not with the store's configuration"},
			&cli.BoolFlag{Name: "offline", Usage: "compare with nothing"},
		},
		Action: func(c *cli.Context) error {
			name := c.Args().First()
			if name == "" || c.Args().Len() > 1 {
				return errors.New("check-routes: name one file")
			}
			inForce, err := readInForce(c)
			if err != nil {
				return fmt.Errorf("the configuration in force: %w", err)
			}
			body, err := os.ReadFile(name)
			if err != nil {
				return err
			}
			if code := checkRoutes(c.App.Writer, name, body, inForce); code != 0 {
				return cli.Exit("", code)
			}
			return nil
		},
	}
}

// readInForce returns the configuration to compare with; nil for none.
func readInForce(c *cli.Context) ([]byte, error) {
	if c.Bool("offline") {
		return nil, nil
	}
	if name := c.String("in-force"); name != "" {
		return os.ReadFile(name)
	}
	s, err := readSettings(c)
	if err != nil {
		return nil, err
	}
	transport := direct.New()
	defer transport.Close()
	ctx, cancel := context.WithTimeout(c.Context, storeTimeout)
	defer cancel()
	return catalog.InForce(ctx, rows.New(transport, s.Store()))
}

// checkRoutes prints what the check of a configuration finds, and returns the exit code.
func checkRoutes(w io.Writer, name string, body, inForce []byte) int {
	draft, unreadable := routingcheck.Read(name, body, catalog.Format())
	found := routingcheck.Check(draft)
	found.Errors = append(unreadable, found.Errors...)
	if inForce != nil {
		before, _ := routingcheck.Read("in force", inForce, catalog.Format())
		if draft.Version <= before.Version && draft.Version > 0 {
			found.Errors.Add(draft.Place(), "version %d is not newer than %d, which is in force", draft.Version, before.Version)
		}
		printAll(w, "differs: ", routingcheck.Compare(before, draft))
	}
	found.Sort()
	printAll(w, "error: ", texts(found.Errors))
	printAll(w, "warning: ", texts(found.Warnings))
	switch {
	case len(found.Errors) > 0:
		return exitErrors
	case len(found.Warnings) > 0:
		return exitWarnings
	}
	return 0
}

func texts(findings finding.List) []string {
	lines := make([]string, 0, len(findings))
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	return lines
}

func printAll(w io.Writer, prefix string, lines []string) {
	for i, line := range lines {
		if i == maxPrinted {
			_, _ = fmt.Fprintf(w, "%s%d more\n", prefix, len(lines)-i)
			return
		}
		_, _ = fmt.Fprintln(w, prefix+line)
	}
}
