package main

import (
	"fmt"
	"syscall"
	"time"
)

// drainTimeout is the bound drain_timeout_ms of the site.
const drainTimeout = 2 * time.Second

// playDeparture lets engines deregister one after the other, kills all processes right after the last acknowledgement, and
// lets the last heartbeat of each of these engines arrive late.
func playDeparture(f *fleet, trouble bool) ([]string, error) {
	const engineCount, leaving = 6, 3
	const apart, down, late = 250 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second
	const clientCount, pause, settle, during = 12, 20 * time.Millisecond, 200 * time.Millisecond, 4 * time.Second
	if err := f.startWith(engineCount, nil); err != nil {
		return nil, err
	}
	// The time until the start has settled.
	time.Sleep(2 * contact)
	acknowledged := make(map[string]time.Time)
	var lateHeartbeats [][2]string
	for _, e := range f.engines[:leaving] {
		time.Sleep(apart)
		path, body := e.nextHeartbeat()
		lateHeartbeats = append(lateHeartbeats, [2]string{path, body})
		at, err := e.deregister()
		if err != nil {
			return nil, err
		}
		acknowledged[e.id] = at
	}
	if trouble {
		if err := f.killAll(down); err != nil {
			return nil, err
		}
	}
	startedAt := time.Now()
	time.AfterFunc(late, func() {
		for i, heartbeat := range lateHeartbeats {
			status := f.post(f.controls[i], heartbeat[0], heartbeat[1])
			f.record.add("late heartbeat %s, answered %d", heartbeat[0], status)
		}
	})
	time.Sleep(contact + settle)
	stop := f.bookSteadily(clientCount, pause)
	time.Sleep(during)
	answers := stop()
	for _, e := range f.engines[:leaving] {
		e.end()
	}
	return judgeDrain(f, answers, acknowledged, startedAt), nil
}

// killAll kills all processes at the same moment and starts them again after a time.
func (f *fleet) killAll(down time.Duration) error {
	for _, p := range f.processes() {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.processes() {
		p.awaitExit()
	}
	time.Sleep(down)
	for _, p := range f.processes() {
		if err := p.start(false); err != nil {
			return err
		}
	}
	return nil
}

// judgeDrain returns the requests that reached an engine later than its drain timeout after the acknowledgement that it
// is gone, and were sent while all machines were in touch again.
func judgeDrain(f *fleet, answers []answer, acknowledged map[string]time.Time, startedAt time.Time) []string {
	sent := make(map[string]time.Time)
	for _, a := range answers {
		sent[a.attempt] = a.sentAt
	}
	var breaks []string
	early := 0
	for _, r := range f.allRuns() {
		at, left := acknowledged[r.engine]
		sentAt, ours := sent[r.attempt]
		if !left || !ours || !r.at.After(at.Add(drainTimeout)) {
			continue
		}
		if sentAt.Before(startedAt.Add(contact)) {
			early++
			continue
		}
		breaks = append(breaks, fmt.Sprintf("DRAIN: the booking %s, sent %.1f s after the last start, reached %s %.1f s after the acknowledgement that it is gone",
			r.attempt, sentAt.Sub(startedAt).Seconds(), r.engine, r.at.Sub(at).Seconds()))
	}
	f.record.add("%d bookings; %d more reached an engine that was gone while machines were out of touch", len(answers), early)
	return breaks
}
