package recorder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	// fillRetryInterval is how long an unanswered request is waited for before it is sent
	// again.
	fillRetryInterval = 100 * time.Millisecond
	// maxFillBytes is the size after which a response takes no further slots.
	maxFillBytes = 1 << 20
	// maxInitialViews is how many views are sent to an entry that has none.
	maxInitialViews = 4
)

// fill is the transfer of one slot's records from its earlier owners.
type fill struct {
	// responses holds, for each earlier view, which owners have responded and whether each
	// counted there.
	responses map[uint64]map[Identity]bool
}

// fillTarget is an earlier owner that is asked for the records of one view, or of no view
// (0) where it is asked only for the earlier views.
type fillTarget struct {
	id   Identity
	view uint64
}

// enterView switches to a newer view and starts the fills that it needs.
func (o *Owner) enterView(now time.Time, next *View) []OwnerAction {
	if o.view != nil && next.Number <= o.view.Number {
		return nil
	}
	previous := o.view
	o.view = next
	o.rememberView(next)
	for number := range o.Slots {
		o.enterSlot(now, Slot(number), previous)
	}
	return o.askFills(now)
}

func (o *Owner) enterSlot(now time.Time, slot Slot, previous *View) {
	state := o.slots[slot]
	owners := o.view.Owners(slot)
	if !hasMember(owners, o.Self) {
		if state != nil {
			state.filled = false
			state.complete = false
			state.fill = nil
		}
		return
	}
	if state == nil {
		state = &slotState{}
		o.slots[slot] = state
	}
	carried := carryOver(state, slot, previous, o.view)
	state.fill = nil
	state.enteredAt = now
	if carried.filled {
		state.recordCounted(o.view.Number)
	}
	state.filled = carried.filled
	state.complete = carried.complete
	// With fewer than three owners, one of them may later be the only one left and must
	// then hold every record.
	if !carried.filled || !carried.complete && len(owners) < ownerCount {
		state.fill = &fill{
			responses: make(map[uint64]map[Identity]bool),
		}
	}
	if o.view.Number == 1 {
		state.completeFill(1)
	}
}

// carryOver returns what an owner knows of a slot after a change of view, without a fill.
// A record is stored at some majority of the earlier owners, which need not include an
// owner that remains. That owner may count without a fill only if every majority of the
// new owners without a newcomer is also a majority of the earlier ones, or if it held
// every record and no majority could be without it.
func carryOver(state *slotState, slot Slot, previous, next *View) slotState {
	if previous == nil || previous.Number+1 != next.Number {
		return slotState{}
	}
	earlier, owners := previous.Owners(slot), next.Owners(slot)
	if sameMembers(earlier, owners) {
		return slotState{
			filled:   state.filled,
			complete: state.complete,
		}
	}
	majorityIsAll := majority(len(earlier)) == len(earlier)
	complete := state.filled && state.complete && majorityIsAll
	quorumKept := majority(len(owners)) >= majority(len(earlier))
	return slotState{
		filled:   complete || state.filled && quorumKept,
		complete: complete,
	}
}

func sameMembers(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !hasMember(b, m.Identity) })
}

// rememberView stores a view and the one before it, and drops the oldest views beyond
// maxViews.
func (o *Owner) rememberView(view *View) {
	o.views[view.Number] = view
	earlier := view.wire.GetPreviousMembers()
	if len(earlier) > 0 && o.views[view.Number-1] == nil {
		o.views[view.Number-1] = NewView(&messages.EntryView{
			Number:  view.Number - 1,
			Members: earlier,
		}, o.Slots)
	}
	for len(o.views) > maxViews {
		delete(o.views, slices.Min(slices.Collect(maps.Keys(o.views))))
	}
}

// askFills returns the requests that the running fills need now.
func (o *Owner) askFills(now time.Time) []OwnerAction {
	wanted := make(map[fillTarget][]uint32)
	for slot, state := range o.slots {
		if state.fill != nil {
			o.advanceFill(now, slot, state, wanted)
		}
	}
	var actions []OwnerAction
	for target, slots := range wanted {
		if until, waiting := o.retryFillAt[target]; waiting && now.Before(until) {
			continue
		}
		to, known := o.findMember(target)
		if !known {
			continue
		}
		o.retryFillAt[target] = now.Add(fillRetryInterval)
		slices.Sort(slots)
		actions = append(actions, AskFill{
			To: to,
			Request: &messages.FillRequest{
				View:        o.view.wire,
				Slots:       slots,
				OfView:      target.view,
				Incarnation: uint64(target.id.Incarnation),
			},
		})
	}
	slices.SortFunc(actions, compareFillRequests)
	return actions
}

// advanceFill completes a fill or adds the owners that it needs to ask to wanted.
func (o *Owner) advanceFill(now time.Time, slot Slot, state *slotState, wanted map[fillTarget][]uint32) {
	// After keepFor, every record that could be missing would have expired anyway.
	if now.Sub(state.enteredAt) >= o.store.keepFor {
		state.completeFill(o.view.Number)
		return
	}
	level, done := o.nextFillView(slot, state.fill)
	if done {
		state.completeFill(o.view.Number)
		return
	}
	if level == nil {
		for _, member := range o.view.Members {
			if member.Identity != o.Self {
				wanted[fillTarget{id: member.Identity}] = nil
			}
		}
		return
	}
	for _, member := range level.Owners(slot) {
		if _, answered := state.fill.responses[level.Number][member.Identity]; !answered {
			target := fillTarget{
				id:   member.Identity,
				view: level.Number,
			}
			wanted[target] = append(wanted[target], uint32(slot))
		}
	}
}

