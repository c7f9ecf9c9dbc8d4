package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"carawayspread/internal/connection/adminapi"
	"carawayspread/internal/version/change"
)

const setHelp = "A set states the whole value: what is left out is not kept from before. " +
	"It needs --against, the version that you looked at: where another operator was faster, " +
	"you learn of that change and nothing of yours is made."

func classCommand() *cli.Command {
	flags := changeFlags(
		&cli.DurationFlag{Name: "first-token", Usage: "longest `DURATION` from arrival to the first token"},
		&cli.DurationFlag{Name: "between-tokens", Usage: "longest mean `DURATION` between tokens"},
		&cli.DurationFlag{Name: "whole", Usage: "longest `DURATION` from arrival to the whole answer"},
		&cli.Float64Flag{Name: "share", Usage: "`FRACTION` of the answers that must meet the target, above 0 and at most 1"},
		&cli.BoolFlag{Name: "at-most-once", Usage: "requests of the class must never run twice"},
	)
	return &cli.Command{
		Name:  "class",
		Usage: "classes of work and their targets",
		Subcommands: []*cli.Command{
			command("set", "state the target of a class", "NAME", setHelp+
				"\n\nExample: carawayspread class set rulings --first-token 300ms --share 0.95 --against 12", flags, setClass),
			command("list", "list all classes", "", "", commonFlags(), listClasses),
			command("show", "show one class", "NAME", "", commonFlags(), func(c *cli.Context) error {
				return show(c, "class", &adminapi.Class{})
			}),
			deleteCommand("class"),
		},
	}
}

func setClass(c *cli.Context) error {
	return set(c, "class", change.Class{
		Name:          c.Args().First(),
		FirstToken:    formatDuration(c.Duration("first-token")),
		BetweenTokens: formatDuration(c.Duration("between-tokens")),
		Whole:         formatDuration(c.Duration("whole")),
		Share:         c.Float64("share"),
		AtMostOnce:    c.Bool("at-most-once"),
	})
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func listClasses(c *cli.Context) error {
	var list adminapi.Classes
	if err := call(c, http.MethodGet, "/class", nil, nil, &list); err != nil {
		return err
	}
	return output(c, list, func(p printer) {
		p.line("version %d", list.Version)
		rows := make([][]string, 0, len(list.Classes))
		for _, class := range list.Classes {
			rows = append(rows, []string{
				class.Name, orDash(class.FirstToken), orDash(class.BetweenTokens), orDash(class.Whole),
				fmt.Sprint(class.Share), yesNo(class.AtMostOnce),
			})
		}
		p.table("CLASS FIRST-TOKEN BETWEEN-TOKENS WHOLE SHARE AT-MOST-ONCE", rows)
	})
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func workspaceCommand() *cli.Command {
	return &cli.Command{
		Name:  "workspace",
		Usage: "groups that share the fleet",
		Subcommands: []*cli.Command{
			command("set", "add a workspace", "NAME", setHelp, changeFlags(), func(c *cli.Context) error {
				return set(c, "workspace", change.Workspace{Name: c.Args().First()})
			}),
			command("list", "list all workspaces", "", "", commonFlags(), listWorkspaces),
			command("show", "show one workspace", "NAME", "", commonFlags(), func(c *cli.Context) error {
				return show(c, "workspace", &adminapi.Workspaces{})
			}),
			deleteCommand("workspace"),
		},
	}
}

func listWorkspaces(c *cli.Context) error {
	var list adminapi.Workspaces
	if err := call(c, http.MethodGet, "/workspace", nil, nil, &list); err != nil {
		return err
	}
	return output(c, list, func(p printer) {
		p.line("version %d", list.Version)
		for _, workspace := range list.Workspaces {
			p.line("%s", workspace.Name)
		}
	})
}

func serviceCommand() *cli.Command {
	flags := changeFlags(
		&cli.StringFlag{Name: "kind", Value: "model", Usage: "model or plain"},
		&cli.StringSliceFlag{Name: "model", Usage: "`MODEL` that a model service offers; may be repeated"},
		&cli.BoolFlag{Name: "repeatable", Usage: "POST and PATCH of a plain service may run twice"},
	)
	return &cli.Command{
		Name:  "service",
		Usage: "services that requests are routed to",
		Subcommands: []*cli.Command{
			command("set", "state a service", "NAME", setHelp, flags, func(c *cli.Context) error {
				return set(c, "service", change.Service{
					Name: c.Args().First(), Kind: c.String("kind"),
					Models: c.StringSlice("model"), Repeatable: c.Bool("repeatable"),
				})
			}),
			command("list", "list all services", "", "", commonFlags(), listServices),
			command("show", "show one service", "NAME", "", commonFlags(), func(c *cli.Context) error {
				return show(c, "service", &adminapi.Service{})
			}),
			deleteCommand("service"),
		},
	}
}

func listServices(c *cli.Context) error {
	var list adminapi.Services
	if err := call(c, http.MethodGet, "/service", nil, nil, &list); err != nil {
		return err
	}
	return output(c, list, func(p printer) {
		p.line("version %d", list.Version)
		rows := make([][]string, 0, len(list.Services))
		for _, s := range list.Services {
			rows = append(rows, []string{s.Name, s.Kind, yesNo(s.Repeatable), strings.Join(s.Models, ",")})
		}
		p.table("SERVICE KIND REPEATABLE MODELS", rows)
	})
}

func set(c *cli.Context, kind string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return changeCall(c, http.MethodPut, pathOf(c, kind), body)
}

func deleteCommand(kind string) *cli.Command {
	return command("delete", "delete a "+kind, "NAME", "Needs --against, as set does.", changeFlags(), func(c *cli.Context) error {
		return changeCall(c, http.MethodDelete, pathOf(c, kind), nil)
	})
}

func show(c *cli.Context, kind string, answer any) error {
	if err := call(c, http.MethodGet, pathOf(c, kind), nil, nil, answer); err != nil {
		return err
	}
	return printer{w: c.App.Writer}.json(answer)
}
