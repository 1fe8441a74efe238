package recorder

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	// historyLength is how many views an owner remembers.
	historyLength = 16
	// slotsPerTick bounds the work of one tick.
	slotsPerTick = 16
	// Bounds until the first configuration.
	initialKeepFor   = 10 * time.Minute
	initialKeepBytes = 64 << 20
)

// Owner decides for the records that one entry holds; its fields are set before use.
type Owner struct {
	Self  Identity
	Slots int

	store *store
	view  *View
	views map[uint64]*View
	slots map[Slot]*slotState
	asked map[fillTarget]time.Time
	// nextSlot is where dropping old records goes on.
	nextSlot Slot
}

// slotState is how far this owner knows one slot.
type slotState struct {
	// filled says that the owner counts in the present view.
	filled bool
	// whole says that it holds every record stored before the present view.
	whole bool
	// filledIn are the views in which it counted, as ranges in rising order.
	filledIn []viewRange
	// fill is the reading of earlier owners, nil where none is under way.
	fill *fill
	// enteredAt is when the owner took the slot on or entered a view with other owners.
	enteredAt time.Time
}

type viewRange struct {
	from, to uint64
}

// Step takes one event and returns the actions to carry out.
func (o *Owner) Step(now time.Time, event OwnerEvent) []OwnerAction {
	o.prepare()
	switch e := event.(type) {
	case Asked:
		return []OwnerAction{Reply{
			Token:    e.Token,
			Response: o.answer(now, e.Request),
		}}
	case FillAsked:
		return o.answerFill(now, e)
	case FillAnswered:
		return o.takeFill(now, e)
	case Viewed:
		return o.enter(now, e.View)
	case Bounded:
		o.store.keepFor = e.KeepFor
		o.store.keepBytes = e.KeepBytes
		o.store.shed()
	case OwnerTicked:
		return o.tick(now)
	}
	return nil
}

// tick drops what is too old in the next few slots and goes on with the fills.
func (o *Owner) tick(now time.Time) []OwnerAction {
	for range min(slotsPerTick, o.Slots) {
		o.nextSlot = (o.nextSlot + 1) % Slot(o.Slots)
		o.store.expire(now, o.nextSlot)
	}
	return o.askFills(now)
}

func (o *Owner) prepare() {
	if o.store != nil {
		return
	}
	o.store = newStore(o.slotOf)
	o.store.keepFor = initialKeepFor
	o.store.keepBytes = initialKeepBytes
	o.views = make(map[uint64]*View)
	o.slots = make(map[Slot]*slotState)
	o.asked = make(map[fillTarget]time.Time)
}

func (o *Owner) slotOf(key []byte) Slot { return slotOf(key, o.Slots) }

// answer serves one request of a proposer.
func (o *Owner) answer(now time.Time, request *messages.RecordRequest) *messages.RecordResponse {
	response := &messages.RecordResponse{
		Status: messages.RecordStatus_RECORD_STATUS_OTHER_VIEW,
	}
	if o.view == nil {
		return response
	}
	response.ViewNumber = o.view.Number
	key := request.GetRecord().GetKey()
	slot := o.slotOf(key)
	// An answer in an older view would count towards a majority of owners who
	// no longer are; the call would run again after the new owners missed it.
	if request.GetViewNumber() != o.view.Number || !hasMember(o.view.Owners(slot), o.Self) {
		return response
	}
	response.Status = o.serve(now, request, o.slots[slot].filled)
	if known := o.store.get(key); known != nil {
		response.Record = known.show(now)
	}
	return response
}

func (o *Owner) serve(now time.Time, request *messages.RecordRequest, filled bool) messages.RecordStatus {
	if request.GetOperation() == messages.RecordOperation_RECORD_OPERATION_FINISH {
		return o.finish(now, request.GetRecord(), filled)
	}
	// An owner that has not read its predecessors would say "no such call" of
	// one that ran, and a resend would run it again. Keys that the system has
	// just made are safe: no earlier call can bear them.
	if !filled && !request.GetFresh() {
		return messages.RecordStatus_RECORD_STATUS_UNFILLED
	}
	switch request.GetOperation() {
	case messages.RecordOperation_RECORD_OPERATION_PREPARE:
		return o.promise(now, request.GetRecord())
	case messages.RecordOperation_RECORD_OPERATION_STORE:
		return o.accept(now, request.GetRecord())
	default:
		return messages.RecordStatus_RECORD_STATUS_DONE
	}
}

