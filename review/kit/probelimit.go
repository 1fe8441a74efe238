package main

import "time"

const (
	// probeLimitEntries are joined by probeLimitAdded, as on the sheet. Of 0.85 of an engine's connections each has 43,
	// and then 30.
	probeLimitEntries = 7
	probeLimitAdded   = 3
	// probeLimitStreams are some forty at each of four engines.
	probeLimitStreams = 160
	// joinTime is how long the added entries take until they count.
	joinTime = 2500 * time.Millisecond
)

// probeLimit adds entries while one has many streams, and crashes one of four engines.
func probeLimit(r *record, trouble bool) (bool, error) {
	d, err := startDeployment(r, probeLimitEntries)
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
	s := d.startStreams(d.entries[0], probeLimitStreams)
	for range probeLimitAdded {
		if err := d.addEntry(); err != nil {
			return false, err
		}
	}
	r.line("%d entries are added", probeLimitAdded)
	time.Sleep(joinTime)
	if trouble {
		engines[0].kill()
		r.line("%s has crashed", engines[0].id)
	}
	return s.check(), nil
}
