package recorder

import (
	"bytes"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// take counts one owner's response and goes on where the responses decide.
func (p *Proposer) take(now time.Time, e OwnerAnswered) []ProposerAction {
	if e.Asked.Sequence != p.sequence || p.phase == idle || p.phase == waiting || p.phase == backingOff || e.Response == nil {
		return nil
	}
	if usable(p.responses[e.Asked.To.Identity]) {
		return nil
	}
	p.responses[e.Asked.To.Identity] = e.Response
	for _, ballot := range []*messages.Ballot{e.Response.GetRecord().GetPromised(), e.Response.GetRecord().GetAccepted()} {
		p.highest = max(p.highest, ballot.GetRound())
	}
	if p.count(messages.RecordStatus_RECORD_STATUS_FULL) > len(p.owners)-p.needed() {
		return p.giveUp()
	}
	return p.judge(now)
}

func (p *Proposer) judge(now time.Time) []ProposerAction {
	switch p.phase {
	case looking:
		return p.judgeLook(now)
	case claiming:
		return p.judgeClaim(now)
	case preparing:
		return p.judgePromises(now)
	case admitting:
		return p.judgeAdmission(now)
	case settling:
		return p.judgeSettlement()
	case intending:
		return p.judgeIntent(now)
	case ending:
		return p.judgeEnd()
	}
	return nil
}

func (p *Proposer) needed() int { return majority(len(p.owners)) }

func (p *Proposer) done() int { return p.count(messages.RecordStatus_RECORD_STATUS_DONE) }

func (p *Proposer) held() int { return p.count(messages.RecordStatus_RECORD_STATUS_HELD) }

func (p *Proposer) count(status messages.RecordStatus) int {
	count := 0
	for _, response := range p.responses {
		if response.GetStatus() == status {
			count++
		}
	}
	return count
}

// records returns the records of other calls that the owners showed. What an
// unfilled owner shows is true; only its silence says nothing.
func (p *Proposer) records() []*messages.CallRecord {
	var records []*messages.CallRecord
	for _, owner := range p.owners {
		record := p.responses[owner.Identity].GetRecord()
		if rank(record.GetState()) > 0 && (record.GetCall() != string(p.Call) || p.lookOnly) {
			records = append(records, record)
		}
	}
	return records
}

func (p *Proposer) differs(record *messages.CallRecord) bool {
	return !p.lookOnly && !bytes.Equal(record.GetContentHash(), p.ContentHash)
}

// answered returns the record of an answered call among those shown.
func (p *Proposer) answered() *messages.CallRecord {
	for _, record := range p.records() {
		if record.GetState() == messages.CallState_CALL_STATE_ANSWERED {
			return record
		}
	}
	return nil
}

func (p *Proposer) found(record *messages.CallRecord) []ProposerAction {
	if p.differs(record) {
		return p.conclude(Conflicting, nil)
	}
	return p.conclude(Found, record)
}

func (p *Proposer) judgeLook(now time.Time) []ProposerAction {
	if record := p.answered(); record != nil {
		return p.found(record)
	}
	if p.done() < p.needed() {
		return nil
	}
	if len(p.records()) == 0 {
		if p.lookOnly {
			return p.conclude(Absent, nil)
		}
		// The system made this key with a record. That none is left means that
		// it was lost or its time is over, not that the call did not run.
		return p.conclude(Undecidable, nil)
	}
	return p.judgeOthers(now)
}

func (p *Proposer) judgeClaim(now time.Time) []ProposerAction {
	if record := p.answered(); record != nil {
		return p.found(record)
	}
	if p.done() >= p.needed() {
		return p.conclude(Granted, nil)
	}
	if p.done()+p.held() < p.needed() || p.held() == 0 {
		return nil
	}
	return p.judgeOthers(now)
}

// judgeOthers decides where other calls bear the key and none has an answer.
func (p *Proposer) judgeOthers(now time.Time) []ProposerAction {
	records := p.records()
	works := false
	for _, record := range records {
		notRun := record.GetState() == messages.CallState_CALL_STATE_NOT_RUN
		if !notRun && p.differs(record) {
			return p.conclude(Conflicting, nil)
		}
		if record.GetState() == messages.CallState_CALL_STATE_UNKNOWN {
			return p.conclude(Undecidable, nil)
		}
		works = works || p.works(record)
	}
	if works && p.lookOnly {
		return p.conclude(Running, nil)
	}
	if works && !p.breaksTie(records) {
		return p.wait(now)
	}
	return p.prepare(now)
}

// works reports whether the record's entry may still be at work: it is in the
// view and its lease runs.
func (p *Proposer) works(record *messages.CallRecord) bool {
	if isEnded(record.GetState()) {
		return false
	}
	runner := Identity{
		Name:        units.Instance(record.GetRunner()),
		Incarnation: units.Incarnation(record.GetRunnerIncarnation()),
	}
	return p.View.Has(runner) && record.GetLeaseMs() > 0
}

// breaksTie reports whether this call should go on although others hold the key
// too: none of them has a majority, and its id is the first. Without a tie-break
// each would wait for the others until a lease ends.
func (p *Proposer) breaksTie(records []*messages.CallRecord) bool {
	votes := make(map[string]int)
	for _, record := range records {
		if record.GetState() != messages.CallState_CALL_STATE_ADMITTED || record.GetCall() < string(p.Call) {
			return false
		}
		votes[record.GetCall()]++
	}
	for _, count := range votes {
		if count >= p.needed() {
			return false
		}
	}
	return p.phase == claiming && p.done() > 0
}

// judgePromises decides once a majority has promised to take no lower proposal:
// what a majority may have stored before, it then shows.
func (p *Proposer) judgePromises(now time.Time) []ProposerAction {
	if record := p.answered(); record != nil {
		return p.found(record)
	}
	if p.done() < p.needed() {
		if p.held() > len(p.owners)-p.needed() {
			return p.backOff(now)
		}
		return nil
	}
	standing := p.standing()
	if p.lookOnly {
		return p.judgeLookedPromises(now, standing)
	}
	if standing != nil && standing.GetState() != messages.CallState_CALL_STATE_NOT_RUN && p.differs(standing) {
		return p.conclude(Conflicting, nil)
	}
	if standing != nil && mayHaveRun(standing) {
		return p.settleUnlessWorks(now, standing)
	}
	if standing == nil && p.Made {
		return p.conclude(Undecidable, nil)
	}
	return p.ask(now, admitting, messages.RecordOperation_RECORD_OPERATION_STORE)
}

// judgeLookedPromises ends a look at a call whose entry is gone: it may have run,
// or it provably did not and may be sent again.
func (p *Proposer) judgeLookedPromises(now time.Time, standing *messages.CallRecord) []ProposerAction {
	if standing != nil && mayHaveRun(standing) {
		return p.settleUnlessWorks(now, standing)
	}
	return p.conclude(Absent, nil)
}

// settleUnlessWorks waits for an entry that got its intent stored before the
// promises were made and is still at work: its answer will come.
func (p *Proposer) settleUnlessWorks(now time.Time, standing *messages.CallRecord) []ProposerAction {
	if !p.works(standing) {
		return p.settle(now, standing)
	}
	if p.lookOnly {
		return p.conclude(Running, nil)
	}
	return p.wait(now)
}

// settle stores that nobody knows whether the call ran, so that every later
// resend learns the same.
func (p *Proposer) settle(now time.Time, standing *messages.CallRecord) []ProposerAction {
	round := p.proposed.GetAccepted().GetRound()
	p.proposed = copyRecord(standing)
	p.proposed.State = messages.CallState_CALL_STATE_UNKNOWN
	p.proposed.LeaseMs = 0
	p.proposed.AgeMs = 0
	p.proposed.Accepted = &messages.Ballot{
		Round: round,
		Call:  string(p.Call),
	}
	return p.ask(now, settling, messages.RecordOperation_RECORD_OPERATION_STORE)
}

func (p *Proposer) judgeSettlement() []ProposerAction {
	if record := p.answered(); record != nil {
		return p.found(record)
	}
	if p.done() >= p.needed() {
		return p.conclude(Undecidable, nil)
	}
	return nil
}

// standing returns the record that a majority may have stored last, nil for none.
func (p *Proposer) standing() *messages.CallRecord {
	var highest *messages.CallRecord
	for _, owner := range p.owners {
		response := p.responses[owner.Identity]
		record := response.GetRecord()
		if !usable(response) || rank(record.GetState()) == 0 {
			continue
		}
		if highest == nil {
			highest = record
			continue
		}
		highest = later(highest, record)
	}
	return highest
}

// later returns the record of the higher proposal, and of one proposal the state
// that was set last. In round 0 any of several proposals may stand at a majority,
// so the one that may have run counts.
func later(a, b *messages.CallRecord) *messages.CallRecord {
	if compareBallots(a.GetAccepted(), b.GetAccepted()) == 0 {
		if rank(b.GetState()) > rank(a.GetState()) {
			return b
		}
		return a
	}
	if a.GetAccepted().GetRound() == 0 && b.GetAccepted().GetRound() == 0 {
		if mayHaveRun(b) {
			return b
		}
		return a
	}
	if compareBallots(a.GetAccepted(), b.GetAccepted()) >= 0 {
		return a
	}
	return b
}

func (p *Proposer) judgeAdmission(now time.Time) []ProposerAction {
	if p.done() >= p.needed() {
		return p.conclude(Granted, nil)
	}
	if p.held() > len(p.owners)-p.needed() {
		return p.backOff(now)
	}
	return nil
}

func (p *Proposer) judgeIntent(now time.Time) []ProposerAction {
	if p.done() >= p.needed() {
		return p.permit(now)
	}
	if p.held() > len(p.owners)-p.needed() {
		return p.conclude(Overtaken, nil)
	}
	return nil
}

func (p *Proposer) judgeEnd() []ProposerAction {
	if p.done() >= p.needed() {
		return p.conclude(Stored, nil)
	}
	if p.held() > len(p.owners)-p.needed() {
		return p.conclude(Overtaken, nil)
	}
	return nil
}
