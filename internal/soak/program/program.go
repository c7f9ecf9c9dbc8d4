// Package program runs one program of the project as a process and sends it signals.
//
// It is for the soak only: nothing that is deployed starts a process.
package program

import (
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
)

// Program runs a binary, one process at a time.
type Program struct {
	name string
	args []string
	log  *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the current process has exited.
	ended chan struct{}
}

// New returns a program that is not started yet. Its output is appended to the file log.
func New(log string, name string, args ...string) (*Program, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return &Program{name: name, args: args, log: f}, nil
}

// Start starts a process. The previous one must have exited.
func (p *Program) Start() error {
	cmd := exec.Command(p.name, p.args...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // a killed process yields an error
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process. It does nothing if the process has exited.
func (p *Program) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return nil
	default:
		return trace.Wrap(p.cmd.Process.Signal(s))
	}
}

// Ended returns a channel that is closed when the current process has exited.
func (p *Program) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// MemoryMegabytes returns the resident memory of the process, or zero if it has exited.
func (p *Program) MemoryMegabytes() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// Close kills the process if it runs, and closes its log.
func (p *Program) Close() {
	if p.Ended() != nil {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Signal(syscall.SIGKILL)
		<-p.Ended()
	}
	_ = p.log.Close()
}
