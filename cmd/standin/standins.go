package main

import (
	"net/http"
	"time"

	"github.com/urfave/cli/v2"

	"carawayspread"
	"carawayspread/internal/standin/instances"
	"carawayspread/internal/standin/objects"
	"carawayspread/internal/standin/table"
	"carawayspread/internal/standin/weights"
)

// standin is one kind of stand-in. Its flags have names that no other kind uses, since the command
// all takes the flags of every kind.
type standin struct {
	usage   string
	flags   []cli.Flag
	handler func(c *cli.Context) (http.Handler, error)
}

var standins = carawayspread.NewRegistry[standin]("table")

var clock = carawayspread.SystemClock()

var _ = standins.Register("table", standin{
	usage:   "the table service, by the DynamoDB protocol",
	handler: func(*cli.Context) (http.Handler, error) { return table.New(clock), nil },
})

var _ = standins.Register("objects", standin{
	usage:   "the object store, by the S3 protocol with path-style names",
	handler: func(*cli.Context) (http.Handler, error) { return objects.New(clock), nil },
})

var _ = standins.Register("instances", standin{
	usage: "the instance list: GET and POST /instances, PUT and DELETE /instances/ID",
	flags: []cli.Flag{
		&cli.DurationFlag{Name: "lag", Value: time.Second, Usage: "changes show after `DURATION`"},
	},
	handler: func(c *cli.Context) (http.Handler, error) {
		return instances.New(clock, c.Duration("lag")), nil
	},
})

var _ = standins.Register("weights", standin{
	usage: "the weight store: GET /weights/NAME",
	flags: []cli.Flag{
		&cli.DurationFlag{Name: "weights-every", Value: time.Second, Usage: "serve one request every `DURATION`"},
		&cli.IntFlag{Name: "weights-burst", Value: 4, Usage: "serve `N` requests at once before that"},
		&cli.IntFlag{Name: "weights-bytes", Value: 1 << 20, Usage: "`SIZE` of every weight"},
	},
	handler: func(c *cli.Context) (http.Handler, error) {
		return weights.New(clock, c.Duration("weights-every"), c.Int("weights-burst"), c.Int("weights-bytes")), nil
	},
})