func (o *Owner) promise(now time.Time, proposed *messages.CallRecord) messages.RecordStatus {
	known := o.store.get(proposed.GetKey())
	if known == nil {
		if o.store.full() {
			return messages.RecordStatus_RECORD_STATUS_FULL
		}
		o.store.put(now, &messages.CallRecord{
			Key:      proposed.GetKey(),
			Promised: proposed.GetAccepted(),
		})
		return messages.RecordStatus_RECORD_STATUS_DONE
	}
	if compareBallots(proposed.GetAccepted(), known.record.GetPromised()) < 0 {
		return messages.RecordStatus_RECORD_STATUS_HELD
	}
	promised := known.show(now)
	promised.AgeMs = 0
	promised.Promised = proposed.GetAccepted()
	o.store.put(now, promised)
	return messages.RecordStatus_RECORD_STATUS_DONE
}

// accept stores a proposed record, unless another stands against it.
func (o *Owner) accept(now time.Time, proposed *messages.CallRecord) messages.RecordStatus {
	known := o.store.get(proposed.GetKey())
	if known == nil {
		if o.store.full() {
			return messages.RecordStatus_RECORD_STATUS_FULL
		}
		o.keep(now, proposed)
		return messages.RecordStatus_RECORD_STATUS_DONE
	}
	if !acceptable(known.record, proposed) {
		return messages.RecordStatus_RECORD_STATUS_HELD
	}
	sameProposal := compareBallots(proposed.GetAccepted(), known.record.GetAccepted()) == 0
	// A late copy of an earlier message must not undo a later state.
	if !sameProposal || rank(proposed.GetState()) > rank(known.record.GetState()) {
		o.keep(now, proposed)
	}
	return messages.RecordStatus_RECORD_STATUS_DONE
}

// acceptable reports whether a proposal may replace what is known. In round 0
// nobody has asked for promises, so that each owner takes one proposal only;
// two entries that begin the same key at once cannot both have a majority.
func acceptable(known, proposed *messages.CallRecord) bool {
	if known.GetState() == messages.CallState_CALL_STATE_ANSWERED {
		return false
	}
	order := compareBallots(proposed.GetAccepted(), known.GetPromised())
	if proposed.GetAccepted().GetRound() == 0 {
		return order == 0
	}
	return order >= 0
}

func (o *Owner) keep(now time.Time, proposed *messages.CallRecord) {
	kept := copyRecord(proposed)
	kept.Promised = proposed.GetAccepted()
	o.store.put(now, kept)
}

// finish keeps the end of a call that was sent to an upstream. Its entry alone
// can know it, so that it stands whatever was proposed meanwhile.
func (o *Owner) finish(now time.Time, ended *messages.CallRecord, filled bool) messages.RecordStatus {
	known := o.store.get(ended.GetKey())
	if known == nil {
		o.keep(now, ended)
		return finished(filled)
	}
	earlier := known.record
	answered := ended.GetState() == messages.CallState_CALL_STATE_ANSWERED
	if earlier.GetState() == messages.CallState_CALL_STATE_ANSWERED || !answered && earlier.GetCall() != ended.GetCall() {
		return finished(filled)
	}
	kept := copyRecord(ended)
	kept.Promised = earlier.GetPromised()
	kept.Accepted = earlier.GetAccepted()
	o.store.put(now, kept)
	return finished(filled)
}

func finished(filled bool) messages.RecordStatus {
	if !filled {
		return messages.RecordStatus_RECORD_STATUS_UNFILLED
	}
	return messages.RecordStatus_RECORD_STATUS_DONE
}

// counted reports whether the owner counted for the slot in a view.
func (s *slotState) counted(number uint64) bool {
	return slices.ContainsFunc(s.filledIn, func(r viewRange) bool {
		return r.from <= number && number <= r.to
	})
}

// count notes that the owner counts from a view on.
func (s *slotState) count(number uint64) {
	s.filled = true
	last := len(s.filledIn) - 1
	if last >= 0 && s.filledIn[last].to+1 >= number {
		s.filledIn[last].to = number
		return
	}
	s.filledIn = append(s.filledIn, viewRange{
		from: number,
		to:   number,
	})
	if len(s.filledIn) > historyLength {
		s.filledIn = s.filledIn[1:]
	}
}
