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
	// quarantineInterval is how often what speaks against requests is judged.
	quarantineInterval = 50 * time.Millisecond
	// quarantineTime is how long the first quarantine of a request lasts; each further one
	// lasts twice as long, up to the last.
	quarantineTime     = 10 * time.Minute
	lastQuarantineTime = 24 * time.Hour
	// quarantinePause is how long a verdict may take to be committed before it is proposed
	// again.
	quarantinePause = time.Second
	// mostQuarantines bounds the requests that are remembered.
	mostQuarantines = 256
	// mostTold bounds the suspects that entries are told.
	mostTold = 256
)

// quarantines decides which requests may reach no upstream; the coordinator alone uses it.
type quarantines struct {
	coordinator *coordinator
	// leadership is random, since a later one must not pass for this one.
	leadership uint64
	weigher    *quarantiner.Quarantiner
	workedAt   time.Time
	// proposed holds when verdicts were proposed that are not known to be committed, released
	// when the end of a quarantine was.
	proposed map[units.Fingerprint]time.Time
	released map[units.Fingerprint]time.Time
}

// begin starts a leadership that knows nothing of what entries have seen.
func (q *quarantines) begin() {
	q.leadership = rand.Uint64() | 1
	q.proposed = make(map[units.Fingerprint]time.Time)
	q.released = make(map[units.Fingerprint]time.Time)
	q.weigher = &quarantiner.Quarantiner{
		Enough:   quarantiner.FleetPoints,
		Settle:   quarantiner.Settle,
		Repeated: func(request units.Fingerprint) bool { return q.coordinator.state.quarantines[request] != nil },
	}
}

// hear takes an entry's news.
func (q *quarantines) hear(now time.Time, poll *messages.EntryPoll) error {
	if q.weigher == nil || poll.GetLeadership() != q.leadership {
		return nil
	}
	for _, m := range poll.GetLosses() {
		request := units.Fingerprint(m.GetRequest())
		if !m.GetRan() {
			q.weigher.Lose(now, quarantiner.Loss{
				Request:   request,
				Life:      units.Life(m.GetLife()),
				Answering: m.GetAnswering(),
			})
			continue
		}
		q.weigher.Ran(now, request)
		if err := q.release(now, poll.GetEntry(), request); err != nil {
			return err
		}
	}
	return nil
}

// release ends the quarantine of a request that has run, also one that is being committed: the
// news comes once, and a request that is quarantined runs nowhere to tell it again.
func (q *quarantines) release(now time.Time, entry string, request units.Fingerprint) error {
	c := q.coordinator
	_, pending := q.proposed[request]
	if c.state.quarantines[request] == nil && !pending || now.Sub(q.released[request]) < quarantinePause {
		return nil
	}
	delete(q.proposed, request)
	q.released[request] = now
	c.log.Info().
		Stringer("fingerprint", request).
		Str("entry", entry).
		Msg("request-released")
	return q.propose(&messages.Quarantine{
		Request:  uint64(request),
		Released: true,
	})
}

// work judges what speaks against requests.
func (q *quarantines) work(now time.Time) error {
	if now.Sub(q.workedAt) < quarantineInterval {
		return nil
	}
	q.workedAt = now
	c := q.coordinator
	trueNow := c.trueTime(now)
	maps.DeleteFunc(q.released, func(_ units.Fingerprint, at time.Time) bool { return now.Sub(at) >= quarantinePause })
	for _, verdict := range q.weigher.Due(now) {
		known := c.state.quarantines[verdict.Request]
		pending, found := q.proposed[verdict.Request]
		if found && known.GetUntilNs() > trueNow.UnixNano() {
			delete(q.proposed, verdict.Request)
			q.weigher.Drop(verdict.Request)
			continue
		}
		if found && now.Sub(pending) < quarantinePause {
			continue
		}
		q.proposed[verdict.Request] = now
		strikes := known.GetStrikes() + 1
		lasts := quarantineFor(strikes)
		c.log.Warn().
			Stringer("fingerprint", verdict.Request).
			Int("upstreams", verdict.Upstreams).
			Int("points", int(verdict.Points)).
			Uint32("strikes", strikes).
			Dur("lasts-ms", lasts).
			Msg("request-quarantined")
		err := q.propose(&messages.Quarantine{
			Request:   uint64(verdict.Request),
			Strikes:   strikes,
			UntilNs:   trueNow.Add(lasts).UnixNano(),
			Upstreams: uint32(verdict.Upstreams),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// quarantineFor returns how long a quarantine lasts.
func quarantineFor(strikes uint32) time.Duration {
	lasts := quarantineTime
	for ; strikes > 1 && lasts < lastQuarantineTime; strikes-- {
		lasts *= 2
	}
	return min(lasts, lastQuarantineTime)
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

// tell adds what an entry does not know to an answer.
func (q *quarantines) tell(leads bool, poll *messages.EntryPoll, response *messages.EntryPollResponse) {
	s := q.coordinator.state
	if poll.GetQuarantineNumber() < s.quarantineNumber {
		response.Quarantines = s.quarantined()
	}
	if !leads {
		return
	}
	response.Leadership = q.leadership
	if poll.GetLeadership() == q.leadership && poll.GetSuspectsVersion() == q.weigher.Version() {
		return
	}
	suspects, version := q.weigher.Suspects()
	m := &messages.Suspects{Version: version}
	for _, request := range suspects[:min(len(suspects), mostTold)] {
		m.Requests = append(m.Requests, uint64(request))
	}
	response.Suspects = m
}
