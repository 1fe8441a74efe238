package recorder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	// fillRetry is how long an unanswered request keeps another from being sent.
	fillRetry = 100 * time.Millisecond
	// fillPage bounds the records in one response, beyond the first slot.
	fillPage = 1 << 20
	// historyShown is how many views an entry without history is shown.
	historyShown = 4
)

// fill is the reading of one slot's earlier owners.
type fill struct {
	// responses holds, for each earlier view, who answered and whether it counted there.
	responses map[uint64]map[Identity]bool
}

// fillTarget is an earlier owner asked about one view.
type fillTarget struct {
	id   Identity
	view uint64
}

// enter takes a newer view on.
func (o *Owner) enter(now time.Time, next *View) []OwnerAction {
	if o.view != nil && next.Number <= o.view.Number {
		return nil
	}
	previous := o.view
	o.view = next
	o.learn(next)
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
			state.whole = false
			state.fill = nil
		}
		return
	}
	if state == nil {
		state = &slotState{}
		o.slots[slot] = state
	}
	carried := carry(state, slot, previous, o.view)
	state.fill = nil
	state.enteredAt = now
	if carried.filled {
		state.count(o.view.Number)
	}
	state.filled = carried.filled
	state.whole = carried.whole
	// Fewer than three owners can shrink to one, which must then hold everything.
	if !carried.filled || !carried.whole && len(owners) < ownerCount {
		state.fill = &fill{
			responses: make(map[uint64]map[Identity]bool),
		}
	}
	if o.view.Number == 1 {
		state.complete(1)
	}
}

// carry returns what an owner knows of a slot after a change of view, without
// reading others. A record is stored at some majority of the earlier owners, and
// an owner that goes on may not be among them. It may count without reading only
// where every majority of the new owners that holds no newcomer is a majority of
// the earlier ones, or where it held everything and no majority could miss it.
func carry(state *slotState, slot Slot, previous, next *View) slotState {
	if previous == nil || previous.Number+1 != next.Number {
		return slotState{}
	}
	earlier, owners := previous.Owners(slot), next.Owners(slot)
	if sameMembers(earlier, owners) {
		return slotState{
			filled: state.filled,
			whole:  state.whole,
		}
	}
	wroteAll := majority(len(earlier)) == len(earlier)
	whole := state.filled && state.whole && wroteAll
	enough := majority(len(owners)) >= majority(len(earlier))
	return slotState{
		filled: whole || state.filled && enough,
		whole:  whole,
	}
}

func sameMembers(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !hasMember(b, m.Identity) })
}

// learn remembers a view with the one before it and forgets the oldest.
func (o *Owner) learn(view *View) {
	o.views[view.Number] = view
	earlier := view.wire.GetPreviousMembers()
	if len(earlier) > 0 && o.views[view.Number-1] == nil {
		o.views[view.Number-1] = NewView(&messages.EntryView{
			Number:  view.Number - 1,
			Members: earlier,
		}, o.Slots)
	}
	for len(o.views) > historyLength {
		delete(o.views, slices.Min(slices.Collect(maps.Keys(o.views))))
	}
}

