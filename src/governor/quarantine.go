package governor

import (
	"maps"
	"math/rand/v2"
	"slices"
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
	// maxSuspects and maxSuspectParts bound the numbers of suspect requests and of suspect parts of prompts
	// that are sent to entries.
	maxSuspects     = 256
	maxSuspectParts = 256
)

// quarantines decides which requests no upstream may receive. Only the coordinator's
// goroutine uses it.
type quarantines struct {
	coordinator *coordinator
	// leadership identifies this leadership. It is random, so that a later leadership is
	// never mistaken for it.
	leadership   uint64
	detector     *quarantiner.Quarantiner
	partDetector *quarantiner.PartDetector
	evidence     storedEvidence
	evaluatedAt  time.Time
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
	q.partDetector = &quarantiner.PartDetector{
		Threshold:   quarantiner.FleetPartThreshold,
		SettleDelay: quarantiner.PartSettleDelay,
		Earlier:     q.earlierParts,
	}
	q.evidence.startLeadership(q.coordinator.now(), q.detector, q.partDetector)
}

// earlierParts returns the parts of a quarantine that all are among the given ones, nil for none, and whether it
// is in force.
func (q *quarantines) earlierParts(parts []units.PromptPart) (earlier []units.PromptPart, inForce bool) {
	trueNow := q.coordinator.trueTime(q.coordinator.now())
	for _, m := range q.coordinator.state.quarantines {
		if len(m.GetParts()) == 0 || slices.ContainsFunc(m.GetParts(), func(part uint64) bool { return !slices.Contains(parts, units.PromptPart(part)) }) {
			continue
		}
		earlier = decodeParts(m.GetParts())
		if m.GetUntilNs() > trueNow.UnixNano() {
			return earlier, true
		}
	}
	return earlier, false
}

func decodeParts(encoded []uint64) []units.PromptPart {
	parts := make([]units.PromptPart, 0, len(encoded))
	for _, part := range encoded {
		parts = append(parts, units.PromptPart(part))
	}
	return parts
}

func encodeParts(parts []units.PromptPart) []uint64 {
	encoded := make([]uint64, 0, len(parts))
	for _, part := range parts {
		encoded = append(encoded, uint64(part))
	}
	return encoded
}

