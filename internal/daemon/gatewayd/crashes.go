package gatewayd

import (
	"context"

	"carawayspread"
	"carawayspread/internal/connection/peers"
	"carawayspread/internal/controller/quarantinelog"
	"carawayspread/internal/decision/suspectparts"
)

// RecordCrash records a crash that a peer reported, or its withdrawal.
func (d *Daemon) RecordCrash(c peers.Crash) {
	d.gateway.RecordCrash(c.Fingerprint, carawayspread.EndpointID(c.Endpoint), c.Withdrawn)
}

// RefuteCrash removes the record of a crash that a peer proved to be none.
func (d *Daemon) RefuteCrash(c peers.Crash) {
	d.gateway.RefuteCrash(c.Fingerprint, carawayspread.EndpointID(c.Endpoint))
}

// Items of the table that keep what crashes endpoints.
const (
	requestsItem = "requests"
	partsItem    = "parts"
)

func (d *Daemon) setUpQuarantineLogs(ports Ports) {
	if ports.Table == nil {
		return
	}
	d.quarantineLog = quarantinelog.New(requestsItem, ports.Table, d.gateway, ports.StoreTime, d.clock, d.decisionLog, d.gateway.QuarantineDuration())
	d.partLog = quarantinelog.New(partsItem, ports.Table, d.gateway.Parts(), ports.StoreTime, d.clock, d.decisionLog,
		suspectparts.MaxRefusal, quarantinelog.WithTrials(suspectparts.RefusalAfterTrial))
}

// claimTrial claims the trial of a part of prompts for this process.
func (d *Daemon) claimTrial(ctx context.Context, part uint64) bool {
	return d.partLog != nil && d.partLog.Claim(ctx, part)
}
