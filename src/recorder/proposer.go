package recorder

import (
	"math/rand/v2"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// resendAfter is how long an owner may be silent before it is asked again.
	resendAfter = 100 * time.Millisecond
	// pollInterval is how often a call that waits for another asks after it.
	pollInterval = 25 * time.Millisecond
	// patience is how long a proposer tries to reach a majority.
	patience = 2 * time.Second
	// backoffMin and backoffSpread part proposers that compete for a key.
	backoffMin    = 5 * time.Millisecond
	backoffSpread = 40 * time.Millisecond
	// leaseMargin is how long before the end of its lease an entry stops dispatching.
	leaseMargin = 50 * time.Millisecond
	// leaseGrace is how much longer than the runner the owners count the lease,
	// more than clocks drift and messages take.
	leaseGrace = time.Second
)

type phase int

const (
	idle phase = iota
	looking
	claiming
	waiting
	preparing
	backingOff
	admitting
	settling
	intending
	ending
)

// Proposer decides for one call at one entry; its fields are set before use.
type Proposer struct {
	Self        Identity
	Key         []byte
	ContentHash []byte
	Call        units.CallID
	// Fresh says that the key was made for this call, so that no other bears it.
	Fresh bool
	// Made says that the caller sends a key that the system made earlier, so
	// that a record must exist or have existed.
	Made   bool
	View   *View
	Random *rand.Rand

	phase     phase
	lookOnly  bool
	sequence  uint64
	owners    []Member
	responses map[Identity]*messages.RecordResponse
	// proposed is what the owners are asked to store, with this call's ballot.
	proposed  *messages.CallRecord
	operation messages.RecordOperation
	// highest is the highest round seen.
	highest  uint64
	giveUpAt time.Time
	resendAt time.Time
	resumeAt time.Time
	leaseEnd time.Time
	intended bool
}