// record processes the losses and runs that an entry reports.
func (q *quarantines) record(now time.Time, poll *messages.EntryPoll) error {
	if q.detector == nil || poll.GetLeadership() != q.leadership {
		return nil
	}
	for _, m := range poll.GetLosses() {
		request := units.Fingerprint(m.GetRequest())
		parts := decodeParts(m.GetParts())
		var err error
		switch {
		case !m.GetRan():
			loss := quarantiner.Loss{
				Request:       request,
				IncarnationID: units.IncarnationID(m.GetLife()),
				Answering:     m.GetAnswering(),
				Parts:         parts,
			}
			q.detector.RecordLoss(now, loss)
			q.partDetector.RecordLoss(now, now.Add(-time.Duration(m.GetAgeNs())), loss)
		case request != 0:
			q.detector.RecordRun(now, request)
			err = q.release(now, poll.GetEntry(), request)
		default:
			age := time.Duration(m.GetAgeNs())
			q.partDetector.RecordRun(now, now.Add(-age), parts)
			if age < quarantiner.RanTTL {
				err = q.releaseParts(now, poll.GetEntry(), parts)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// releaseParts ends the quarantines of combinations of which a part has run. What is left of a combination stays
// quarantined.
func (q *quarantines) releaseParts(now time.Time, entry string, ran []units.PromptPart) error {
	hasRun := func(part units.PromptPart) bool { return slices.Contains(ran, part) }
	for _, combination := range q.combinations() {
		if !slices.ContainsFunc(combination.parts, hasRun) {
			continue
		}
		if err := q.release(now, entry, combination.key); err != nil {
			return err
		}
		left := slices.DeleteFunc(combination.parts, hasRun)
		if len(left) == 0 {
			continue
		}
		key := quarantiner.KeyOfParts(left)
		if q.coordinator.state.quarantines[key] != nil || !q.proposed[key].IsZero() {
			continue
		}
		q.proposed[key] = now
		if err := q.propose(&messages.Quarantine{
			Request:   uint64(key),
			Parts:     encodeParts(left),
			Strikes:   combination.quarantine.GetStrikes(),
			UntilNs:   combination.quarantine.GetUntilNs(),
			Upstreams: combination.quarantine.GetUpstreams(),
		}); err != nil {
			return err
		}
	}
	return nil
}

// combination is a quarantined combination of parts.
type combination struct {
	key        units.Fingerprint
	parts      []units.PromptPart
	quarantine *messages.Quarantine
}

// combinations returns the quarantined combinations of parts.
func (q *quarantines) combinations() []combination {
	var all []combination
	for key, m := range q.coordinator.state.quarantines {
		if len(m.GetParts()) > 0 {
			all = append(all, combination{
				key:        key,
				parts:      decodeParts(m.GetParts()),
				quarantine: m,
			})
		}
	}
	return all
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
		committed, err := q.enforce(now, trueNow, &messages.Quarantine{
			Request:   uint64(verdict.Request),
			Upstreams: uint32(verdict.Upstreams),
		}, int(verdict.Points))
		if err != nil {
			return err
		}
		if committed {
			q.detector.Drop(verdict.Request)
		}
	}
	for _, verdict := range q.partDetector.Due(now) {
		committed, err := q.enforce(now, trueNow, &messages.Quarantine{
			Request:   uint64(quarantiner.KeyOfParts(verdict.Parts)),
			Parts:     encodeParts(verdict.Parts),
			Upstreams: uint32(verdict.Upstreams),
		}, 0)
		if err != nil {
			return err
		}
		if committed {
			q.partDetector.Drop(verdict)
		}
	}
	return q.evidence.tick(now, q.detector, q.partDetector)
}

// enforce proposes a quarantine without its strikes and end, and reports whether it has been committed.
func (q *quarantines) enforce(now, trueNow time.Time, m *messages.Quarantine, points int) (committed bool, err error) {
	key := units.Fingerprint(m.GetRequest())
	known := q.coordinator.state.quarantines[key]
	proposedAt, found := q.proposed[key]
	if found && known.GetUntilNs() > trueNow.UnixNano() {
		delete(q.proposed, key)
		return true, nil
	}
	if found && now.Sub(proposedAt) < quarantineRetryDelay {
		return false, nil
	}
	q.proposed[key] = now
	m.Strikes = known.GetStrikes() + 1
	duration := quarantineDuration(m.GetStrikes())
	m.UntilNs = trueNow.Add(duration).UnixNano()
	q.coordinator.log.Warn().
		Stringer("fingerprint", key).
		Strs("parts", textsOf(decodeParts(m.GetParts()))).
		Uint32("upstreams", m.GetUpstreams()).
		Int("points", points).
		Uint32("strikes", m.GetStrikes()).
		Dur("lasts-ms", duration).
		Msg("request-quarantined")
	return false, q.propose(m)
}

func textsOf(parts []units.PromptPart) []string {
	texts := make([]string, 0, len(parts))
	for _, part := range parts {
		texts = append(texts, part.String())
	}
	return texts
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
	if poll.GetLeadership() == q.leadership && poll.GetSuspectsVersion() == q.detector.Version()+q.partDetector.Version() {
		return
	}
	suspects, version := q.detector.Suspects()
	parts, partsVersion := q.partDetector.Suspects(maxSuspectParts)
	m := &messages.Suspects{
		Version: version + partsVersion,
		Parts:   encodeParts(parts),
	}
	for _, request := range suspects[:min(len(suspects), maxSuspects)] {
		m.Requests = append(m.Requests, uint64(request))
	}
	response.Suspects = m
}
