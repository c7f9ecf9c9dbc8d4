package gateway

import (
	"context"
	"errors"
	"strconv"

	"carawayspread"
	"carawayspread/internal/decision/fleetbudget"
)

func (g *Gateway) budget(service string) *fleetbudget.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = fleetbudget.New(g.retryClock, g.retryBudget, g.fleet, g.start)
		g.budgets[service] = b
	}
	return b
}

// spendRetry spends one retry of the budget of the request's service, for the next attempt that is sent; false
// if none is left.
func (c *call) spendRetry(ctx context.Context) bool {
	if c.retry != nil {
		return true
	}
	var d fleetbudget.Decision
	c.retry, d = c.g.budget(c.service.Name).Spend()
	c.retryDecision, c.retryClaimed = &d, false
	if !d.Allowed && c.g.claimRetry(ctx, c.service.Name) {
		c.retry, c.retryClaimed = &fleetbudget.Retry{}, true
	}
	c.g.set.GetOrCreateCounter(`gateway_retries_total{service="` + c.service.Name + `",by="` + c.retryPaidBy() + `"}`).Inc()
	return c.retry != nil
}

// retryPaidBy returns what paid for the latest retry that was asked for, in logs and metrics.
func (c *call) retryPaidBy() string {
	switch {
	case c.retryClaimed:
		return "claim"
	case c.retryDecision.Allowed:
		return "share"
	}
	return "refused"
}

func decimal(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }

// beginRetry records that an attempt is being sent.
func (c *call) beginRetry() {
	if c.retry != nil {
		c.retry.ArrivesWithin(carawayspread.MaxConnectTime + carawayspread.MaxUnacknowledged)
	}
}

// endRetry records what became of an attempt that was sent with that error. One that reached no endpoint
// leaves its retry to the next attempt; what was written of one that was given up may still arrive.
func (c *call) endRetry(err error) {
	switch {
	case c.retry == nil || errors.Is(err, carawayspread.ErrUnsent):
		return
	case err == nil:
		c.retry.ArrivesWithin(0)
	default:
		c.retry.ArrivesWithin(carawayspread.MaxUnacknowledged)
	}
	c.retry = nil
}

// withdrawRetry returns a retry that no attempt was sent for.
func (c *call) withdrawRetry() {
	if c.retry != nil {
		c.retry.Withdraw()
		c.retry = nil
	}
}

// logRetryDecision adds the latest decision on a retry of the request to its line.
func (c *call) logRetryDecision() {
	d := c.retryDecision
	if d == nil {
		return
	}
	fleet := int64(d.FleetSize)
	if !d.FleetKnown {
		fleet = 0
	}
	c.line.Text("retry", c.retryPaidBy()).Int("retriesSpent", int64(d.Spent)).
		Text("retryLimit", decimal(d.Limit)).Int("budgetRequests", int64(d.Requests)).
		Int("fleet", fleet).Ms("processAgeMs", d.Age)
}
