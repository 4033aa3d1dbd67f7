// Package fleet runs the real processes of the system on one machine for demos,
// experiments and tests.
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

// Process manages one operating-system process. It can be started again after it exits.
type Process struct {
	Name string
	// Log is the path of the file that receives standard output and standard error.
	Log    string
	binary string
	args   []string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	exitErr error
}

// NewProcess returns a process that is not started yet.
func NewProcess(name, log, binary string, args ...string) *Process {
	return &Process{Name: name, Log: log, binary: binary, args: args}
}

// Start starts the process and appends its output to the log file.
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
	// The kernel kills the process when its parent exits.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.command = command
	p.done = make(chan struct{})
	go func(done chan struct{}) {
		err := command.Wait()
		p.mu.Lock()
		p.exitErr = err
		p.mu.Unlock()
		close(done)
	}(p.done)
	return nil
}

// Signal sends a signal to the process. It fails if the process was never started.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return fmt.Errorf("signal %s: not running", p.Name)
	}
	return p.command.Process.Signal(signal)
}

// PID returns the ID of the process that was started last.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

// Suspend suspends the process with SIGSTOP.
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill kills the process with SIGKILL and waits for its exit.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	_ = p.Wait(10 * time.Second)
}

// errStillRunning is returned when a process has not exited within the timeout.
var errStillRunning = errors.New("still running")

// Stop sends SIGTERM and waits for the exit. It returns the exit error of the process.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(timeout)
}

// Wait waits for the exit and returns the exit error of the process. A process that was
// never started returns nil.
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
	return p.exitErr
}

// Running reports whether the process was started and has not exited; a frozen process is
// running.
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

// firstPort and lastPort bound the ports used. They are below the usual ephemeral ports, to avoid conflicts with
// outgoing connections.
const (
	firstPort = 12000
	lastPort  = 31000
)

// portAllocator finds free TCP ports of 127.0.0.1, starting at a port that depends on the
// process ID.
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

// FindBinary returns the path of the bramblelift program: in the directory named by the
// environment variable BRAMBLELIFT_BIN if it is set, else beside the running executable.
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
