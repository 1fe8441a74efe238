package quarantiner

import (
	"slices"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxObservations bounds the observations that an entry keeps for the next leader.
	maxObservations = 256
	// recentRunBuckets is the number of buckets for requests that have run; each bucket keeps
	// the most recent one.
	recentRunBuckets = 4096
)

// Number numbers an entry's observations, from 1.
type Number uint64

// Observation is what an entry has seen: the loss of an upstream, or that a request has run.
type Observation struct {
	Number Number
	Loss   Loss
	// Ran reports that Loss.Request has run, and that nothing was lost.
	Ran        bool
	observedAt time.Time
}

// Evidence holds what one entry has observed of requests and lost upstreams, for the current
// leader and its successors. It is safe for concurrent use.
type Evidence struct {
	mu           sync.Mutex
	observations []Observation
	lastNumber   Number
	recentRuns   [recentRunBuckets]recentRun
	// suspects are the requests with which any entry has lost an upstream.
	suspects map[units.Fingerprint]bool
}

// recentRun is a request that has run.
type recentRun struct {
	request units.Fingerprint
	at      time.Time
}

// RecordLoss records that an upstream was lost with a request. It returns false, and records
// nothing, where the request ran recently: such a request does not crash upstreams.
func (e *Evidence) RecordLoss(now time.Time, loss Loss) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ranRecently(now, loss.Request) {
		return false
	}
	e.addSuspect(loss.Request)
	e.record(Observation{
		Loss:       loss,
		observedAt: now,
	})
	return true
}

// RecordRun records that a request has run, and reports whether it was suspected.
func (e *Evidence) RecordRun(now time.Time, request units.Fingerprint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recentRuns[uint64(request)%recentRunBuckets] = recentRun{
		request: request,
		at:      now,
	}
	if !e.suspects[request] {
		return false
	}
	e.clear(now, request)
	return true
}

// SetSuspects replaces the requests with which any entry has lost an upstream. Those that ran
// here recently are reported as run instead.
func (e *Evidence) SetSuspects(now time.Time, suspects []units.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspects = nil
	for _, request := range suspects {
		if e.ranRecently(now, request) {
			e.clear(now, request)
			continue
		}
		e.addSuspect(request)
	}
	for _, o := range e.observations {
		if !o.Ran {
			e.addSuspect(o.Loss.Request)
		}
	}
}

// ReportRecentRuns records an observation for each of these requests that ran here recently.
func (e *Evidence) ReportRecentRuns(now time.Time, requests []units.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, request := range requests {
		if e.ranRecently(now, request) {
			e.clear(now, request)
		}
	}
}

// ObservationsAfter returns the observations after a number, at most limit of them.
func (e *Evidence) ObservationsAfter(now time.Time, number Number, limit int) []Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observations = slices.DeleteFunc(e.observations, func(o Observation) bool { return now.Sub(o.observedAt) >= suspectTTL })
	first := slices.IndexFunc(e.observations, func(o Observation) bool { return o.Number > number })
	if first < 0 {
		return nil
	}
	return slices.Clone(e.observations[first:min(len(e.observations), first+limit)])
}

func (e *Evidence) ranRecently(now time.Time, request units.Fingerprint) bool {
	run := e.recentRuns[uint64(request)%recentRunBuckets]
	return run.request == request && !run.at.IsZero() && now.Sub(run.at) < ranTTL
}

func (e *Evidence) addSuspect(request units.Fingerprint) {
	if e.suspects == nil {
		e.suspects = make(map[units.Fingerprint]bool)
	}
	e.suspects[request] = true
}

// clear records that a request has run, in place of the earlier observations of it.
func (e *Evidence) clear(now time.Time, request units.Fingerprint) {
	delete(e.suspects, request)
	e.observations = slices.DeleteFunc(e.observations, func(o Observation) bool { return o.Loss.Request == request })
	e.record(Observation{
		Loss:       Loss{Request: request},
		Ran:        true,
		observedAt: now,
	})
}

func (e *Evidence) record(o Observation) {
	e.lastNumber++
	o.Number = e.lastNumber
	e.observations = append(e.observations, o)
	if len(e.observations) > maxObservations {
		e.observations = slices.Delete(e.observations, 0, 1)
	}
}
