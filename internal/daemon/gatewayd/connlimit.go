package gatewayd

import (
	"context"
	"math"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"carawayspread/internal/daemon/server"
	"carawayspread/internal/decision/connlimit"
	"carawayspread/internal/decision/intake"
	"carawayspread/internal/decision/standstill"
	"carawayspread/internal/process/decisionlog"
	"carawayspread/internal/version/gatewaysettings"
)

// memoryInterval is the time between two readings of the memory in use, which take some microseconds.
const memoryInterval = time.Second

// LimitMemory sets the soft limit of the garbage collector of this process.
func LimitMemory(s *gatewaysettings.Settings) {
	debug.SetMemoryLimit(int64(intake.MemoryLimitShare * float64(s.Memory())))
}

// setUpIntake bounds what callers make the process hold, by its memory and descriptors.
func (d *Daemon) setUpIntake() {
	d.shares = intake.Divide(d.settings.Memory(), d.settings.Descriptors())
	d.intake = intake.New(d.shares.RequestBytes, d.clock)
	set := d.gateway.Metrics()
	set.NewGauge(`gateway_held_bytes{of="requests"}`, func() float64 { return float64(d.intake.Used()) })
	set.NewGauge(`gateway_given_up_total{limit="memory"}`, func() float64 { return float64(d.intake.Counts().ForMemory) })
	set.NewGauge(`gateway_given_up_total{limit="connections"}`, func() float64 { return float64(d.intake.Counts().ForConnections) })
	set.NewGauge("gateway_connections_refused_total", func() float64 { return float64(d.intake.Counts().Refused) })
}

// withAccounts bounds a listener for other processes and operators.
func (d *Daemon) withAccounts() server.Option {
	return server.WithAccounts(d.intake.Listener(d.shares.Auxiliary).Open, d.shares.ReceiveBuffer)
}

// logIntake logs what was refused or given up since the last call.
func (d *Daemon) logIntake() {
	counts := d.intake.Counts()
	if last := d.lastCounts; counts != last {
		d.decisionLog.Write(decisionlog.Start("intake").Int("forMemory", counts.ForMemory-last.ForMemory).
			Int("forConnections", counts.ForConnections-last.ForConnections).Int("refused", counts.Refused-last.Refused).
			Int("requestBytes", d.intake.Used()).Int("open", int64(d.connections.open())))
	}
	d.lastCounts = counts
}

// limitConnections makes the listener close connections unread that the process could not serve. A process
// that is leaving serves all that it still gets.
func (d *Daemon) limitConnections() {
	d.connLimit = connlimit.New(math.MaxInt, d.settings.MaxLateness())
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
	d.logIntake()
	inUse, total := m.read()
	share := d.connLimit.UseMemory(inUse, total)
	if m.accepting != (share == 1) {
		m.accepting = share == 1
		d.decisionLog.Write(decisionlog.Start("memory").Int("usedPercent", int64(100*inUse)).Int("totalPercent", int64(100*total)).
			Int("acceptedPercent", int64(100*share)).Int("open", int64(d.connections.open())))
	}
}

// memoryMeter reads how much memory the process uses. It is not safe for concurrent use.
type memoryMeter struct {
	granted   int64
	samples   []metrics.Sample // as in memoryMetrics
	next      time.Time        // when to read again
	accepting bool             // all connections, at the last reading
}

// memoryMetrics are what is mapped, returned to the system, free, taken by objects, and of them in use when they were
// last marked.
var memoryMetrics = []string{
	"/memory/classes/total:bytes", "/memory/classes/heap/released:bytes", "/memory/classes/heap/free:bytes",
	"/memory/classes/heap/objects:bytes", "/gc/heap/live:bytes",
}

func newMemoryMeter(granted int64) *memoryMeter {
	m := &memoryMeter{granted: granted, accepting: true}
	for _, name := range memoryMetrics {
		m.samples = append(m.samples, metrics.Sample{Name: name})
	}
	return m
}

// read returns the part of the granted memory that is in use, and the part that is taken with garbage. What came into
// use since objects were last marked counts as garbage; they are marked again before garbage takes more than the
// collector's limit.
func (m *memoryMeter) read() (inUse, total float64) {
	metrics.Read(m.samples)
	value := func(n int) float64 { return float64(m.samples[n].Value.Uint64()) / float64(m.granted) }
	mapped, released, free, objects, live := value(0), value(1), value(2), value(3), value(4)
	total = mapped - released
	return total - free - max(0, objects-live), total
}
