package main

import "time"

const (
	// probeLimitStreams are some fifty at each of four engines, fewer than their slots.
	probeLimitStreams = 220
	// probeLimitConnections is how many connections an engine accepts. Of 0.85 of them, the one entry has all and
	// each of three has a third.
	probeLimitConnections = 110
	// joinTime is how long the added entries take until they count.
	joinTime = 2500 * time.Millisecond
)

// probeLimit adds two entries to one that has many streams, and crashes one of four engines.
func probeLimit(r *record, trouble bool) (bool, error) {
	d, err := startDeployment(r, 5, 1)
	defer d.close()
	if err != nil {
		return false, err
	}
	d.maxConnections = probeLimitConnections
	engines, err := d.startLLM(4)
	if err != nil {
		return false, err
	}
	if err := d.declare(d.configuration()); err != nil {
		return false, err
	}
	if err := d.awaitServing(streamPath); err != nil {
		return false, err
	}
	s := d.startStreams(d.entries[0], probeLimitStreams)
	for range 2 {
		if err := d.addEntry(); err != nil {
			return false, err
		}
	}
	r.line("two entries are added")
	time.Sleep(joinTime)
	if trouble {
		engines[0].kill()
		r.line("%s has crashed", engines[0].id)
	}
	return s.check(), nil
}