func (s *slotState) completeFill(number uint64) {
	s.fill = nil
	s.complete = true
	s.recordCounted(number)
}

// nextFillView returns the latest earlier view that is still to be read, or nil if further
// earlier views must be requested first, and whether the fill is complete.
//
// A majority of a view's owners holds every record that was stored in that view. If too
// few of the responders counted there, further records may be held by earlier owners,
// and the fill continues with the view before.
func (o *Owner) nextFillView(slot Slot, f *fill) (*View, bool) {
	numbers := slices.Sorted(maps.Keys(o.views))
	for _, number := range slices.Backward(numbers) {
		if number >= o.view.Number {
			continue
		}
		view := o.views[number]
		needed := majority(len(view.Owners(slot)))
		if o.Self != (Identity{}) && hasMember(view.Owners(slot), o.Self) {
			o.recordFillResponse(f, number, o.Self, o.slots[slot].countedIn(number))
		}
		responses := f.responses[number]
		if len(responses) < needed {
			return view, false
		}
		counted := 0
		for _, filled := range responses {
			if filled {
				counted++
			}
		}
		if counted >= needed || number == 1 {
			return nil, true
		}
	}
	return nil, false
}

func (o *Owner) recordFillResponse(f *fill, number uint64, id Identity, counted bool) {
	if f.responses[number] == nil {
		f.responses[number] = make(map[Identity]bool)
	}
	f.responses[number][id] = counted
}

// findMember returns the member that a target refers to.
func (o *Owner) findMember(target fillTarget) (Member, bool) {
	view := o.view
	if target.view != 0 {
		view = o.views[target.view]
	}
	if view == nil {
		return Member{}, false
	}
	index := slices.IndexFunc(view.Members, func(m Member) bool { return m.Identity == target.id })
	if index < 0 {
		return Member{}, false
	}
	return view.Members[index], true
}

// handleFillResponse merges the records that an earlier owner sent.
func (o *Owner) handleFillResponse(now time.Time, e FillResponded) []OwnerAction {
	target := fillTarget{
		id:   e.Ask.To.Identity,
		view: e.Ask.Request.GetOfView(),
	}
	if e.Response.GetViewNumber() == 0 || e.Ask.Request.GetView().GetNumber() != o.view.Number {
		return nil
	}
	delete(o.retryFillAt, target)
	for _, view := range e.Response.GetViews() {
		if o.views[view.GetNumber()] == nil && view.GetNumber() < o.view.Number {
			o.rememberView(NewView(view, o.Slots))
		}
	}
	for _, filled := range e.Response.GetSlots() {
		state := o.slots[Slot(filled.GetSlot())]
		if state == nil || state.fill == nil {
			continue
		}
		for _, record := range filled.GetRecords() {
			o.mergeRecord(now, record)
		}
		o.recordFillResponse(state.fill, target.view, target.id, filled.GetFilled())
	}
	return o.askFills(now)
}

func (o *Owner) mergeRecord(now time.Time, theirs *messages.CallRecord) {
	known := o.store.get(theirs.GetKey())
	if known == nil {
		o.store.put(now, theirs)
		return
	}
	o.store.put(now, mergeRecords(known.export(now), theirs))
}

// handleFillRequest sends records to a later owner. It enters that owner's view first, so
// that the response is complete: no proposer of an older view is served afterwards.
func (o *Owner) handleFillRequest(now time.Time, e FillRequested) []OwnerAction {
	response := &messages.FillResponse{}
	reply := FillReply{
		Token:    e.Token,
		Response: response,
	}
	if e.Request.GetIncarnation() != uint64(o.Self.Incarnation) {
		return []OwnerAction{reply}
	}
	asking := e.Request.GetView()
	var actions []OwnerAction
	if o.view == nil || o.view.Number < asking.GetNumber() {
		actions = o.enterView(now, NewView(asking, o.Slots))
	}
	response.ViewNumber = o.view.Number
	response.Views = o.viewsBetween(e.Request.GetOfView(), asking.GetNumber())
	var size int64
	for _, number := range e.Request.GetSlots() {
		if size > maxFillBytes {
			break
		}
		filled := o.exportSlot(now, Slot(number), e.Request.GetOfView())
		for _, record := range filled.GetRecords() {
			size += sizeOf(record)
		}
		response.Slots = append(response.Slots, filled)
	}
	return append(actions, reply)
}

func (o *Owner) exportSlot(now time.Time, slot Slot, view uint64) *messages.FilledSlot {
	state := o.slots[slot]
	exported := &messages.FilledSlot{
		Slot:   uint32(slot),
		Filled: state != nil && state.countedIn(view),
	}
	for _, key := range slices.Sorted(maps.Keys(o.store.slots[slot])) {
		exported.Records = append(exported.Records, o.store.slots[slot][key].export(now))
	}
	return exported
}

// viewsBetween returns the known views after one number and before another; where after
// is 0, only the latest maxInitialViews of them.
func (o *Owner) viewsBetween(after, before uint64) []*messages.EntryView {
	var views []*messages.EntryView
	for _, number := range slices.Sorted(maps.Keys(o.views)) {
		if number > after && number < before {
			views = append(views, o.views[number].wire)
		}
	}
	if after == 0 && len(views) > maxInitialViews {
		views = views[len(views)-maxInitialViews:]
	}
	return views
}

// compareFillRequests orders the requests, so that runs are deterministic.
func compareFillRequests(a, b OwnerAction) int {
	left, right := a.(AskFill), b.(AskFill)
	return cmp.Or(
		cmp.Compare(left.To.Name, right.To.Name),
		cmp.Compare(left.Request.GetOfView(), right.Request.GetOfView()),
	)
}
