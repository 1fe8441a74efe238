package main

import (
	"syscall"
	"time"
)

const (
	// earlyEndStreams are spread over four engines.
	earlyEndStreams = 24
	// freezeTime is how long the entry is frozen, crashDelay when in this time the engine crashes, and downTime how long
	// the engine is down.
	freezeTime = 3300 * time.Millisecond
	crashDelay = 300 * time.Millisecond
	downTime   = 2200 * time.Millisecond
)

// earlyEnd freezes an entry, and crashes one of four engines, which is back before the entry wakes.
func earlyEnd(r *record, trouble bool) (bool, error) {
	d, err := startDeployment(r, 2)
	defer d.close()
	if err != nil {
		return false, err
	}
	engines, err := d.startLLM(4)
	if err != nil {
		return false, err
	}
	if err := d.declare(d.configuration()); err != nil {
		return false, err
	}
	if err := d.awaitServing(); err != nil {
		return false, err
	}
	s := d.startStreams(d.entries[0], earlyEndStreams)
	time.Sleep(time.Second) // The streams are under way.
	if trouble {
		if err := d.crashWhileFrozen(d.entries[0], engines[0]); err != nil {
			return false, err
		}
	}
	return s.check(), nil
}

// crashWhileFrozen freezes an entry for a time in which an engine crashes and is back.
func (d *deployment) crashWhileFrozen(entry *member, crashing *engineProcess) error {
	entry.signal(syscall.SIGSTOP)
	defer entry.signal(syscall.SIGCONT)
	d.record.line("%s is frozen", entry.name)
	time.Sleep(crashDelay)
	crashing.kill()
	d.record.line("%s has crashed", crashing.id)
	time.Sleep(downTime)
	again := crashing.engineOptions
	again.id = crashing.id + "-again"
	if _, err := d.startEngine(again); err != nil {
		return err
	}
	d.record.line("it is back at the same address, as %s", again.id)
	time.Sleep(freezeTime - crashDelay - downTime)
	d.record.line("%s wakes", entry.name)
	return nil
}