// Step takes one event and returns the actions to carry out.
func (p *Proposer) Step(now time.Time, event ProposerEvent) []ProposerAction {
	switch e := event.(type) {
	case Begun:
		p.giveUpAt = now.Add(patience)
		p.proposed = p.newRecord(messages.CallState_CALL_STATE_ADMITTED, e.Lease+leaseGrace)
		return p.claim(now)
	case Looked:
		p.giveUpAt = now.Add(patience)
		p.lookOnly = true
		p.proposed = p.newRecord(messages.CallState_CALL_STATE_UNSPECIFIED, 0)
		return p.claim(now)
	case Dispatched:
		return p.dispatch(now, e)
	case Ended:
		return p.end(now, e)
	case OwnerAnswered:
		return p.take(now, e)
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

// claim asks for the key, or only reads where the call must not run for want of a record.
func (p *Proposer) claim(now time.Time) []ProposerAction {
	if p.lookOnly || p.Made {
		return p.ask(now, looking, messages.RecordOperation_RECORD_OPERATION_READ)
	}
	p.proposed = p.with(p.proposed.GetState(), 0)
	return p.ask(now, claiming, messages.RecordOperation_RECORD_OPERATION_STORE)
}

// with returns the proposed record with another state and round.
func (p *Proposer) with(state messages.CallState, round uint64) *messages.CallRecord {
	next := copyRecord(p.proposed)
	next.State = state
	next.Accepted = &messages.Ballot{
		Round: round,
		Call:  string(p.Call),
	}
	return next
}

func (p *Proposer) dispatch(now time.Time, e Dispatched) []ProposerAction {
	if p.intended {
		return p.permit(now)
	}
	p.leaseEnd = now.Add(e.Lease)
	p.giveUpAt = now.Add(patience)
	if p.proposed == nil {
		p.proposed = p.newRecord(messages.CallState_CALL_STATE_UNSPECIFIED, 0)
	}
	p.proposed = p.with(messages.CallState_CALL_STATE_DISPATCHING, p.proposed.GetAccepted().GetRound())
	p.proposed.Attempt = uint32(e.Attempt)
	p.proposed.Upstream = string(e.Upstream)
	p.proposed.LeaseMs = (e.Lease + leaseGrace).Milliseconds()
	return p.ask(now, intending, messages.RecordOperation_RECORD_OPERATION_STORE)
}

// permit allows the first byte unless the lease is about to end. An entry that
// was frozen after its intent was stored would else run a call long after its
// caller was told that nobody knows.
func (p *Proposer) permit(now time.Time) []ProposerAction {
	if now.Add(leaseMargin).After(p.leaseEnd) {
		return p.conclude(LeaseOver, nil)
	}
	p.intended = true
	return p.conclude(Granted, nil)
}

func (p *Proposer) end(now time.Time, e Ended) []ProposerAction {
	p.giveUpAt = now.Add(patience)
	if p.proposed == nil {
		p.proposed = p.newRecord(messages.CallState_CALL_STATE_UNSPECIFIED, 0)
	}
	p.proposed = p.with(e.State, p.proposed.GetAccepted().GetRound())
	p.proposed.Answer = e.Answer
	p.proposed.LeaseMs = 0
	if e.State == messages.CallState_CALL_STATE_NOT_RUN {
		return p.ask(now, ending, messages.RecordOperation_RECORD_OPERATION_STORE)
	}
	return p.ask(now, ending, messages.RecordOperation_RECORD_OPERATION_FINISH)
}

// ask begins a new question to all owners.
func (p *Proposer) ask(now time.Time, next phase, operation messages.RecordOperation) []ProposerAction {
	p.phase = next
	p.operation = operation
	p.sequence++
	p.responses = make(map[Identity]*messages.RecordResponse, ownerCount)
	p.owners = nil
	if p.View != nil {
		p.owners = p.View.Owners(slotOf(p.Key, len(p.View.owners)))
	}
	return p.send(now)
}

// send asks the owners that have not given a usable answer.
func (p *Proposer) send(now time.Time) []ProposerAction {
	p.resendAt = now.Add(resendAfter)
	var actions []ProposerAction
	for _, owner := range p.owners {
		if usable(p.responses[owner.Identity]) {
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

func usable(response *messages.RecordResponse) bool {
	status := response.GetStatus()
	return status == messages.RecordStatus_RECORD_STATUS_DONE || status == messages.RecordStatus_RECORD_STATUS_HELD
}

// restart asks again in a new view: answers of two views are never counted together.
func (p *Proposer) restart(now time.Time) []ProposerAction {
	switch p.phase {
	case idle, waiting, backingOff:
		return nil
	case preparing:
		return p.prepare(now)
	default:
		return p.ask(now, p.phase, p.operation)
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
		p.giveUpAt = now.Add(patience)
		return p.claim(now)
	case p.phase == backingOff:
		if now.Before(p.resumeAt) {
			return nil
		}
		return p.prepare(now)
	case now.After(p.giveUpAt):
		return p.giveUp()
	case now.Before(p.resendAt):
		return nil
	default:
		return p.send(now)
	}
}

func (p *Proposer) giveUp() []ProposerAction {
	if p.phase == settling {
		return p.conclude(Undecidable, nil)
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

// prepare asks for promises in a round above all seen.
func (p *Proposer) prepare(now time.Time) []ProposerAction {
	p.highest++
	p.proposed = p.with(messages.CallState_CALL_STATE_ADMITTED, p.highest)
	return p.ask(now, preparing, messages.RecordOperation_RECORD_OPERATION_PREPARE)
}

// backOff waits a random time, so that two competing proposers do not go on
// overtaking each other.
func (p *Proposer) backOff(now time.Time) []ProposerAction {
	p.phase = backingOff
	p.resumeAt = now.Add(backoffMin + time.Duration(p.Random.Int64N(int64(backoffSpread))))
	return nil
}

func (p *Proposer) wait(now time.Time) []ProposerAction {
	p.phase = waiting
	p.resumeAt = now.Add(pollInterval)
	return nil
}
