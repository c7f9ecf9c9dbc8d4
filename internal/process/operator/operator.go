// Package operator implements the operators' commands: thin clients of the administration API, and
// the check of a local settings file.
package operator

import (
	"context"
	"errors"
	"flag"
	"io"
	"net/http"
	"net/url"
	"os/user"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"carawayspread"
	"carawayspread/internal/connection/adminapi"
)

// Exit codes of failed commands, by which scripts can distinguish them.
const (
	exitRefused     = 1 // provably had no effect
	exitUnknown     = 2 // may have taken effect
	exitUnreachable = 3 // nothing was sent
)

const (
	flagServer  = "server"
	flagActor   = "actor"
	flagAgainst = "against"
	flagWait    = "wait"
	flagJSON    = "json"

	defaultServer = "http://127.0.0.1:8081"
	// callTimeout exceeds the longest wait that the API accepts.
	callTimeout = 90 * time.Second
)

// Commands returns the operators' commands.
func Commands() []*cli.Command {
	return []*cli.Command{
		classCommand(), workspaceCommand(), serviceCommand(),
		configCommand(), auditCommand(), statusCommand(), drainCommand(),
	}
}

// commonFlags returns the flags of every command that calls the API, after those in more.
func commonFlags(more ...cli.Flag) []cli.Flag {
	return append(more,
		&cli.StringFlag{Name: flagServer, Value: defaultServer, EnvVars: []string{"CARAWAYSPREAD_SERVER"}, DefaultText: defaultServer, Usage: "the administration API of any entry"},
		&cli.StringFlag{Name: flagActor, EnvVars: []string{"CARAWAYSPREAD_ACTOR"}, Value: userName(), DefaultText: "your user name", Usage: "who asks; kept in the audit trail"},
		&cli.BoolFlag{Name: flagJSON, Usage: "print the answer as JSON"},
	)
}

// userName returns the name of the user that runs the command. It is empty if the system knows none;
// the API then refuses changes and drains without --actor.
func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// changeFlags returns the flags of every command that makes a change, after those in more.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return commonFlags(append(more,
		&cli.Uint64Flag{Name: flagAgainst, Usage: "the `VERSION` that you looked at; the change is refused if there is a newer one"},
		&cli.DurationFlag{Name: flagWait, Usage: "wait up to `DURATION`, at most 1m, until every listed instance confirms the change"},
	)...)
}

// command returns a command whose flags may precede and follow its arguments, as in
// "class set rulings --share 0.95". The library stops at the first argument and would silently treat
// flags after it as arguments.
func command(name, usage, args, description string, flags []cli.Flag, action func(*cli.Context) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: args, Description: description, Flags: flags,
		SkipFlagParsing: true, HideHelpCommand: true,
		Action: func(c *cli.Context) error {
			parsed, err := parse(c, name, flags)
			if errors.Is(err, flag.ErrHelp) {
				return cli.ShowSubcommandHelp(c)
			}
			if err != nil {
				return cli.Exit(err.Error(), exitRefused)
			}
			if !validArgCount(args, parsed.NArg()) {
				return cli.Exit("usage: "+c.Command.HelpName+" "+args+"; --help tells more", exitRefused)
			}
			return action(parsed)
		},
	}
}

// validArgCount reports whether a usage such as "NAME [FILE]" permits n arguments.
func validArgCount(usage string, n int) bool {
	words := strings.Fields(usage)
	optional := strings.Count(usage, "[")
	return n >= len(words)-optional && n <= len(words)
}

// parse parses flags and arguments in any order.
func parse(c *cli.Context, name string, flags []cli.Flag) (*cli.Context, error) {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(io.Discard) // errors are returned, not printed
	set.Usage = func() {}
	for _, f := range flags {
		if err := f.Apply(set); err != nil {
			return nil, err
		}
	}
	var positional []string
	for rest := c.Args().Slice(); len(rest) > 0; {
		if err := set.Parse(rest); err != nil {
			return nil, err
		}
		rest = set.Args()
		if len(rest) > 0 {
			positional = append(positional, rest[0])
			rest = rest[1:]
		}
	}
	if err := set.Parse(append([]string{"--"}, positional...)); err != nil {
		return nil, err
	}
	return cli.NewContext(c.App, set, c), nil
}

// call sends one request to the API that the flags select.
func call(c *cli.Context, method, path string, query url.Values, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(c.Context, callTimeout)
	defer cancel()
	client := adminapi.NewClient(c.String(flagServer), c.String(flagActor), http.DefaultClient)
	return reportError(c, client.Do(ctx, method, path, query, body, result))
}

// reportError prints an error of the API with its details and returns one that sets the exit code.
func reportError(c *cli.Context, err error) error {
	var remote *adminapi.RemoteError
	if !errors.As(err, &remote) {
		return err
	}
	fault := remote.Fault()
	p := printer{w: c.App.ErrWriter}
	p.fault(fault)
	switch {
	case fault.Code == carawayspread.CodeNoEndpoint && remote.Unwrap() != nil:
		return cli.Exit("", exitUnreachable)
	case !fault.NotRun:
		return cli.Exit("", exitUnknown)
	default:
		return cli.Exit("", exitRefused)
	}
}

// changeCall sends a change and prints in which instances it is in force.
func changeCall(c *cli.Context, method, path string, body []byte) error {
	if !c.IsSet(flagAgainst) {
		return cli.Exit("--against is missing: the version that you looked at, as 'config show' and every list print it", exitRefused)
	}
	query := url.Values{}
	query.Set(adminapi.ParamAgainst, c.String(flagAgainst))
	if wait := c.Duration(flagWait); wait > 0 {
		query.Set(adminapi.ParamWait, wait.String())
	}
	var changed adminapi.ChangeResult
	if err := call(c, method, path, query, body, &changed); err != nil {
		return err
	}
	return output(c, changed, func(p printer) { p.changed(changed) })
}
