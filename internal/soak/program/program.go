// Package program runs one program of ours as a process, and hurts it from outside.
//
// It is for the soak alone: nothing that is deployed starts a process.
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

// Program is one process at a time of one binary.
type Program struct {
	name string
	args []string
	log  *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process that runs has ended.
	ended chan struct{}
}

// New returns a program that is not started. What it prints is added to the file.
func New(log string, name string, args ...string) (*Program, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return &Program{name: name, args: args, log: f}, nil
}

// Start starts the process anew. One that runs has to have ended.
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
		_ = cmd.Wait() // a killed process ends with an error
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process, by its number.
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

// Ended is closed when the process that runs now has ended.
func (p *Program) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// MemoryMegabytes returns the memory that the process occupies; zero where it has ended.
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

// Close ends the process, if it runs, and its log.
func (p *Program) Close() {
	if p.Ended() != nil {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Signal(syscall.SIGKILL)
		<-p.Ended()
	}
	_ = p.log.Close()
}
