package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/urfave/cli/v2"

	"carawayspread/internal/connection/adminapi"
	"carawayspread/internal/version/finding"
	"carawayspread/internal/version/settings"
)

func pathOf(c *cli.Context, kind string) string {
	return "/" + kind + "/" + url.PathEscape(c.Args().First())
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "the accepted configuration, its history, and settings files",
		Subcommands: []*cli.Command{
			command("check", "check a settings file, or a change before it is made", "[FILE]",
				"Checks the settings file of a daemon without a server and prints every finding with file, line,\n"+
					"column and path. With --change, has the server check a change against its configuration.",
				commonFlags(
					&cli.StringFlag{Name: "config", Usage: "the settings `FILE`, as daemons take it"},
					&cli.BoolFlag{Name: "change", Usage: "FILE holds a change"},
				), checkFile),
			command("show", "show the whole configuration", "", "", commonFlags(), func(c *cli.Context) error {
				var answer adminapi.Configuration
				if err := call(c, http.MethodGet, "/config", nil, nil, &answer); err != nil {
					return err
				}
				return printer{w: c.App.Writer}.json(answer)
			}),
			command("history", "list accepted changes in order", "", "",
				commonFlags(&cli.Uint64Flag{Name: "after", Usage: "start after `VERSION`"}), history),
			command("apply", "make a group of changes at once", "FILE",
				"FILE holds {\"set\": {...}, \"delete\": {...}} as JSON with comments. The group is accepted or refused as a whole.",
				changeFlags(), func(c *cli.Context) error {
					body, err := os.ReadFile(c.Args().First())
					if err != nil {
						return cli.Exit(err.Error(), exitRefused)
					}
					return changeCall(c, http.MethodPost, "/changes", body)
				}),
		},
	}
}

func checkFile(c *cli.Context) error {
	name := c.Args().First()
	if name == "" {
		name = c.String("config")
	}
	if name == "" {
		return cli.Exit("needs the FILE to check", exitRefused)
	}
	body, err := os.ReadFile(name)
	if err != nil {
		return cli.Exit(err.Error(), exitRefused)
	}
	findings := finding.List{}
	if c.Bool("change") {
		var checked adminapi.CheckResult
		if err := call(c, http.MethodPost, "/config/check", nil, body, &checked); err != nil {
			return err
		}
		findings = checked.Findings
		for i := range findings {
			findings[i].File = name
		}
	} else if _, err := settings.Parse(name, body); err != nil && !errors.As(err, &findings) {
		return err
	}
	if len(findings) > 0 {
		return cli.Exit(findings.Error(), exitRefused)
	}
	printer{w: c.App.Writer}.line("%s: no findings", name)
	return nil
}

func history(c *cli.Context) error {
	query := url.Values{}
	query.Set(adminapi.ParamAfter, strconv.FormatUint(c.Uint64("after"), 10))
	var answer adminapi.History
	if err := call(c, http.MethodGet, "/config/history", query, nil, &answer); err != nil {
		return err
	}
	return output(c, answer, func(p printer) {
		for _, r := range answer.Records {
			p.record(r, "")
		}
	})
}

func auditCommand() *cli.Command {
	flags := commonFlags(
		&cli.StringFlag{Name: "day", Usage: "`DATE` in UTC such as 2026-12-02; today if left out"},
		&cli.StringFlag{Name: "after", Usage: "continue after the `KEY` that the last part named"},
	)
	return command("audit", "who asked for what, when, and what became of it", "", "", flags, func(c *cli.Context) error {
		query := url.Values{}
		query.Set(adminapi.ParamDay, c.String("day"))
		query.Set(adminapi.ParamAfter, c.String("after"))
		var answer adminapi.Audit
		if err := call(c, http.MethodGet, "/audit", query, nil, &answer); err != nil {
			return err
		}
		return output(c, answer, func(p printer) {
			for _, line := range answer.Records {
				p.audit(line)
			}
			if answer.Next != "" {
				p.line("more: --day %s --after %s", answer.Day, answer.Next)
			}
		})
	})
}

func statusCommand() *cli.Command {
	return command("status", "every listed instance with its version and endpoints", "", "", commonFlags(), func(c *cli.Context) error {
		var answer adminapi.Status
		if err := call(c, http.MethodGet, "/status", nil, nil, &answer); err != nil {
			return err
		}
		return output(c, answer, func(p printer) { p.status(answer) })
	})
}

func drainCommand() *cli.Command {
	flags := commonFlags(
		&cli.StringFlag{Name: "instance", Usage: "drain all endpoints of the instance `ID`"},
		&cli.StringFlag{Name: "endpoint", Usage: "drain the endpoint `ID`"},
	)
	help := "Running requests finish; none is cut. Draining may be asked for again."
	return command("drain", "give an instance or endpoint no new work", "", help, flags, func(c *cli.Context) error {
		body, err := json.Marshal(adminapi.DrainRequest{Instance: c.String("instance"), Endpoint: c.String("endpoint")})
		if err != nil {
			return err
		}
		var answer adminapi.DrainResult
		if err := call(c, http.MethodPost, "/drain", nil, body, &answer); err != nil {
			return err
		}
		return output(c, answer, func(p printer) {
			p.line("instance %s drains, requests still running: %d", answer.Instance, answer.Running)
		})
	})
}
