package recorder

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	// maxViews is how many views an owner keeps.
	maxViews = 16
	// slotsPerTick limits how many slots one tick expires records in.
	slotsPerTick = 16
	// Retention limits until the first configuration arrives.
	initialKeepFor   = 10 * time.Minute
	initialKeepBytes = 64 << 20
)

// Owner decides for the records that one entry holds; its fields must be set before use.
type Owner struct {
	Self Identity
	// Slots is the number of hash slots.
	Slots int

	store       *store
	view        *View
	views       map[uint64]*View
	slots       map[Slot]*slotState
	retryFillAt map[fillTarget]time.Time
	// expirySlot is the slot in which records were last expired.
	expirySlot Slot
}

// slotState is how much this owner knows of one slot's records.
type slotState struct {
	// filled says that the owner's responses count towards a majority in the current view.
	filled bool
	// complete says that it holds every record that was stored before the current view.
	complete bool
	// filledRanges are the views in which it counted, as ranges in ascending order.
	filledRanges []viewRange
	// fill is the running transfer from earlier owners, nil if there is none.
	fill *fill
	// enteredAt is when the owner last entered a view while it owns the slot.
	enteredAt time.Time
}

// viewRange is an inclusive range of view numbers.
type viewRange struct {
	from, to uint64
}

// Step takes one event and returns the actions to carry out.
func (o *Owner) Step(now time.Time, event OwnerEvent) []OwnerAction {
	o.initialize()
	switch e := event.(type) {
	case RequestReceived:
		return []OwnerAction{Reply{
			Token:    e.Token,
			Response: o.handleRequest(now, e.Request),
		}}
	case FillRequested:
		return o.handleFillRequest(now, e)
	case FillResponded:
		return o.handleFillResponse(now, e)
	case ViewCommitted:
		return o.enterView(now, e.View)
	case RetentionChanged:
		o.store.keepFor = e.KeepFor
		o.store.keepBytes = e.KeepBytes
		o.store.evictAnswers()
	case OwnerTicked:
		return o.tick(now)
	}
	return nil
}

// tick removes expired records in the next few slots and continues the fills.
func (o *Owner) tick(now time.Time) []OwnerAction {
	for range min(slotsPerTick, o.Slots) {
		o.expirySlot = (o.expirySlot + 1) % Slot(o.Slots)
		o.store.expire(now, o.expirySlot)
	}
	return o.askFills(now)
}

func (o *Owner) initialize() {
	if o.store != nil {
		return
	}
	o.store = newStore(o.slotOf)
	o.store.keepFor = initialKeepFor
	o.store.keepBytes = initialKeepBytes
	o.views = make(map[uint64]*View)
	o.slots = make(map[Slot]*slotState)
	o.retryFillAt = make(map[fillTarget]time.Time)
}

func (o *Owner) slotOf(key []byte) Slot { return slotOf(key, o.Slots) }

// handleRequest answers one request of a proposer.
func (o *Owner) handleRequest(now time.Time, request *messages.RecordRequest) *messages.RecordResponse {
	response := &messages.RecordResponse{
		Status: messages.RecordStatus_RECORD_STATUS_OTHER_VIEW,
	}
	if o.view == nil {
		return response
	}
	response.ViewNumber = o.view.Number
	key := request.GetRecord().GetKey()
	slot := o.slotOf(key)
	// A response in an older view would count towards a majority of the old owners. The
	// new owners could miss the record, and the call would run again.
	if request.GetViewNumber() != o.view.Number || !hasMember(o.view.Owners(slot), o.Self) {
		return response
	}
	response.Status = o.serve(now, request, o.slots[slot].filled)
	if known := o.store.get(key); known != nil {
		response.Record = known.export(now)
	}
	return response
}

