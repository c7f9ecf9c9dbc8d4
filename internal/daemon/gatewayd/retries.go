package gatewayd

import (
	"context"
	"math/rand/v2"

	"carawayspread"
	"carawayspread/internal/controller/retryclaims"
	"carawayspread/internal/decision/fleetbudget"
	"carawayspread/internal/decision/hedging"
)

// claimedFraction is the part of the slack of the retry budget that is claimed in the table. The other part goes
// to all processes in equal shares, which they have while the table is down.
const claimedFraction = 0.5

// setUpRetries returns the limits of retries and the function that claims one.
func (d *Daemon) setUpRetries(ports Ports, clock carawayspread.Clock) (fleetbudget.Limits, func(context.Context, string) bool) {
	limits := d.settings.RetryLimits()
	if ports.Table == nil {
		return limits, func(context.Context, string) bool { return false }
	}
	limits.Claimed = claimedFraction * limits.Slack
	claimer := retryclaims.New(ports.Table, ports.StoreTime, clock, d.decisionLog, fleetbudget.UsedFraction*limits.Claimed, limits.Window, d.peers.FleetSize)
	return limits, claimer.Claim
}

// newHedging returns nil if no request is to get a second attempt while the first one runs.
func newHedging(share float64, clock carawayspread.Clock) *hedging.Hedging {
	if share == 0 {
		return nil
	}
	return hedging.New(clock, share, rand.Float64())
}
