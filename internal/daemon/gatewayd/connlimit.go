package gatewayd

import (
	"context"
	"runtime/metrics"
	"time"

	"carawayspread/internal/decision/connlimit"
	"carawayspread/internal/decision/standstill"
	"carawayspread/internal/process/decisionlog"
)

// connectionBytes is the memory of a connection with its request, and connectionShare the share of the memory
// of a process that all connections may take.
const (
	connectionBytes = 32 << 10
	connectionShare = 0.5
	// descriptorShare is the share of the descriptors that connections of callers may take. A request that runs
	// takes another one, and idle connections to endpoints the rest.
	descriptorShare = 0.5
	// memoryInterval is the time between two readings of the memory in use, which take some microseconds.
	memoryInterval = time.Second
)

// limitConnections makes the listener close connections unread that the process could not serve. A process
// that is leaving serves all that it still gets.
func (d *Daemon) limitConnections() {
	maxOpen := int(connectionShare * float64(d.settings.Memory()) / connectionBytes)
	if descriptors := d.settings.Descriptors(); descriptors > 0 {
		maxOpen = min(maxOpen, int(descriptorShare*float64(descriptors)))
	}
	d.connLimit = connlimit.New(max(1, maxOpen), d.settings.MaxLateness())
	shed := d.gateway.Metrics().NewCounter("gateway_connections_shed_total")
	d.listener.SetAdmission(func() bool {
		if d.draining.Load() || d.connLimit.Accept(d.connections.open()) {
			return true
		}
		shed.Inc()
		return false
	})
}

// runTimers observes how late timers fire, which shows whether the processor keeps up and when the process stood
// still.
func (d *Daemon) runTimers(ctx context.Context) error {
	accepting := true
	memory := newMemoryMeter(d.settings.Memory())
	for {
		expected := d.clock.Now().Add(standstill.Interval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.clock.After(standstill.Interval):
		}
		d.standstill.Fired()
		go d.standstill.Yield() // the next timer does not wait for it
		d.observeMemory(memory)
		if d.settings.MaxLateness() == 0 {
			continue
		}
		late := d.clock.Now().Sub(expected)
		share := d.connLimit.Fired(late)
		if accepting != (share == 1) {
			accepting = share == 1
			d.decisionLog.Write(decisionlog.Start("connections").Int("acceptedPercent", int64(100*share)).Ms("late", late).Int("open", int64(d.connections.open())))
		}
	}
}

// observeMemory has fewer connections accepted as the memory in use comes near what the process is granted.
func (d *Daemon) observeMemory(m *memoryMeter) {
	now := d.clock.Now()
	if now.Before(m.next) {
		return
	}
	m.next = now.Add(memoryInterval)
	part := m.read()
	share := d.connLimit.UseMemory(part)
	if m.accepting != (share == 1) {
		m.accepting = share == 1
		d.decisionLog.Write(decisionlog.Start("memory").Int("usedPercent", int64(100*part)).Int("acceptedPercent", int64(100*share)).
			Int("open", int64(d.connections.open())))
	}
}

// memoryMeter reads how much memory the process uses. It is not safe for concurrent use.
type memoryMeter struct {
	granted   int64
	samples   []metrics.Sample // mapped, and returned to the system
	next      time.Time        // when to read again
	accepting bool             // all connections, at the last reading
}

func newMemoryMeter(granted int64) *memoryMeter {
	return &memoryMeter{granted: granted, accepting: true, samples: []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
	}}
}

// read returns the part of the granted memory that is in use.
func (m *memoryMeter) read() float64 {
	metrics.Read(m.samples)
	return float64(m.samples[0].Value.Uint64()-m.samples[1].Value.Uint64()) / float64(m.granted)
}
