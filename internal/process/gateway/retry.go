package gateway

import (
	"strconv"

	"carawayspread/internal/decision/fleetbudget"
)

func (g *Gateway) budget(service string) *fleetbudget.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = fleetbudget.New(g.clock, g.retryBudget, g.fleet, g.start)
		g.budgets[service] = b
	}
	return b
}

// spendRetry spends one retry of the budget of the request's service; false if none is left.
func (c *call) spendRetry() bool {
	d := c.g.budget(c.service.Name).Allow()
	c.retryDecision = &d
	c.g.set.GetOrCreateCounter(`gateway_retries_total{service="` + c.service.Name + `",allowed="` + strconv.FormatBool(d.Allowed) + `"}`).Inc()
	return d.Allowed
}

func decimal(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }

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
	c.line.Text("retry", map[bool]string{true: "allowed", false: "refused"}[d.Allowed]).Int("retriesSpent", int64(d.Spent)).
		Text("retryLimit", decimal(d.Limit)).Int("budgetRequests", int64(d.Requests)).Text("slackLeft", decimal(d.Slack)).
		Int("fleet", fleet).Ms("processAgeMs", d.Age)
}