// askFills returns the requests that the fills under way need now.
func (o *Owner) askFills(now time.Time) []OwnerAction {
	wanted := make(map[fillTarget][]uint32)
	for slot, state := range o.slots {
		if state.fill != nil {
			o.advance(now, slot, state, wanted)
		}
	}
	var actions []OwnerAction
	for target, slots := range wanted {
		if until, waiting := o.asked[target]; waiting && now.Before(until) {
			continue
		}
		to, known := o.find(target)
		if !known {
			continue
		}
		o.asked[target] = now.Add(fillRetry)
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
	slices.SortFunc(actions, compareAsks)
	return actions
}

// advance completes a fill or notes whom it needs to ask.
func (o *Owner) advance(now time.Time, slot Slot, state *slotState, wanted map[fillTarget][]uint32) {
	// After that time every record that was lost would have been dropped anyway.
	if now.Sub(state.enteredAt) >= o.store.keepFor {
		state.complete(o.view.Number)
		return
	}
	level, done := o.level(slot, state.fill)
	if done {
		state.complete(o.view.Number)
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

func (s *slotState) complete(number uint64) {
	s.fill = nil
	s.whole = true
	s.count(number)
}

// level returns the newest earlier view that is still to be read, nil where
// more views must be learnt, and whether the fill has read enough.
//
// A majority of a view's owners has seen every record stored in that view. Where
// too few of them counted there, records may stand at the owners before them, so
// that the reading goes on with the view before.
func (o *Owner) level(slot Slot, f *fill) (*View, bool) {
	numbers := slices.Sorted(maps.Keys(o.views))
	for _, number := range slices.Backward(numbers) {
		if number >= o.view.Number {
			continue
		}
		view := o.views[number]
		needed := majority(len(view.Owners(slot)))
		if o.Self != (Identity{}) && hasMember(view.Owners(slot), o.Self) {
			o.respond(f, number, o.Self, o.slots[slot].counted(number))
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

func (o *Owner) respond(f *fill, number uint64, id Identity, counted bool) {
	if f.responses[number] == nil {
		f.responses[number] = make(map[Identity]bool)
	}
	f.responses[number][id] = counted
}

// find returns the member that a target names.
func (o *Owner) find(target fillTarget) (Member, bool) {
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

// takeFill merges what an earlier owner sent.
func (o *Owner) takeFill(now time.Time, e FillAnswered) []OwnerAction {
	target := fillTarget{
		id:   e.Asked.To.Identity,
		view: e.Asked.Request.GetOfView(),
	}
	if e.Response.GetViewNumber() == 0 || e.Asked.Request.GetView().GetNumber() != o.view.Number {
		return nil
	}
	delete(o.asked, target)
	for _, view := range e.Response.GetViews() {
		if o.views[view.GetNumber()] == nil && view.GetNumber() < o.view.Number {
			o.learn(NewView(view, o.Slots))
		}
	}
	for _, filled := range e.Response.GetSlots() {
		state := o.slots[Slot(filled.GetSlot())]
		if state == nil || state.fill == nil {
			continue
		}
		for _, record := range filled.GetRecords() {
			o.merge(now, record)
		}
		o.respond(state.fill, target.view, target.id, filled.GetFilled())
	}
	return o.askFills(now)
}

func (o *Owner) merge(now time.Time, theirs *messages.CallRecord) {
	known := o.store.get(theirs.GetKey())
	if known == nil {
		o.store.put(now, theirs)
		return
	}
	o.store.put(now, mergeRecords(known.show(now), theirs))
}

// answerFill sends records to a later owner. Entering its view first is what
// makes the answer whole: no proposer of an older view is served after it.
func (o *Owner) answerFill(now time.Time, e FillAsked) []OwnerAction {
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
		actions = o.enter(now, NewView(asking, o.Slots))
	}
	response.ViewNumber = o.view.Number
	response.Views = o.viewsBetween(e.Request.GetOfView(), asking.GetNumber())
	var size int64
	for _, number := range e.Request.GetSlots() {
		if size > fillPage {
			break
		}
		filled := o.showSlot(now, Slot(number), e.Request.GetOfView())
		for _, record := range filled.GetRecords() {
			size += sizeOf(record)
		}
		response.Slots = append(response.Slots, filled)
	}
	return append(actions, reply)
}

func (o *Owner) showSlot(now time.Time, slot Slot, view uint64) *messages.FilledSlot {
	state := o.slots[slot]
	shown := &messages.FilledSlot{
		Slot:   uint32(slot),
		Filled: state != nil && state.counted(view),
	}
	for _, key := range slices.Sorted(maps.Keys(o.store.slots[slot])) {
		shown.Records = append(shown.Records, o.store.slots[slot][key].show(now))
	}
	return shown
}

// viewsBetween returns the known views after one and before another, or the
// last few where the first is 0.
func (o *Owner) viewsBetween(after, before uint64) []*messages.EntryView {
	var views []*messages.EntryView
	for _, number := range slices.Sorted(maps.Keys(o.views)) {
		if number > after && number < before {
			views = append(views, o.views[number].wire)
		}
	}
	if after == 0 && len(views) > historyShown {
		views = views[len(views)-historyShown:]
	}
	return views
}

// compareAsks gives the requests one order, so that equal runs are equal.
func compareAsks(a, b OwnerAction) int {
	left, right := a.(AskFill), b.(AskFill)
	return cmp.Or(
		cmp.Compare(left.To.Name, right.To.Name),
		cmp.Compare(left.Request.GetOfView(), right.Request.GetOfView()),
	)
}
