package crowd

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const samplePause = 20 * time.Millisecond

// Meter reads what a process holds, as Linux shows it, and keeps the most that it has seen.
type Meter struct {
	pid   int
	ports []string // of its listeners, in the kernel's hexadecimal form
	stop  chan struct{}
	done  chan struct{}

	mu          sync.Mutex
	memory      int64 // resident bytes and those received but not read, at one moment
	unread      int64 // the part of memory that was received but not read
	descriptors int
}

// Ports returns the ports of addresses.
func Ports(addresses ...string) []int {
	var ports []int
	for _, address := range addresses {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			ports = append(ports, int(parsed.Port()))
		}
	}
	return ports
}

// Measure starts to read what the process holds, which listens at the given ports.
func Measure(pid int, ports ...int) *Meter {
	m := &Meter{pid: pid, stop: make(chan struct{}), done: make(chan struct{})}
	for _, port := range ports {
		m.ports = append(m.ports, fmt.Sprintf(":%04X", port))
	}
	go m.run()
	return m
}

func (m *Meter) run() {
	defer close(m.done)
	for {
		resident, unread, descriptors := m.resident(), m.unreadBytes(), m.openDescriptors()
		m.mu.Lock()
		if resident+unread > m.memory {
			m.memory, m.unread = resident+unread, unread
		}
		m.descriptors = max(m.descriptors, descriptors)
		m.mu.Unlock()
		select {
		case <-m.stop:
			return
		case <-time.After(samplePause):
		}
	}
}

// Stop ends the readings. It returns the most memory that the process held at one moment, in bytes, the part of it
// that the kernel had received and the process not read, and the most descriptors.
func (m *Meter) Stop() (memory, unread int64, descriptors int) {
	close(m.stop)
	<-m.done
	return max(m.memory, m.status("VmHWM:")), m.unread, m.descriptors
}

func (m *Meter) resident() int64 { return m.status("VmRSS:") }

// status returns a size of /proc/PID/status in bytes; zero if the process has ended.
func (m *Meter) status(name string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}

// unreadBytes returns what the kernel has received for the connections of the process and it has not read.
func (m *Meter) unreadBytes() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	const local, state, queues, listening = 1, 3, 4, "0A"
	sum := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= queues || !m.isOwn(fields[local]) || fields[state] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queues], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}

func (m *Meter) isOwn(address string) bool {
	for _, port := range m.ports {
		if strings.HasSuffix(address, port) {
			return true
		}
	}
	return false
}

func (m *Meter) openDescriptors() int {
	names, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", m.pid))
	return len(names)
}
