package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a program that a Launcher has started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *Process) Pid() int { return p.cmd.Process.Pid }

func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Wait waits until the process has exited. It returns an error after limit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("process %s did not exit within %v", p.Name, limit)
	}
}

const logFileMode = 0o644

// Launcher starts programs from BinDir and appends their output to log files in
// LogDir.
type Launcher struct {
	BinDir string
	LogDir string

	processes []*Process
}

// Start starts a program with its output in the log file of the given name.
func (l *Launcher) Start(name, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(filepath.Join(l.LogDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logFileMode)
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

// Stop kills all processes that are still running and waits until they have exited.
func (l *Launcher) Stop() {
	for _, p := range l.processes {
		p.Kill()
	}
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}
