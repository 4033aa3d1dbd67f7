// Package fleet runs the system's real processes on this machine for demos and tests.
package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one process of the system. It ends only what it started.
type Process struct {
	Name string
	// Log is the file that takes what the process prints.
	Log    string
	binary string
	args   []string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// NewProcess describes a process that is not running yet.
func NewProcess(name, log, binary string, args ...string) *Process {
	return &Process{Name: name, Log: log, binary: binary, args: args}
}

// Start runs the process; its log is appended to.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	defer log.Close()
	command := exec.Command(p.binary, p.args...)
	command.Stdout = log
	command.Stderr = log
	// A bench that is killed leaves no process behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.command = command
	p.done = make(chan struct{})
	go func(done chan struct{}) {
		err := command.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}(p.done)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return fmt.Errorf("signal %s: not running", p.Name)
	}
	return p.command.Process.Signal(signal)
}

// Freeze stops the process without ending it; Thaw lets it go on.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	_ = p.Wait(10 * time.Second)
}

// errStillRunning: the process did not end in time.
var errStillRunning = errors.New("still running")

// Stop asks the process to end and waits for it; the error is the process's own.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(timeout)
}

// Wait waits until the process has ended.
func (p *Process) Wait(timeout time.Duration) error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case <-done:
	case <-time.After(timeout):
		return fmt.Errorf("%s: %w", p.Name, errStillRunning)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Running reports whether the process is running.
func (p *Process) Running() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// Ports below the range that the system gives to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 31000
)

// portAllocator hands out free ports of 127.0.0.1.
type portAllocator struct {
	next int
}

func newPortAllocator() *portAllocator {
	span := lastPort - firstPort
	return &portAllocator{next: firstPort + (os.Getpid()*397)%span}
}

func (a *portAllocator) address() (string, error) {
	for range lastPort - firstPort {
		a.next++
		if a.next >= lastPort {
			a.next = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", a.next)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		return address, nil
	}
	return "", errors.New("no free port")
}

// FindBinary returns the path of the bramblelift program: beside this program, or in
// the folder named by BRAMBLELIFT_BIN.
func FindBinary() (string, error) {
	folder := os.Getenv("BRAMBLELIFT_BIN")
	if folder == "" {
		self, err := os.Executable()
		if err != nil {
			return "", fmt.Errorf("find bramblelift: %w", err)
		}
		folder = filepath.Dir(self)
	}
	path := filepath.Join(folder, "bramblelift")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("find bramblelift: %w (build it with make build)", err)
	}
	return path, nil
}
