// Package startreserve keeps in the platform's table when an instance last started with full retry budgets, so
// that one that starts again and again does not fill them each time.
package startreserve

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"carawayspread"
)

const (
	partition   = "starts"
	callTimeout = 2 * time.Second
	// retryInterval is the time between two claims while the table fails.
	retryInterval = time.Second
	// skew is how far the clocks of an instance before and after a start may differ.
	skew = 10 * time.Second
)

// state is the body of an item.
type state struct {
	GrantedAt time.Time `json:"grantedAt"` // clock of the instance
}

// Claimer claims the reserve for one start of an instance.
type Claimer struct {
	table    carawayspread.Table
	clock    carawayspread.Clock
	log      log.Interface
	instance string
	interval time.Duration // at least this long between two grants
	asked    atomic.Bool   // the first attempt has ended
}

// New returns a claimer for the instance with that identifier.
func New(table carawayspread.Table, clock carawayspread.Clock, l log.Interface, instance string, interval time.Duration) *Claimer {
	return &Claimer{table: table, clock: clock, log: l, instance: instance, interval: interval}
}

// Run calls grant if the last grant of the instance is long enough ago, and returns when ctx ends. While the
// table fails it tries again, for as long as the reserve is worth something.
func (c *Claimer) Run(ctx context.Context, grant func()) error {
	for started := c.clock.Now(); c.clock.Now().Sub(started) < c.interval; {
		granted, err := c.claim(ctx)
		if granted {
			grant()
		}
		c.asked.Store(true)
		if err == nil {
			break
		}
		c.log.WithError(err).Warn("it is not known whether retry budgets may be full")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.clock.After(retryInterval):
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// Asked reports whether the table was asked, with whatever result. Before that, a process that may start with full
// budgets has empty ones.
func (c *Claimer) Asked() bool { return c.asked.Load() }

// claim reports whether this start has the reserve. One whose write may or may not have taken effect has not.
func (c *Claimer) claim(ctx context.Context) (granted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := carawayspread.Key{Partition: partition, Sort: c.instance}
	item, err := c.table.Get(ctx, key)
	var last state
	unreadable := false // the last grant may have been a moment ago
	switch {
	case errors.Is(err, carawayspread.ErrNoItem):
	case err != nil:
		return false, err
	default:
		if err := json.Unmarshal(item.Body, &last); err != nil {
			c.log.WithError(err).WithField("rev", item.Rev).Error("the last grant cannot be read")
			unreadable = true
		}
	}
	now := c.clock.Now()
	since := now.Sub(last.GrantedAt)
	if since >= 0 && since < c.interval+skew {
		return false, nil
	}
	// An earlier grant that lies ahead shows that a clock was wrong: it counts from now on.
	body, err := json.Marshal(state{GrantedAt: now})
	if err != nil {
		return false, err
	}
	err = c.table.Apply(ctx, carawayspread.Write{IfRev: item.Rev, Item: carawayspread.Item{Key: key, Token: uuid.NewString(), Body: body}})
	return err == nil && since >= 0 && !unreadable, err
}