func (o *Owner) serve(now time.Time, request *messages.RecordRequest, filled bool) messages.RecordStatus {
	if request.GetOperation() == messages.RecordOperation_RECORD_OPERATION_FINISH {
		return o.finish(now, request.GetRecord(), filled)
	}
	// An owner that has not read the records of the earlier owners would report "no such
	// call" for one that ran, and a resend would run it again. Keys that were generated
	// for the new call are safe, since no earlier call can have them.
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

// promise promises to accept no lower proposal, unless a higher one was promised.
func (o *Owner) promise(now time.Time, proposed *messages.CallRecord) messages.RecordStatus {
	known := o.store.get(proposed.GetKey())
	if known == nil {
		if o.store.isFull() {
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
	promised := known.export(now)
	promised.AgeMs = 0
	promised.Promised = proposed.GetAccepted()
	o.store.put(now, promised)
	return messages.RecordStatus_RECORD_STATUS_DONE
}

// accept stores a proposed record unless the known record prevents it.
func (o *Owner) accept(now time.Time, proposed *messages.CallRecord) messages.RecordStatus {
	known := o.store.get(proposed.GetKey())
	if known == nil {
		if o.store.isFull() {
			return messages.RecordStatus_RECORD_STATUS_FULL
		}
		o.storeRecord(now, proposed)
		return messages.RecordStatus_RECORD_STATUS_DONE
	}
	if !isAcceptable(known.record, proposed) {
		return messages.RecordStatus_RECORD_STATUS_HELD
	}
	sameProposal := compareBallots(proposed.GetAccepted(), known.record.GetAccepted()) == 0
	// A delayed duplicate of an earlier message must not undo a later state.
	if !sameProposal || stateRank(proposed.GetState()) > stateRank(known.record.GetState()) {
		o.storeRecord(now, proposed)
	}
	return messages.RecordStatus_RECORD_STATUS_DONE
}

// isAcceptable reports whether a proposal may replace the known record. Round 0 has no
// promises, so each owner accepts only one proposal in it; two entries that claim the same
// key at once cannot both get a majority.
func isAcceptable(known, proposed *messages.CallRecord) bool {
	if known.GetState() == messages.CallState_CALL_STATE_ANSWERED {
		return false
	}
	order := compareBallots(proposed.GetAccepted(), known.GetPromised())
	if proposed.GetAccepted().GetRound() == 0 {
		return order == 0
	}
	return order >= 0
}

func (o *Owner) storeRecord(now time.Time, proposed *messages.CallRecord) {
	kept := copyRecord(proposed)
	kept.Promised = proposed.GetAccepted()
	o.store.put(now, kept)
}

// finish stores the end of a call that was sent to an upstream. Only the entry that sent it
// knows its end, so it prevails over whatever was proposed in the meantime.
func (o *Owner) finish(now time.Time, ended *messages.CallRecord, filled bool) messages.RecordStatus {
	known := o.store.get(ended.GetKey())
	if known == nil {
		o.storeRecord(now, ended)
		return finishStatus(filled)
	}
	earlier := known.record
	answered := ended.GetState() == messages.CallState_CALL_STATE_ANSWERED
	if earlier.GetState() == messages.CallState_CALL_STATE_ANSWERED || !answered && earlier.GetCall() != ended.GetCall() {
		return finishStatus(filled)
	}
	kept := copyRecord(ended)
	kept.Promised = earlier.GetPromised()
	kept.Accepted = earlier.GetAccepted()
	o.store.put(now, kept)
	return finishStatus(filled)
}

func finishStatus(filled bool) messages.RecordStatus {
	if !filled {
		return messages.RecordStatus_RECORD_STATUS_UNFILLED
	}
	return messages.RecordStatus_RECORD_STATUS_DONE
}

// countedIn reports whether the owner's responses counted for the slot in a view.
func (s *slotState) countedIn(number uint64) bool {
	return slices.ContainsFunc(s.filledRanges, func(r viewRange) bool {
		return r.from <= number && number <= r.to
	})
}

// recordCounted records that the owner counts for the slot in a view.
func (s *slotState) recordCounted(number uint64) {
	s.filled = true
	last := len(s.filledRanges) - 1
	if last >= 0 && s.filledRanges[last].to+1 >= number {
		s.filledRanges[last].to = number
		return
	}
	s.filledRanges = append(s.filledRanges, viewRange{
		from: number,
		to:   number,
	})
	if len(s.filledRanges) > maxViews {
		s.filledRanges = s.filledRanges[1:]
	}
}
