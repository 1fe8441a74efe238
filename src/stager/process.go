package stager

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// stopTimeout is how long a process may take to exit after SIGTERM before it is killed.
const stopTimeout = 30 * time.Second

// Process is an operating system process that a Cluster started.
type Process struct {
	Name string

	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
}

// startProcess runs a program and appends its output to NAME.log in the cluster's folder.
func (c *Cluster) startProcess(name, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(c.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log file of %s: %w", name, err)
	}
	command := exec.Command(program, arguments...)
	command.Stdout = log
	command.Stderr = log
	// The kernel kills the child when the cluster's own process dies, so that none is left behind.
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := command.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), log.Close())
	}
	p := &Process{
		Name:    name,
		command: command,
		log:     log,
		exited:  make(chan struct{}),
	}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	c.processesMu.Lock()
	defer c.processesMu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal; it has no effect on a process that has exited.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Stop sends SIGTERM and waits until the process has exited, or kills it after stopTimeout.
func (p *Process) Stop() {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

// Running reports whether the process has not yet exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}
