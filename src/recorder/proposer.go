package recorder

import (
	"math/rand/v2"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// resendInterval is how long a request to an owner waits for its response before it is
	// sent again.
	resendInterval = 100 * time.Millisecond
	// pollInterval is how often a call that waits for an earlier call with its key checks
	// whether that call has ended.
	pollInterval = 25 * time.Millisecond
	// majorityTimeout is how long a proposer tries to reach a majority of the owners.
	majorityTimeout = 2 * time.Second
	// backoffMin and backoffSpread desynchronize proposers that compete for a key.
	backoffMin    = 5 * time.Millisecond
	backoffSpread = 40 * time.Millisecond
	// leaseMargin is how long before the end of its lease an entry no longer dispatches.
	leaseMargin = 50 * time.Millisecond
	// leaseGrace is how much longer the lease lasts for the owners than for the runner. It
	// exceeds clock drift and message delay.
	leaseGrace = time.Second
)

// phase is what a proposer is waiting for.
type phase int

const (
	idle phase = iota
	// lookingUp reads the key's record without claiming the key.
	lookingUp
	// claiming stores the admission in round 0.
	claiming
	// waiting waits for the entry that runs the key's call.
	waiting
	// preparing asks for promises in a new round.
	preparing
	// backingOff waits a random time before the next round.
	backingOff
	// admitting stores the admission after the promises of a round.
	admitting
	// storingUnknown stores that the outcome of an earlier call is unknown.
	storingUnknown
	// storingIntent stores the intent to dispatch the call.
	storingIntent
	// storingEnd stores how the call ended.
	storingEnd
)

// Proposer decides for one call at one entry; its fields must be set before use.
type Proposer struct {
	Self        Identity
	Key         []byte
	ContentHash []byte
	Call        units.CallID
	// Fresh is set where the key was generated for this call, so that no other call has it.
	Fresh bool
	// GeneratedKey is set where the caller sent a key that was generated for an earlier
	// call, so that a record exists or has existed.
	GeneratedKey bool
	View         *View
	Random       *rand.Rand

	phase phase
	// lookOnly is set for a lookup, which must not claim the key.
	lookOnly  bool
	sequence  uint64
	owners    []Member
	responses map[Identity]*messages.RecordResponse
	// proposed is what the owners are asked to store, with this call's ballot.
	proposed  *messages.CallRecord
	operation messages.RecordOperation
	// maxRound is the highest round in any response.
	maxRound uint64
	// deadline is when the proposer stops trying to reach a majority.
	deadline time.Time
	resendAt time.Time
	// resumeAt is when waiting or backing off ends.
	resumeAt     time.Time
	leaseEnd     time.Time
	intentStored bool
}

// Step takes one event and returns the actions to carry out.
func (p *Proposer) Step(now time.Time, event ProposerEvent) []ProposerAction {
	switch e := event.(type) {
	case ClaimRequested:
		p.deadline = now.Add(majorityTimeout)
		p.proposed = p.newRecord(messages.CallState_CALL_STATE_ADMITTED, e.Lease+leaseGrace)
		return p.claim(now)
	case LookupRequested:
		p.deadline = now.Add(majorityTimeout)
		p.lookOnly = true
		p.proposed = p.newRecord(messages.CallState_CALL_STATE_UNSPECIFIED, 0)
		return p.claim(now)
	case DispatchRequested:
		return p.dispatch(now, e)
	case CallEnded:
		return p.end(now, e)
	case OwnerResponded:
		return p.handleResponse(now, e)
	case ViewChanged:
		p.View = e.View
		return p.restart(now)
	case ProposerTicked:
		return p.tick(now)
	}
	return nil
}

func (p *Proposer) newRecord(state messages.CallState, lease time.Duration) *messages.CallRecord {
	return &messages.CallRecord{
		Key:               p.Key,
		ContentHash:       p.ContentHash,
		Accepted:          &messages.Ballot{Call: string(p.Call)},
		State:             state,
		Call:              string(p.Call),
		Runner:            string(p.Self.Name),
		RunnerIncarnation: uint64(p.Self.Incarnation),
		LeaseMs:           lease.Milliseconds(),
	}
}

// claim claims the key, or only reads its record for a lookup and for a generated key: a
// missing record does not mean that a call with a generated key may run.
func (p *Proposer) claim(now time.Time) []ProposerAction {
	if p.lookOnly || p.GeneratedKey {
		return p.askOwners(now, lookingUp, messages.RecordOperation_RECORD_OPERATION_READ)
	}
	p.proposed = p.withState(p.proposed.GetState(), 0)
	return p.askOwners(now, claiming, messages.RecordOperation_RECORD_OPERATION_STORE)
}

// withState returns the proposed record with another state and round.
func (p *Proposer) withState(state messages.CallState, round uint64) *messages.CallRecord {
	next := copyRecord(p.proposed)
	next.State = state
	next.Accepted = &messages.Ballot{
		Round: round,
		Call:  string(p.Call),
	}
	return next
}

