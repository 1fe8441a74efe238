package governor

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/quarantiner"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// quarantineInterval is how often the evidence against requests is evaluated.
	quarantineInterval = 50 * time.Millisecond
	// minQuarantineTime is the duration of a request's first quarantine; each further one
	// lasts twice as long, up to maxQuarantineTime.
	minQuarantineTime = 10 * time.Minute
	maxQuarantineTime = 24 * time.Hour
	// quarantineRetryDelay is how long a verdict may take to be committed before it is
	// proposed again.
	quarantineRetryDelay = time.Second
	// maxQuarantines bounds the number of requests in the replicated state.
	maxQuarantines = 256
	// maxSuspects bounds the number of suspect requests that are sent to entries.
	maxSuspects = 256
)

// quarantines decides which requests no upstream may receive. Only the coordinator's
// goroutine uses it.
type quarantines struct {
	coordinator *coordinator
	// leadership identifies this leadership. It is random, so that a later leadership is
	// never mistaken for it.
	leadership  uint64
	detector    *quarantiner.Quarantiner
	evaluatedAt time.Time
	// proposed holds when verdicts that are not known to be committed were proposed, and
	// releaseProposed when the end of a quarantine was proposed.
	proposed        map[units.Fingerprint]time.Time
	releaseProposed map[units.Fingerprint]time.Time
}

// startLeadership starts with no losses reported by entries.
func (q *quarantines) startLeadership() {
	q.leadership = rand.Uint64() | 1
	q.proposed = make(map[units.Fingerprint]time.Time)
	q.releaseProposed = make(map[units.Fingerprint]time.Time)
	q.detector = &quarantiner.Quarantiner{
		Threshold:      quarantiner.FleetThreshold,
		SettleDelay:    quarantiner.SettleDelay,
		WasQuarantined: func(request units.Fingerprint) bool { return q.coordinator.state.quarantines[request] != nil },
	}
}

// record processes the losses and runs that an entry reports.
func (q *quarantines) record(now time.Time, poll *messages.EntryPoll) error {
	if q.detector == nil || poll.GetLeadership() != q.leadership {
		return nil
	}
	for _, m := range poll.GetLosses() {
		request := units.Fingerprint(m.GetRequest())
		if !m.GetRan() {
			q.detector.RecordLoss(now, quarantiner.Loss{
				Request:       request,
				IncarnationID: units.IncarnationID(m.GetLife()),
				Answering:     m.GetAnswering(),
			})
			continue
		}
		q.detector.RecordRun(now, request)
		if err := q.release(now, poll.GetEntry(), request); err != nil {
			return err
		}
	}
	return nil
}

// release ends the quarantine of a request that has run, even while the quarantine is still
// being committed: the run is reported only once, and a quarantined request runs nowhere, so
// that no further report would come.
func (q *quarantines) release(now time.Time, entry string, request units.Fingerprint) error {
	c := q.coordinator
	_, pending := q.proposed[request]
	if c.state.quarantines[request] == nil && !pending || now.Sub(q.releaseProposed[request]) < quarantineRetryDelay {
		return nil
	}
	delete(q.proposed, request)
	q.releaseProposed[request] = now
	c.log.Info().
		Stringer("fingerprint", request).
		Str("entry", entry).
		Msg("request-released")
	return q.propose(&messages.Quarantine{
		Request:  uint64(request),
		Released: true,
	})
}

// tick evaluates the evidence against requests and proposes the quarantines that are due.
func (q *quarantines) tick(now time.Time) error {
	if now.Sub(q.evaluatedAt) < quarantineInterval {
		return nil
	}
	q.evaluatedAt = now
	c := q.coordinator
	trueNow := c.trueTime(now)
	maps.DeleteFunc(q.releaseProposed, func(_ units.Fingerprint, at time.Time) bool { return now.Sub(at) >= quarantineRetryDelay })
	for _, verdict := range q.detector.Due(now) {
		known := c.state.quarantines[verdict.Request]
		proposedAt, found := q.proposed[verdict.Request]
		if found && known.GetUntilNs() > trueNow.UnixNano() {
			delete(q.proposed, verdict.Request)
			q.detector.Drop(verdict.Request)
			continue
		}
		if found && now.Sub(proposedAt) < quarantineRetryDelay {
			continue
		}
		q.proposed[verdict.Request] = now
		strikes := known.GetStrikes() + 1
		duration := quarantineDuration(strikes)
		c.log.Warn().
			Stringer("fingerprint", verdict.Request).
			Int("upstreams", verdict.Upstreams).
			Int("points", int(verdict.Points)).
			Uint32("strikes", strikes).
			Dur("lasts-ms", duration).
			Msg("request-quarantined")
		err := q.propose(&messages.Quarantine{
			Request:   uint64(verdict.Request),
			Strikes:   strikes,
			UntilNs:   trueNow.Add(duration).UnixNano(),
			Upstreams: uint32(verdict.Upstreams),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// quarantineDuration returns the duration of a request's quarantine by the number of its
// strikes.
func quarantineDuration(strikes uint32) time.Duration {
	duration := minQuarantineTime
	for ; strikes > 1 && duration < maxQuarantineTime; strikes-- {
		duration *= 2
	}
	return min(duration, maxQuarantineTime)
}

func (q *quarantines) propose(m *messages.Quarantine) error {
	return q.coordinator.step(replicator.Proposed{
		Command: &messages.Command{
			Change: &messages.Command_Quarantine{
				Quarantine: m,
			},
		},
	})
}

// report adds the quarantines and suspects that an entry does not have yet to a response.
func (q *quarantines) report(isLeader bool, poll *messages.EntryPoll, response *messages.EntryPollResponse) {
	s := q.coordinator.state
	if poll.GetQuarantineNumber() < s.quarantineNumber {
		response.Quarantines = s.quarantineList()
	}
	if !isLeader {
		return
	}
	response.Leadership = q.leadership
	if poll.GetLeadership() == q.leadership && poll.GetSuspectsVersion() == q.detector.Version() {
		return
	}
	suspects, version := q.detector.Suspects()
	m := &messages.Suspects{Version: version}
	for _, request := range suspects[:min(len(suspects), maxSuspects)] {
		m.Requests = append(m.Requests, uint64(request))
	}
	response.Suspects = m
}
