package base

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"

	"carawayspread/internal/daemon/server"
	"carawayspread/internal/decision/intake"
	"carawayspread/internal/version/settings"
)

// intakeLogInterval is the time between two log lines about what was refused or given up.
const intakeLogInterval = time.Second

// LimitMemory sets the soft limit of the garbage collector of this process.
func LimitMemory(s *settings.Settings) {
	memory, _ := granted(s.Limits())
	debug.SetMemoryLimit(int64(intake.MemoryLimitShare * float64(memory)))
}

// setUpIntake bounds what callers make the process hold, by its memory and descriptors.
func (b *Base) setUpIntake() {
	memory, descriptors := granted(b.settings.Limits())
	b.shares = intake.Divide(memory, descriptors)
	b.intake = intake.New(b.shares.RequestBytes, b.clock)
	b.set.NewGauge("carawayspread_request_bytes", func() float64 { return float64(b.intake.Used()) })
	b.set.NewGauge(`carawayspread_given_up_total{limit="memory"}`, func() float64 { return float64(b.intake.Counts().ForMemory) })
	b.set.NewGauge(`carawayspread_given_up_total{limit="connections"}`, func() float64 { return float64(b.intake.Counts().ForConnections) })
	b.set.NewGauge("carawayspread_connections_refused_total", func() float64 { return float64(b.intake.Counts().Refused) })
}

// granted returns the memory, in bytes, and the descriptors of the process: those of the settings, or else of the
// machine, or of the control group that has less, and of the system.
func granted(limits settings.Limits) (memory, descriptors int64) {
	memory, descriptors = limits.MemoryBytes(), limits.Descriptors()
	var info unix.Sysinfo_t
	if memory == 0 && unix.Sysinfo(&info) == nil {
		memory = int64(info.Totalram) * int64(info.Unit)
		if limit := cgroupMemory(os.DirFS("/")); limit > 0 {
			memory = min(memory, limit)
		}
	}
	var open unix.Rlimit
	if descriptors == 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &open) == nil {
		descriptors = int64(min(open.Cur, 1<<20))
	}
	return memory, descriptors
}

// ListenForCallers returns a server on the address for the requests that the process serves. The handler reads their
// bodies.
func (b *Base) ListenForCallers(address string, handler http.Handler) (*server.Server, error) {
	return b.listen(address, handler, b.shares.Connections)
}

// Listen returns a server on the address for operators and other processes of the fleet.
func (b *Base) Listen(address string, handler http.Handler, opts ...server.Option) (*server.Server, error) {
	return b.listen(address, handler, b.shares.Auxiliary, opts...)
}

func (b *Base) listen(address string, handler http.Handler, connections int, opts ...server.Option) (*server.Server, error) {
	t := b.settings.Timeouts()
	return server.Listen(address, handler, append([]server.Option{
		server.WithTimeouts(t.ReadHeader(), t.ReadBody(), t.Idle()),
		server.WithHeaderLimit(b.settings.Limits().HeaderBytes()),
		server.WithAccounts(b.intake.Listener(connections).Open, b.shares.ReceiveBuffer),
	}, opts...)...)
}

// logIntake logs what was refused or given up.
func (b *Base) logIntake(ctx context.Context) error {
	var last intake.Counts
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.clock.After(intakeLogInterval):
		}
		counts := b.intake.Counts()
		if counts == last {
			continue
		}
		b.log.WithFields(log.Fields{
			"forMemory": counts.ForMemory - last.ForMemory, "forConnections": counts.ForConnections - last.ForConnections,
			"refused": counts.Refused - last.Refused, "requestBytes": b.intake.Used(),
		}).Warn("requests or connections given up")
		last = counts
	}
}
