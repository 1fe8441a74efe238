package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// unreadableID is the id in the path of another writer's liveness reports. Its last three bytes are no text.
	unreadableID = "agent-%ff%fe%fd"
	// unnamedService is a service that no configuration names.
	unnamedService = "other-pool"
	// unusedAddress is an address at which nothing listens.
	unusedAddress = "127.0.3.99:9"
	// writerLead is how long before the engines the other writer of unreadable reports begins.
	writerLead = time.Second
	// trafficDelay is when traffic starts, after the machines as on the sheet.
	trafficDelay = 10 * time.Second
	// trafficTime is for how long each entry is called, and callPause the time between two calls.
	trafficTime = 25 * time.Second
	callPause   = 500 * time.Millisecond
	// writerEngines are the engines of these cases, and writerEntries the entries.
	writerEngines = 4
	writerEntries = 3
)

// unreadableReports lets another writer send liveness reports whose id cannot be read, beside those of sound engines.
func unreadableReports(r *record, trouble bool) (bool, error) {
	d, err := startDeployment(r, writerEntries)
	defer d.close()
	if err != nil {
		return false, err
	}
	startedAt := time.Now()
	if err := d.declare(d.configuration()); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if trouble {
		go d.reportUnreadable(ctx)
	}
	time.Sleep(writerLead)
	if err := d.startBornEngines(writerEngines); err != nil {
		return false, err
	}
	time.Sleep(trafficDelay - time.Since(startedAt))
	return d.callAll() == 0, nil
}

// reportUnreadable sends the reports of a writer that names no engine to each control process at the usual interval.
func (d *deployment) reportUnreadable(ctx context.Context) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		body, _ := json.Marshal(heartbeat{
			Service:  unnamedService,
			Address:  unusedAddress,
			Zone:     "zone-a",
			Version:  "v1",
			Slots:    slots,
			State:    "ready",
			Sequence: sequence,
			Born:     d.writerBorn(),
		})
		statuses := make(map[string]int)
		for _, address := range d.controlAddresses() {
			statuses[address], _ = d.post(address, "/v1/instances/"+unreadableID+"/heartbeat", body)
		}
		d.record.line("report %d of %s, answers by control process: %v", sequence, unreadableID, statuses)
		time.Sleep(heartbeatInterval)
	}
}

// unnamedReports lets another writer report the addresses of sound engines once, under a service that is not named.
func unnamedReports(r *record, trouble bool) (bool, error) {
	d, err := startDeployment(r, writerEntries)
	defer d.close()
	if err != nil {
		return false, err
	}
	startedAt := time.Now()
	if err := d.declare(d.configuration()); err != nil {
		return false, err
	}
	if err := d.startBornEngines(writerEngines); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeatInterval) // Control has heard of all engines.
	if trouble {
		d.reportUnnamed()
	}
	time.Sleep(trafficDelay - time.Since(startedAt))
	return d.callAll() == 0, nil
}

// reportUnnamed sends one report for each engine's address, from a writer with an id of its own.
func (d *deployment) reportUnnamed() {
	for number := 1; number <= writerEngines; number++ {
		body, _ := json.Marshal(heartbeat{
			Service:  unnamedService,
			Address:  d.engineAddress(number),
			Zone:     "zone-a",
			Version:  "v1",
			Slots:    slots,
			State:    "ready",
			Sequence: 1,
			Born:     time.Now().UnixMilli(),
		})
		id := fmt.Sprintf("agent-%d", number)
		control := d.controlAddresses()[number%len(d.controls)]
		status, err := d.post(control, "/v1/instances/"+id+"/heartbeat", body)
		d.record.line("report of %s to %s: %s status %d, error: %v", id, control, body, status, err)
	}
}

// writerBorn is when the other writer was started.
func (d *deployment) writerBorn() int64 { return d.record.start.UnixMilli() }

// startBornEngines starts engines that state when they were started, and answer streams in chunks.
func (d *deployment) startBornEngines(count int) error {
	for i := range count {
		_, err := d.startEngine(engineOptions{
			id:      engineID(i),
			service: serviceLLM,
			address: d.engineAddress(i + 1),
			born:    true,
			events:  10,
			pause:   streamPause,
		})
		if err != nil {
			return err
		}
		d.record.line("%s is started at %s and reports to control every %v", engineID(i), d.engineAddress(i+1), heartbeatInterval)
	}
	return nil
}

// callAll calls all entries for a time and returns how many streams were served.
func (d *deployment) callAll() (served int) {
	sent, statuses := 0, make(map[int]int)
	startedAt := time.Now()
	for time.Since(startedAt) < trafficTime {
		for _, entry := range d.entries {
			a := d.call(entry)
			sent++
			statuses[a.status]++
			if a.status == http.StatusOK && a.complete {
				served++
			}
			d.record.line("stream %s at %s: status %d, %d events, error: %v", a.attempt, entry.name, a.status, a.events(), a.err)
		}
		time.Sleep(callPause)
	}
	d.record.line("%d of %d streams were served, %d ran at engines; answers by status: %v", served, sent, len(d.runs()), statuses)
	return served
}
