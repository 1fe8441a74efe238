package main

import (
	"net/http"
	"time"
)

const (
	// startSpread is how long after the first machine the others start, and restartDelay how long a killed process takes
	// to be back.
	startSpread  = 200 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// operatorTime is for how long the operator sends the first configuration. It is many times ack_timeout_ms.
	operatorTime = 40 * time.Second
	// operatorPause is the time between two tries of the operator.
	operatorPause = 50 * time.Millisecond
)

// firstStart starts the system for the first time, one control process a little before all others, and kills that one as
// the others start.
func firstStart(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r, 5)
	defer d.close()
	if err != nil {
		return false, err
	}
	killed := d.controls[0]
	if err := d.start(killed); err != nil {
		return false, err
	}
	r.line("%s has been started for the first time", killed.name)
	time.Sleep(startSpread)
	if err := d.startAll(2); err != nil {
		return false, err
	}
	r.line("the other processes have been started for the first time")
	if _, err := d.startLLM(2); err != nil {
		return false, err
	}
	if trouble {
		killed.kill()
		r.line("%s is killed", killed.name)
		time.Sleep(restartDelay)
		if err := d.start(killed); err != nil {
			return false, err
		}
		r.line("%s is back with its disk, first_start is false", killed.name)
	}
	acked := d.sendUntilAcked(d.configuration(), operatorTime)
	served := 0
	for _, entry := range d.entries {
		a := d.call(entry)
		r.line("stream %s at %s: status %d, %d of %d events, error: %v", a.attempt, entry.name, a.status, a.events(), streamEvents, a.err)
		if a.status == http.StatusOK {
			served++
		}
	}
	return !acked && served == 0, nil
}

// sendUntilAcked sends a configuration to one control process after the other until one acknowledges it, and reports
// whether one did.
func (d *deployment) sendUntilAcked(document []byte, limit time.Duration) bool {
	tries, statuses := 0, make(map[int]int)
	startedAt := time.Now()
	for time.Since(startedAt) < limit {
		for _, address := range d.controlAddresses() {
			status, _ := d.post(address, "/v1/configuration/replace", document)
			tries++
			statuses[status]++
			if status == http.StatusOK {
				d.record.line("the first configuration is acknowledged after %d tries", tries)
				return true
			}
		}
		time.Sleep(operatorPause)
	}
	d.record.line("the first configuration is not acknowledged in %d tries within %v; answers by status: %v", tries, limit, statuses)
	return false
}
