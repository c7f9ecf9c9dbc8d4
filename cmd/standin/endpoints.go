package main

import (
	"net/http"
	"time"

	"github.com/urfave/cli/v2"

	"carawayspread/internal/standin/engine"
	"carawayspread/internal/standin/plain"
)

var _ = standins.Register("engine", standin{
	usage: "a model engine: the OpenAI protocol and the order API",
	flags: []cli.Flag{
		&cli.StringSliceFlag{Name: "model", Usage: "`NAME` of a resident model, repeated for more"},
		&cli.BoolFlag{Name: "checks-fence", Usage: "refuse orders with an outdated fencing number"},
		&cli.IntFlag{Name: "slots", Value: 16, Usage: "batch `N` requests"},
		&cli.DurationFlag{Name: "token-every", Value: 5 * time.Millisecond, Usage: "`PAUSE` between tokens"},
		&cli.IntFlag{Name: "prefill-rate", Value: 100000, Usage: "process `N` prompt tokens a second; 0 for no pause"},
		&cli.DurationFlag{Name: "role-change", Value: 2 * time.Second, Usage: "a role change takes the engine away for `DURATION`"},
		&cli.DurationFlag{Name: "restart", Value: 2 * time.Second, Usage: "a crash lasts `DURATION`"},
	},
	handler: newEngine,
})

func newEngine(c *cli.Context) (http.Handler, error) {
	opts := []engine.Option{
		engine.Slots(c.Int("slots")),
		engine.TokenEvery(c.Duration("token-every")),
		engine.PrefillRate(c.Int("prefill-rate")),
		engine.RoleChange(c.Duration("role-change")),
		engine.Restart(c.Duration("restart")),
	}
	if models := c.StringSlice("model"); len(models) > 0 {
		opts = append(opts, engine.Models(models...))
	}
	if c.Bool("checks-fence") {
		opts = append(opts, engine.ChecksFence())
	}
	return engine.New(opts...), nil
}

var _ = standins.Register("plain", standin{
	usage: "a plain service: GET /records/ID, POST and GET /receipts",
	flags: []cli.Flag{
		&cli.DurationFlag{Name: "delay", Usage: "take `DURATION` for each request"},
	},
	handler: func(c *cli.Context) (http.Handler, error) { return plain.New(c.Duration("delay")), nil },
})
