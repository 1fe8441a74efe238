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

// killAfter is how long a process may take to stop before it is killed.
const killAfter = 30 * time.Second

// Process is one program that the stage started.
type Process struct {
	Name string

	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
}

// start runs a program with its output in a file of the stage's folder.
func (s *Stage) start(name, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(s.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of %s: %w", name, err)
	}
	command := exec.Command(program, arguments...)
	command.Stdout = log
	command.Stderr = log
	// A stage that dies must leave no process behind.
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
		ended:   make(chan struct{}),
	}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	s.processesMu.Lock()
	defer s.processesMu.Unlock()
	s.processes = append(s.processes, p)
	return p, nil
}

// PID returns the process's id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal; a process that has ended takes none.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Stop asks the process to stop and waits until it has.
func (p *Process) Stop() {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(killAfter):
		p.Kill()
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
