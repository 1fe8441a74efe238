package main

import (
	"net/http"
	"time"
)

// operatorPause is the time between two tries of the operator.
const operatorPause = 50 * time.Millisecond

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
