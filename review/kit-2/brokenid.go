package main

import (
	"errors"
	"fmt"
	"net/url"
	"time"
)

// playBrokenID lets another writer send one liveness report whose id holds a line break and what follows it, at the
// address of an engine.
func playBrokenID(f *fleet, trouble bool) ([]string, error) {
	const engineCount, clientCount = 2, 9
	const pause, before, during = 30 * time.Millisecond, 3 * time.Second, 10 * time.Second
	if err := f.startWith(engineCount, nil); err != nil {
		return nil, err
	}
	stop := f.bookSteadily(clientCount, pause)
	time.Sleep(before)
	if trouble {
		if err := f.reportBrokenID(f.engines[0]); err != nil {
			return nil, err
		}
	}
	time.Sleep(during)
	answers := stop()
	sent := make(map[string]bool)
	for _, a := range answers {
		sent[a.attempt] = true
	}
	var breaks []string
	for _, r := range f.allRuns() {
		if sent[r.attempt] && r.account != account {
			breaks = append(breaks, fmt.Sprintf("UNASKED: %s ran the booking %s of %s as one of %q", r.engine, r.attempt, account, r.account))
		}
	}
	f.record.add("%d bookings", len(answers))
	return breaks, nil
}

// reportBrokenID sends the report to a control process.
func (f *fleet) reportBrokenID(e *engine) error {
	e.mu.Lock()
	id := e.id + "\r\nX-Tenant: fida11"
	e.mu.Unlock()
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"talca-a","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`,
		e.service, e.address, e.slots, time.Now().UnixMilli())
	status := f.post(f.controls[0], "/v1/instances/"+url.PathEscape(id)+"/heartbeat", body)
	f.record.add("another writer reports the engine %q at %s, answered %d", id, e.address, status)
	if status == 0 {
		return errors.New("the report got no answer")
	}
	return nil
}
