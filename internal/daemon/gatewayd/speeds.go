package gatewayd

import (
	"math"
	"slices"

	"carawayspread"
	"carawayspread/internal/controller/speedlog"
	"carawayspread/internal/process/decisionlog"
)

// speedSource is a placer that estimates the speed of engines.
type speedSource interface {
	carawayspread.SpeedTracker
	SlowEngines() (passing int, spread float64)
	KnownSpeeds() []carawayspread.EngineSpeed
}

// setUpSpeeds exchanges the speeds of engines with peers, and keeps them in the table, if the placer estimates them.
func (d *Daemon) setUpSpeeds(ports Ports) {
	source, ok := d.placer.(speedSource)
	if !ok {
		return
	}
	d.peers.SetSpeedTracker(loggedSpeeds{source, d.decisionLog})
	d.gateway.Metrics().NewGauge("gateway_engines_slowed", func() float64 {
		passing, _ := source.SlowEngines()
		return float64(passing)
	})
	d.gateway.Metrics().NewGauge("gateway_engine_speed_spread", func() float64 {
		_, spread := source.SlowEngines()
		return spread
	})
	if ports.Table != nil {
		d.speedLog = speedlog.New(ports.Table, source, d.savesSpeeds, d.clock, d.decisionLog)
	}
}

// savesSpeeds reports whether this process is the one that saves speeds in the table: the one with the lowest
// identifier of those that it knows, which may be two for a moment. It also returns their number.
func (d *Daemon) savesSpeeds() (chosen bool, processes int) {
	self, all := d.peers.Membership()
	return len(all) > 0 && self == slices.Min(all), len(all)
}

// loggedSpeeds logs what this process tells its peers of engines that have become slow or usual again.
type loggedSpeeds struct {
	speedSource
	log *decisionlog.Log
}

// SpeedNews implements carawayspread.SpeedTracker.
func (l loggedSpeeds) SpeedNews(n int) []carawayspread.EngineSpeed {
	news := l.speedSource.SpeedNews(n)
	for _, s := range news {
		l.log.Write(decisionlog.Start("engineSpeed").Text("endpoint", string(s.Endpoint)).
			Int("percentOfUsualTime", int64(math.Round(100*math.Exp(s.Passing.Ratio)))))
	}
	return news
}
