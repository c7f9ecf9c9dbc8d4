// Command soak runs gateways as processes, injects faults chosen at random from a seed, and reports
// which guarantees were violated.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v2"

	"carawayspread"
	"carawayspread/internal/soak/fleet"
	"carawayspread/internal/soak/schedule"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	app := &cli.App{
		Name:  "soak",
		Usage: "run gateways under faults from outside and check what callers and workers saw",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Value: "target/gateway", Usage: "the `PROGRAM` that is played"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "how many seeds, one after the other"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "in which faults begin"},
			&cli.BoolFlag{Name: "stops", Usage: "most faults are orders to end, and workers that hold requests"},
			&cli.BoolFlag{Name: "harmful", Usage: "a caller sends requests that crash the workers which run them"},
			&cli.BoolFlag{Name: "failing", Usage: "workers refuse most requests while gateways are killed and restarted in series"},
			&cli.BoolFlag{Name: "drains", Usage: "gateways end, restart and change in series while callers use open connections"},
			&cli.BoolFlag{Name: "releases", Usage: "workers are replaced by ones of other versions in series, in several zones, and streams are long"},
			&cli.BoolFlag{Name: "crowds", Usage: "clients that do not behave call all gateways meanwhile"},
			&cli.BoolFlag{Name: "strands", Usage: "as --releases; the only fault is that one gateway alone outlives the others and has missed a release"},
			&cli.IntFlag{Name: "size", Value: 3, Usage: "gateways"},
			&cli.StringFlag{Name: "findings", Value: "target/soak", Usage: "`FOLDER` for what broken promises leave"},
		},
		Action: run,
	}
	if err := app.RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	broken, generate := 0, schedule.Generate
	if c.Bool("stops") {
		generate = schedule.GenerateStops
	}
	if c.Bool("harmful") {
		generate = schedule.GenerateHarmful
	}
	if c.Bool("failing") {
		generate = schedule.GenerateFailing
	}
	if c.Bool("drains") {
		generate = schedule.GenerateDrains
	}
	if c.Bool("releases") {
		generate = schedule.GenerateReleases
	}
	if c.Bool("strands") {
		generate = schedule.GenerateStrands
	}
	load := load{releases: c.Bool("releases") || c.Bool("strands"), harmful: c.Bool("harmful"), failing: c.Bool("failing"), drains: c.Bool("drains"), crowds: c.Bool("crowds")}
	for n := range uint64(max(1, c.Int("runs"))) {
		found, err := runSchedule(c.Context, c.App.Writer, c.String("gateway"), c.String("findings"), generate(c.Uint64("seed")+n, c.Duration("length")), c.Int("size"), load)
		if err != nil {
			return err
		}
		if len(found) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return trace.Errorf("%d seeds with a broken promise", broken)
	}
	return nil
}

// load says what callers send beside their common requests, and how workers answer.
type load struct{ harmful, failing, drains, releases, crowds bool }

// runSchedule runs one schedule of faults and returns the violated guarantees. If there are any, the
// logs of the run, the schedule and the findings are kept in a folder named after the seed.
func runSchedule(ctx context.Context, out io.Writer, binary, findings string, s *schedule.Schedule, size int, l load) ([]string, error) {
	dir := filepath.Join(findings, fmt.Sprint(s.Seed()))
	if err := os.RemoveAll(dir); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var opts []fleet.Option
	if l.releases {
		opts = append(opts, fleet.WithReleases())
	}
	f, err := fleet.New(binary, dir, size, carawayspread.SystemClock(), opts...)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if l.harmful {
		f.Harmful()
	}
	if l.failing {
		f.Failing()
	}
	if l.drains {
		f.Drains()
	}
	if l.crowds {
		f.Crowds()
	}
	if err := f.Run(ctx, s); err != nil {
		return nil, err
	}
	found := f.History().Breaches()
	for _, err := range f.InjectionErrors() {
		found = append(found, err.Error())
	}
	asked, served := f.History().RequestCounts()
	taken, went := f.History().ResumptionCounts()
	fmt.Fprintf(out, "seed %d: %d faults, %d asked, %d served, %d of %d streams taken up went on, %d runs moved, %d broken\n",
		s.Seed(), len(s.Steps()), asked, served, went, taken, f.History().MoveCount(), len(found))
	if l.drains {
		sent, answered, refused := f.History().DrainCounts()
		fmt.Fprintf(out, "over kept connections to processes that end: %d sent, %d served, %d refused\n", sent, answered, refused)
	}
	if len(found) == 0 {
		return nil, trace.ConvertSystemError(os.RemoveAll(dir))
	}
	text := strings.Join(found, "\n") + "\n"
	fmt.Fprint(out, s, text)
	return found, trace.ConvertSystemError(os.WriteFile(filepath.Join(dir, "finding.txt"), []byte(s.String()+text), 0o600))
}
