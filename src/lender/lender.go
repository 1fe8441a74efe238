package lender

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// Floors is the part of each limit that is never lent: each entry of the
	// view always has an equal share of it.
	Floors = 0.5
	// Parts is how many lenders share the rest of a limit, so that the loss of
	// one of them holds up only its part.
	Parts = 3
	// Pool is the fraction of a limit that one part's lender lends.
	Pool = (1 - Floors) / Parts
	// Drift is how much longer a lender counts a period than a borrower, as a
	// bound on how far their clocks' speeds differ.
	Drift = 0.1
	// epsilon hides what adding fractions loses.
	epsilon = 1e-9
)

// Lender lends the parts of limits that one entry owns; its fields are set before the first Step.
type Lender struct {
	Self units.Instance
	// Incarnation is this process's; a view that names an earlier one is not its own.
	Incarnation uint64
	// Lease is how long a loan lasts.
	Lease time.Duration
	// Hold is how long after a confirmation the view may still be used; entries
	// that a new view leaves out stop within it.
	Hold time.Duration

	view      *messages.EntryView
	learnedAt time.Time
	confirmed time.Time
	next      uint64
	parts     map[part]map[units.Instance]*debtor
}

type part struct {
	limit string
	index uint32
}

// debtor is one entry's side of a part.
type debtor struct {
	wanted  float64
	inUse   float64
	heardAt time.Time
	loans   []loan
}

type loan struct {
	number   uint64
	fraction float64
	until    time.Time
}

// Step takes one event and returns the actions to carry out, in order.
func (l *Lender) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Viewed:
		l.follow(now, e.View)
	case Confirmed:
		if e.At.After(l.confirmed) {
			l.confirmed = e.At
		}
	case Asked:
		return []Action{Answer{Response: l.answer(now, e.Request)}}
	}
	return nil
}

// follow takes a newer view and forgets the loans, which are waited out instead.
func (l *Lender) follow(now time.Time, view *messages.EntryView) {
	if view.GetNumber() <= l.view.GetNumber() {
		return
	}
	l.view = view
	l.learnedAt = now
	l.parts = make(map[part]map[units.Instance]*debtor)
}

// lease returns how long a loan made now lasts, 0 where none may be made.
//
// The lender of an earlier view may still lend the same part: it has not
// learned of its loss while it is cut off. Its loans end within Hold of its last
// confirmation, which came before this view; so this lender begins after that.
// Without the wait both would lend the part, and the limit would be passed.
func (l *Lender) lease(now time.Time) time.Duration {
	if !l.member() {
		return 0
	}
	// No lender can be earlier than the first view's.
	if l.view.GetNumber() > 1 && now.Sub(l.learnedAt) < Wait(l.Hold) {
		return 0
	}
	return max(0, min(l.Lease, l.confirmed.Add(l.Hold).Sub(now)))
}

// Wait is how long a new view's shares wait for those of the views before it to end.
func Wait(hold time.Duration) time.Duration {
	return time.Duration(float64(hold) * (1 + Drift))
}

func (l *Lender) member() bool {
	for _, member := range l.view.GetMembers() {
		if member.GetEntry() == string(l.Self) {
			return member.GetIncarnation() == l.Incarnation
		}
	}
	return false
}

func (l *Lender) answer(now time.Time, request *messages.ShareRequest) *messages.ShareResponse {
	response := &messages.ShareResponse{
		ViewNumber: l.view.GetNumber(),
	}
	if l.view == nil || request.GetViewNumber() != l.view.GetNumber() {
		return response
	}
	lease := l.lease(now)
	for _, demand := range request.GetDemands() {
		key := part{
			limit: demand.GetLimit(),
			index: demand.GetPart(),
		}
		owed := l.note(now, key, units.Instance(request.GetEntry()), demand)
		if lease <= 0 {
			continue
		}
		response.Loans = append(response.Loans, l.lend(now, key, owed, lease))
	}
	return response
}

// note takes what an entry says of a part.
func (l *Lender) note(now time.Time, key part, entry units.Instance, demand *messages.ShareDemand) *debtor {
	debtors := l.parts[key]
	if debtors == nil {
		debtors = make(map[units.Instance]*debtor)
		l.parts[key] = debtors
	}
	owed := debtors[entry]
	if owed == nil {
		owed = &debtor{}
		debtors[entry] = owed
	}
	owed.wanted = demand.GetWanted()
	owed.inUse = demand.GetInUse()
	owed.heardAt = now
	kept := owed.loans[:0]
	for _, l := range owed.loans {
		if l.number >= demand.GetHeld() {
			kept = append(kept, l)
		}
	}
	owed.loans = kept
	return owed
}

// lend makes a loan of what the entry wants and of an equal part of what nobody
// does, as far as the others leave it.
func (l *Lender) lend(now time.Time, key part, owed *debtor, lease time.Duration) *messages.ShareLoan {
	var wanted, others float64
	for _, other := range l.parts[key] {
		counted := other.count(now)
		if now.Sub(other.heardAt) <= l.Lease {
			wanted += other.wanted
		}
		if other != owed {
			others += counted
		}
	}
	target := owed.wanted + max(0, Pool-wanted)/float64(len(l.view.GetMembers()))
	if wanted > Pool {
		target = Pool * owed.wanted / wanted
	}
	l.next++
	made := loan{
		number:   l.next,
		fraction: max(0, min(target, Pool-others-epsilon)),
		until:    now.Add(time.Duration(float64(lease) * (1 + Drift))),
	}
	owed.loans = append(owed.loans, made)
	return &messages.ShareLoan{
		Limit:    key.limit,
		Part:     key.index,
		Number:   made.number,
		Fraction: made.fraction,
		LeaseMs:  lease.Milliseconds(),
	}
}

// count returns the most that the entry may use now. An answer that was lost
// must count like one that arrived, and so must a larger loan before it until
// the entry says that it has the later one.
func (d *debtor) count(now time.Time) float64 {
	counted := 0.0
	kept := d.loans[:0]
	for _, l := range d.loans {
		if now.Before(l.until) {
			kept = append(kept, l)
			counted = max(counted, l.fraction)
		}
	}
	d.loans = kept
	if len(kept) == 0 {
		return 0
	}
	return max(counted, min(d.inUse, Pool))
}

// Lent returns the sum that the lender counts as lent of a part.
func (l *Lender) Lent(now time.Time, limit string, index uint32) float64 {
	sum := 0.0
	for _, owed := range l.parts[part{limit: limit, index: index}] {
		sum += owed.count(now)
	}
	return sum
}
