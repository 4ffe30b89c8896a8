package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a running program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Wait waits until the process has ended, at most for the time given.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s did not end within %v", p.Name, limit)
	}
}

// logMode of the log files.
const logMode = 0o644

// Launcher starts processes from a directory of binaries and writes their
// output to a directory of log files.
type Launcher struct {
	BinDir string
	LogDir string

	processes []*Process
}

// Start starts a program.
func (l *Launcher) Start(name, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(filepath.Join(l.LogDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(l.BinDir, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	l.processes = append(l.processes, p)
	return p, nil
}

// Stop kills all processes that still run and waits for them.
func (l *Launcher) Stop() {
	for _, p := range l.processes {
		p.Kill()
	}
}

// Kill ends the process with SIGKILL and waits for it.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}
