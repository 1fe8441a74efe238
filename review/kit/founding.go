package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// frozenStart is how long one seed runs until it is frozen and the others start, and seedFreeze for how long it is
	// frozen.
	frozenStart = 150 * time.Millisecond
	seedFreeze  = 3300 * time.Millisecond
	// diskLossTime is how long a machine that loses its disk is down.
	diskLossTime = time.Second
	// declarePause is the time between two tries of the operator at one control process.
	declarePause = 20 * time.Millisecond
	// readTime is for how long the operator tries to read back what was acknowledged, more than twice recovery_s.
	readTime = 30 * time.Second
)

// founding freezes a seed right after its first start, and lets this machine and another one lose their disks right after the first
// configuration was acknowledged.
func founding(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r)
	defer d.close()
	if err != nil {
		return false, err
	}
	frozen := d.controls[1]
	if err := d.start(frozen); err != nil {
		return false, err
	}
	r.line("%s is started for the first time", frozen.name)
	time.Sleep(frozenStart)
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		r.line("%s is frozen", frozen.name)
		wake := time.AfterFunc(seedFreeze, func() {
			frozen.signal(syscall.SIGCONT)
			r.line("%s wakes", frozen.name)
		})
		defer wake.Stop()
	}
	if err := d.startAll(2); err != nil {
		return false, err
	}
	r.line("the other processes are started for the first time")
	if _, err := d.startLLM(2); err != nil {
		return false, err
	}
	if err := d.declareEverywhere(d.configuration()); err != nil {
		return false, err
	}
	if trouble {
		if err := d.loseDisks(frozen, d.controls[2]); err != nil {
			return false, err
		}
	}
	readBack := d.readBack(d.version)
	served := 0
	for _, entry := range d.entries {
		a := d.call(entry)
		r.line("stream %s at %s: status %d, %d of %d events, error: %v", a.attempt, entry.name, a.status, a.events(), streamEvents, a.err)
		if a.status == http.StatusOK {
			served++
		}
	}
	return !readBack && served == 0, nil
}

// declareEverywhere sends a configuration to all control processes, again and again, until one acknowledges it.
func (d *deployment) declareEverywhere(document []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), declareTimeout)
	defer cancel()
	acked := make(chan string, len(d.controls))
	for _, address := range d.controlAddresses() {
		go func() {
			for ctx.Err() == nil {
				if status, _ := d.post(address, "/v1/configuration/replace", document); status == http.StatusOK {
					acked <- address
					return
				}
				time.Sleep(declarePause)
			}
		}()
	}
	select {
	case address := <-acked:
		d.record.line("the first configuration is acknowledged by %s", address)
		return nil
	case <-ctx.Done():
		return fmt.Errorf("no configuration was acknowledged within %v", declareTimeout)
	}
}

// loseDisks ends some processes at the same moment, and starts them again without their disks.
func (d *deployment) loseDisks(lost ...*member) error {
	var group sync.WaitGroup
	for _, m := range lost {
		group.Go(m.kill)
	}
	group.Wait()
	for _, m := range lost {
		if err := os.RemoveAll(m.data); err != nil {
			return err
		}
		d.record.line("%s has lost its disk", m.name)
	}
	time.Sleep(diskLossTime)
	for _, m := range lost {
		if err := d.start(m); err != nil {
			return err
		}
		d.record.line("%s is back with an empty disk, first_start is false", m.name)
	}
	return nil
}

// readBack reads the configuration at one control process after the other, and reports whether one answers with a version.
func (d *deployment) readBack(want int) bool {
	statuses := make(map[int]int)
	startedAt := time.Now()
	for time.Since(startedAt) < readTime {
		for _, address := range d.controlAddresses() {
			status, version := d.fetch(address)
			statuses[status]++
			if status == http.StatusOK && version >= want {
				d.record.line("version %d is read back", version)
				return true
			}
		}
		time.Sleep(operatorPause)
	}
	d.record.line("version %d was acknowledged and is not read back within %v; answers by status: %v", want, readTime, statuses)
	return false
}

// fetch reads the configuration at a control process.
func (d *deployment) fetch(address string) (status, version int) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/configuration/fetch", nil)
	if err != nil {
		return 0, 0
	}
	response, err := d.client.Do(request)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	var document struct {
		Version int `json:"version"`
	}
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil {
		return response.StatusCode, 0
	}
	return response.StatusCode, document.Version
}
