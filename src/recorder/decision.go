package recorder

import (
	"bytes"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// handleResponse counts one owner's response and continues if the responses now decide
// the current phase.
func (p *Proposer) handleResponse(now time.Time, e OwnerResponded) []ProposerAction {
	if e.Ask.Sequence != p.sequence || p.phase == idle || p.phase == waiting || p.phase == backingOff || e.Response == nil {
		return nil
	}
	if isUsable(p.responses[e.Ask.To.Identity]) {
		return nil
	}
	p.responses[e.Ask.To.Identity] = e.Response
	for _, ballot := range []*messages.Ballot{e.Response.GetRecord().GetPromised(), e.Response.GetRecord().GetAccepted()} {
		p.maxRound = max(p.maxRound, ballot.GetRound())
	}
	if p.count(messages.RecordStatus_RECORD_STATUS_FULL) > len(p.owners)-p.quorum() {
		return p.giveUp()
	}
	return p.decide(now)
}

func (p *Proposer) decide(now time.Time) []ProposerAction {
	switch p.phase {
	case lookingUp:
		return p.decideLookup(now)
	case claiming:
		return p.decideClaim(now)
	case preparing:
		return p.decidePromises(now)
	case admitting:
		return p.decideAdmission(now)
	case storingUnknown:
		return p.decideStoredUnknown()
	case storingIntent:
		return p.decideIntent(now)
	case storingEnd:
		return p.decideEnd()
	}
	return nil
}

func (p *Proposer) quorum() int { return majority(len(p.owners)) }

func (p *Proposer) doneCount() int { return p.count(messages.RecordStatus_RECORD_STATUS_DONE) }

func (p *Proposer) heldCount() int { return p.count(messages.RecordStatus_RECORD_STATUS_HELD) }

func (p *Proposer) count(status messages.RecordStatus) int {
	count := 0
	for _, response := range p.responses {
		if response.GetStatus() == status {
			count++
		}
	}
	return count
}

// otherRecords returns the records of other calls in the responses, and for a lookup all
// records. Records of an unfilled owner are valid; only a missing record means nothing there.
func (p *Proposer) otherRecords() []*messages.CallRecord {
	var records []*messages.CallRecord
	for _, owner := range p.owners {
		record := p.responses[owner.Identity].GetRecord()
		if stateRank(record.GetState()) > 0 && (record.GetCall() != string(p.Call) || p.lookOnly) {
			records = append(records, record)
		}
	}
	return records
}

func (p *Proposer) hasOtherContent(record *messages.CallRecord) bool {
	return !p.lookOnly && !bytes.Equal(record.GetContentHash(), p.ContentHash)
}

// answeredRecord returns the record of an answered call among the responses, or nil.
func (p *Proposer) answeredRecord() *messages.CallRecord {
	for _, record := range p.otherRecords() {
		if record.GetState() == messages.CallState_CALL_STATE_ANSWERED {
			return record
		}
	}
	return nil
}

func (p *Proposer) concludeFound(record *messages.CallRecord) []ProposerAction {
	if p.hasOtherContent(record) {
		return p.conclude(Conflicting, nil)
	}
	return p.conclude(Found, record)
}

func (p *Proposer) decideLookup(now time.Time) []ProposerAction {
	if record := p.answeredRecord(); record != nil {
		return p.concludeFound(record)
	}
	if p.doneCount() < p.quorum() {
		return nil
	}
	if len(p.otherRecords()) == 0 {
		if p.lookOnly {
			return p.conclude(Absent, nil)
		}
		// Every generated key gets a record. A missing one was lost or has expired; the
		// call may still have run.
		return p.conclude(RunUnknown, nil)
	}
	return p.decideContested(now)
}

func (p *Proposer) decideClaim(now time.Time) []ProposerAction {
	if record := p.answeredRecord(); record != nil {
		return p.concludeFound(record)
	}
	if p.doneCount() >= p.quorum() {
		return p.conclude(Granted, nil)
	}
	if p.doneCount()+p.heldCount() < p.quorum() || p.heldCount() == 0 {
		return nil
	}
	return p.decideContested(now)
}

// decideContested decides where other calls have the key and none has an answer.
func (p *Proposer) decideContested(now time.Time) []ProposerAction {
	records := p.otherRecords()
	active := false
	for _, record := range records {
		notRun := record.GetState() == messages.CallState_CALL_STATE_NOT_RUN
		if !notRun && p.hasOtherContent(record) {
			return p.conclude(Conflicting, nil)
		}
		if record.GetState() == messages.CallState_CALL_STATE_UNKNOWN {
			return p.conclude(RunUnknown, nil)
		}
		active = active || p.isActive(record)
	}
	if active && p.lookOnly {
		return p.conclude(Running, nil)
	}
	if active && !p.winsTie(records) {
		return p.waitForRunner(now)
	}
	return p.prepare(now)
}

// isActive reports whether the record's entry may still be running the call: the call has
// not ended, the entry is in the view, and its lease has not expired.
func (p *Proposer) isActive(record *messages.CallRecord) bool {
	if isEnded(record.GetState()) {
		return false
	}
	runner := Identity{
		Name:        units.Instance(record.GetRunner()),
		Incarnation: units.Incarnation(record.GetRunnerIncarnation()),
	}
	return p.View.Has(runner) && record.GetLeaseMs() > 0
}

// winsTie reports whether this call should continue although other calls have claimed the
// key too: none of the others has a majority, and this call's id is the lowest. Without a
// tie-break, each would wait for the others until a lease ends.
func (p *Proposer) winsTie(records []*messages.CallRecord) bool {
	votes := make(map[string]int)
	for _, record := range records {
		if record.GetState() != messages.CallState_CALL_STATE_ADMITTED || record.GetCall() < string(p.Call) {
			return false
		}
		votes[record.GetCall()]++
	}
	for _, count := range votes {
		if count >= p.quorum() {
			return false
		}
	}
	return p.phase == claiming && p.doneCount() > 0
}

// decidePromises decides once a majority has promised to accept no lower proposal. Its
// responses then include any record that a majority may have stored before.
func (p *Proposer) decidePromises(now time.Time) []ProposerAction {
	if record := p.answeredRecord(); record != nil {
		return p.concludeFound(record)
	}
	if p.doneCount() < p.quorum() {
		if p.heldCount() > len(p.owners)-p.quorum() {
			return p.backOff(now)
		}
		return nil
	}
	standing := p.lastAccepted()
	if p.lookOnly {
		return p.decideLookupPromises(now, standing)
	}
	if standing != nil && standing.GetState() != messages.CallState_CALL_STATE_NOT_RUN && p.hasOtherContent(standing) {
		return p.conclude(Conflicting, nil)
	}
	if standing != nil && mayHaveRun(standing) {
		return p.storeUnknownUnlessActive(now, standing)
	}
	if standing == nil && p.GeneratedKey {
		return p.conclude(RunUnknown, nil)
	}
	return p.askOwners(now, admitting, messages.RecordOperation_RECORD_OPERATION_STORE)
}

// decideLookupPromises ends the lookup of a call whose entry is gone: either the call may
// have run, or it provably did not and may be sent again.
func (p *Proposer) decideLookupPromises(now time.Time, standing *messages.CallRecord) []ProposerAction {
	if standing != nil && mayHaveRun(standing) {
		return p.storeUnknownUnlessActive(now, standing)
	}
	return p.conclude(Absent, nil)
}

// storeUnknownUnlessActive waits if the entry that stored its intent before the promises
// were made is still running the call, since its answer will come.
func (p *Proposer) storeUnknownUnlessActive(now time.Time, standing *messages.CallRecord) []ProposerAction {
	if !p.isActive(standing) {
		return p.storeUnknown(now, standing)
	}
	if p.lookOnly {
		return p.conclude(Running, nil)
	}
	return p.waitForRunner(now)
}

// storeUnknown stores that it is unknown whether the call ran, so that every later resend
// gets the same result.
func (p *Proposer) storeUnknown(now time.Time, standing *messages.CallRecord) []ProposerAction {
	round := p.proposed.GetAccepted().GetRound()
	p.proposed = copyRecord(standing)
	p.proposed.State = messages.CallState_CALL_STATE_UNKNOWN
	p.proposed.LeaseMs = 0
	p.proposed.AgeMs = 0
	p.proposed.Accepted = &messages.Ballot{
		Round: round,
		Call:  string(p.Call),
	}
	return p.askOwners(now, storingUnknown, messages.RecordOperation_RECORD_OPERATION_STORE)
}

func (p *Proposer) decideStoredUnknown() []ProposerAction {
	if record := p.answeredRecord(); record != nil {
		return p.concludeFound(record)
	}
	if p.doneCount() >= p.quorum() {
		return p.conclude(RunUnknown, nil)
	}
	return nil
}

// lastAccepted returns the latest record that a majority may have stored, or nil for none.
func (p *Proposer) lastAccepted() *messages.CallRecord {
	var highest *messages.CallRecord
	for _, owner := range p.owners {
		response := p.responses[owner.Identity]
		record := response.GetRecord()
		if !isUsable(response) || stateRank(record.GetState()) == 0 {
			continue
		}
		if highest == nil {
			highest = record
			continue
		}
		highest = laterRecord(highest, record)
	}
	return highest
}

// laterRecord returns the record of the higher proposal; for one proposal, the record whose
// state was set last. In round 0 any of several proposals may be stored at a majority, so
// the one whose call may have run takes precedence.
func laterRecord(a, b *messages.CallRecord) *messages.CallRecord {
	if compareBallots(a.GetAccepted(), b.GetAccepted()) == 0 {
		if stateRank(b.GetState()) > stateRank(a.GetState()) {
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

func (p *Proposer) decideAdmission(now time.Time) []ProposerAction {
	if p.doneCount() >= p.quorum() {
		return p.conclude(Granted, nil)
	}
	if p.heldCount() > len(p.owners)-p.quorum() {
		return p.backOff(now)
	}
	return nil
}

func (p *Proposer) decideIntent(now time.Time) []ProposerAction {
	if p.doneCount() >= p.quorum() {
		return p.permitDispatch(now)
	}
	if p.heldCount() > len(p.owners)-p.quorum() {
		return p.conclude(Superseded, nil)
	}
	return nil
}

func (p *Proposer) decideEnd() []ProposerAction {
	if p.doneCount() >= p.quorum() {
		return p.conclude(Stored, nil)
	}
	if p.heldCount() > len(p.owners)-p.quorum() {
		return p.conclude(Superseded, nil)
	}
	return nil
}
