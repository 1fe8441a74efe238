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
	// Ran reports that Loss.Request or, if it is 0, the parts in Loss.Parts have run, and that nothing
	// was lost.
	Ran        bool
	ObservedAt time.Time
}

// Evidence holds what one entry has observed of requests and lost upstreams, for the current
// leader and its successors. It is safe for concurrent use.
type Evidence struct {
	mu           sync.Mutex
	observations []Observation
	lastNumber   Number
	recentRuns   [recentRunBuckets]recentRun
	recentParts  [recentRunBuckets]recentPart
	// suspects are the requests with which any entry has lost an upstream, suspectParts the parts of
	// their prompts, and quarantinedParts those that are quarantined together with others.
	suspects         map[units.Fingerprint]bool
	suspectParts     map[units.PromptPart]bool
	quarantinedParts map[units.PromptPart]bool
}

// recentRun is a request that has run.
type recentRun struct {
	request units.Fingerprint
	at      time.Time
}

// recentPart is a part of a prompt that has run.
type recentPart struct {
	part units.PromptPart
	at   time.Time
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
	loss.Parts = slices.DeleteFunc(slices.Clone(loss.Parts), func(part units.PromptPart) bool { return e.partRanRecently(now, part) })
	loss.Parts = loss.Parts[:min(len(loss.Parts), maxLossParts)]
	e.addSuspectParts(loss.Parts)
	e.record(Observation{
		Loss:       loss,
		ObservedAt: now,
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

// RecordPartsRun records that a request with these parts in its prompt has run, and returns those of them that
// were suspected.
func (e *Evidence) RecordPartsRun(now time.Time, parts []units.PromptPart) []units.PromptPart {
	e.mu.Lock()
	defer e.mu.Unlock()
	var cleared []units.PromptPart
	for _, part := range parts {
		e.recentParts[uint64(part)%recentRunBuckets] = recentPart{
			part: part,
			at:   now,
		}
		if e.suspectParts[part] || e.quarantinedParts[part] {
			cleared = append(cleared, part)
		}
	}
	e.clearParts(now, cleared)
	return cleared
}

// SetSuspectParts replaces the parts of prompts with which any entry has lost an upstream. Those that ran here are
// reported as run.
func (e *Evidence) SetSuspectParts(now time.Time, suspects []units.PromptPart) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspectParts = nil
	e.addSuspectParts(suspects)
	for _, o := range e.observations {
		if !o.Ran {
			e.addSuspectParts(o.Loss.Parts)
		}
	}
	e.clearRecentParts(now, suspects)
}

// SetQuarantinedParts replaces the parts that are quarantined. Those that ran here are reported as run.
func (e *Evidence) SetQuarantinedParts(now time.Time, parts []units.PromptPart) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quarantinedParts = make(map[units.PromptPart]bool, len(parts))
	for _, part := range parts {
		e.quarantinedParts[part] = true
	}
	e.clearRecentParts(now, parts)
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
	e.observations = slices.DeleteFunc(e.observations, func(o Observation) bool { return now.Sub(o.ObservedAt) >= suspectTTL })
	first := slices.IndexFunc(e.observations, func(o Observation) bool { return o.Number > number })
	if first < 0 {
		return nil
	}
	return slices.Clone(e.observations[first:min(len(e.observations), first+limit)])
}

func (e *Evidence) ranRecently(now time.Time, request units.Fingerprint) bool {
	run := e.recentRuns[uint64(request)%recentRunBuckets]
	return run.request == request && !run.at.IsZero() && now.Sub(run.at) < RanTTL
}

func (e *Evidence) partRanRecently(now time.Time, part units.PromptPart) bool {
	ranAt, ran := e.partRanAt(now, part)
	return ran && now.Sub(ranAt) < RanTTL
}

// partRanAt returns when a part ran here last, if that is remembered.
func (e *Evidence) partRanAt(now time.Time, part units.PromptPart) (at time.Time, ran bool) {
	run := e.recentParts[uint64(part)%recentRunBuckets]
	return run.at, run.part == part && !run.at.IsZero() && now.Sub(run.at) < suspectTTL
}

func (e *Evidence) addSuspectParts(parts []units.PromptPart) {
	if e.suspectParts == nil {
		e.suspectParts = make(map[units.PromptPart]bool)
	}
	for _, part := range parts {
		e.suspectParts[part] = true
	}
}

// clearRecentParts records those of the parts that ran here as run, each at the time when it ran.
func (e *Evidence) clearRecentParts(now time.Time, parts []units.PromptPart) {
	for _, part := range parts {
		if at, ran := e.partRanAt(now, part); ran {
			e.clearParts(at, []units.PromptPart{part})
		}
	}
}

// clearParts records that parts ran at the given time, and removes them from the losses before it, or within RanTTL
// after.
func (e *Evidence) clearParts(at time.Time, parts []units.PromptPart) {
	if len(parts) == 0 {
		return
	}
	for _, part := range parts {
		delete(e.suspectParts, part)
		delete(e.quarantinedParts, part)
	}
	for i, o := range e.observations {
		if !o.Ran && o.ObservedAt.Sub(at) < RanTTL {
			e.observations[i].Loss.Parts = slices.DeleteFunc(slices.Clone(o.Loss.Parts), func(part units.PromptPart) bool { return slices.Contains(parts, part) })
		}
	}
	e.record(Observation{
		Loss:       Loss{Parts: parts},
		Ran:        true,
		ObservedAt: at,
	})
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
		ObservedAt: now,
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