func (p *Proposer) dispatch(now time.Time, e DispatchRequested) []ProposerAction {
	if p.intentStored {
		return p.permitDispatch(now)
	}
	p.leaseEnd = now.Add(e.Lease)
	p.deadline = now.Add(majorityTimeout)
	if p.proposed == nil {
		p.proposed = p.newRecord(messages.CallState_CALL_STATE_UNSPECIFIED, 0)
	}
	p.proposed = p.withState(messages.CallState_CALL_STATE_DISPATCHING, p.proposed.GetAccepted().GetRound())
	p.proposed.Attempt = uint32(e.Attempt)
	p.proposed.Upstream = string(e.Upstream)
	p.proposed.LeaseMs = (e.Lease + leaseGrace).Milliseconds()
	return p.askOwners(now, storingIntent, messages.RecordOperation_RECORD_OPERATION_STORE)
}

// permitDispatch allows the call to be sent unless the lease is about to end. Otherwise an
// entry that was suspended after its intent was stored could run the call long after its
// caller was told that the outcome is unknown.
func (p *Proposer) permitDispatch(now time.Time) []ProposerAction {
	if now.Add(leaseMargin).After(p.leaseEnd) {
		return p.conclude(LeaseExpired, nil)
	}
	p.intentStored = true
	return p.conclude(Granted, nil)
}

func (p *Proposer) end(now time.Time, e CallEnded) []ProposerAction {
	p.deadline = now.Add(majorityTimeout)
	if p.proposed == nil {
		p.proposed = p.newRecord(messages.CallState_CALL_STATE_UNSPECIFIED, 0)
	}
	p.proposed = p.withState(e.State, p.proposed.GetAccepted().GetRound())
	p.proposed.Answer = e.Answer
	p.proposed.LeaseMs = 0
	if e.State == messages.CallState_CALL_STATE_NOT_RUN {
		return p.askOwners(now, storingEnd, messages.RecordOperation_RECORD_OPERATION_STORE)
	}
	return p.askOwners(now, storingEnd, messages.RecordOperation_RECORD_OPERATION_FINISH)
}

// askOwners starts a new request to all owners.
func (p *Proposer) askOwners(now time.Time, next phase, operation messages.RecordOperation) []ProposerAction {
	p.phase = next
	p.operation = operation
	p.sequence++
	p.responses = make(map[Identity]*messages.RecordResponse, ownerCount)
	p.owners = nil
	if p.View != nil {
		p.owners = p.View.Owners(slotOf(p.Key, len(p.View.owners)))
	}
	return p.sendPending(now)
}

// sendPending sends the request to the owners that have not given a usable response.
func (p *Proposer) sendPending(now time.Time) []ProposerAction {
	p.resendAt = now.Add(resendInterval)
	var actions []ProposerAction
	for _, owner := range p.owners {
		if isUsable(p.responses[owner.Identity]) {
			continue
		}
		actions = append(actions, AskOwner{
			Sequence: p.sequence,
			To:       owner,
			Request: &messages.RecordRequest{
				ViewNumber: p.View.Number,
				Operation:  p.operation,
				Record:     p.proposed,
				Fresh:      p.Fresh,
			},
		})
	}
	return actions
}

// isUsable reports whether an owner has decided on the request.
func isUsable(response *messages.RecordResponse) bool {
	status := response.GetStatus()
	return status == messages.RecordStatus_RECORD_STATUS_DONE || status == messages.RecordStatus_RECORD_STATUS_HELD
}

// restart repeats the request in a new view; responses from two views are never counted
// together.
func (p *Proposer) restart(now time.Time) []ProposerAction {
	switch p.phase {
	case idle, waiting, backingOff:
		return nil
	case preparing:
		return p.prepare(now)
	default:
		return p.askOwners(now, p.phase, p.operation)
	}
}

func (p *Proposer) tick(now time.Time) []ProposerAction {
	switch {
	case p.phase == idle:
		return nil
	case p.phase == waiting:
		if now.Before(p.resumeAt) {
			return nil
		}
		p.deadline = now.Add(majorityTimeout)
		return p.claim(now)
	case p.phase == backingOff:
		if now.Before(p.resumeAt) {
			return nil
		}
		return p.prepare(now)
	case now.After(p.deadline):
		return p.giveUp()
	case now.Before(p.resendAt):
		return nil
	default:
		return p.sendPending(now)
	}
}

func (p *Proposer) giveUp() []ProposerAction {
	if p.phase == storingUnknown {
		return p.conclude(RunUnknown, nil)
	}
	return p.conclude(Unavailable, nil)
}

func (p *Proposer) conclude(outcome Outcome, record *messages.CallRecord) []ProposerAction {
	p.phase = idle
	return []ProposerAction{Concluded{
		Outcome: outcome,
		Record:  record,
	}}
}

// prepare asks for promises in a round above all rounds seen.
func (p *Proposer) prepare(now time.Time) []ProposerAction {
	p.maxRound++
	p.proposed = p.withState(messages.CallState_CALL_STATE_ADMITTED, p.maxRound)
	return p.askOwners(now, preparing, messages.RecordOperation_RECORD_OPERATION_PREPARE)
}

// backOff waits a random time, so that competing proposers do not keep superseding each
// other.
func (p *Proposer) backOff(now time.Time) []ProposerAction {
	p.phase = backingOff
	p.resumeAt = now.Add(backoffMin + time.Duration(p.Random.Int64N(int64(backoffSpread))))
	return nil
}

// waitForRunner claims the key again after pollInterval, when the other entry's call may
// have ended.
func (p *Proposer) waitForRunner(now time.Time) []ProposerAction {
	p.phase = waiting
	p.resumeAt = now.Add(pollInterval)
	return nil
}
