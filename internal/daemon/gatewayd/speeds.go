package gatewayd

import (
	"math"

	"carawayspread"
	"carawayspread/internal/process/decisionlog"
)

// speedSource is a placer that estimates the speed of engines.
type speedSource interface {
	carawayspread.SpeedTracker
	SlowEngines() (passing int, spread float64)
}

// setUpSpeeds exchanges the speeds of engines with peers if the placer estimates them.
func (d *Daemon) setUpSpeeds() {
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
