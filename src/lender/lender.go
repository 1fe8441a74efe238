package lender

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// GuaranteedFraction is the fraction of each limit that is never lent: it is divided
	// equally among the entries of the view.
	GuaranteedFraction = 0.5
	// Partitions is how many lenders divide the rest of a limit between them, so that
	// the loss of one lender affects only its partition.
	Partitions = 3
	// PartitionFraction is the fraction of a limit that the lender of one partition lends.
	PartitionFraction = (1 - GuaranteedFraction) / Partitions
	// MaxClockDrift is by what fraction a lender extends a period over a borrower's count
	// of it, as a bound on the difference of their clocks' speeds.
	MaxClockDrift = 0.1
	// epsilon absorbs the rounding errors of adding fractions.
	epsilon = 1e-9
)

// Lender lends the partitions of limits that one entry owns; its fields are set
// before the first Step.
type Lender struct {
	Self units.Instance
	// Incarnation is this process's; a view that names an earlier incarnation does
	// not include this process.
	Incarnation uint64
	// Lease is how long a loan lasts.
	Lease time.Duration
	// ViewTTL is how long after a confirmation the view may still be used; entries
	// that a new view leaves out stop within it.
	ViewTTL time.Duration

	view           *messages.EntryView
	viewReceivedAt time.Time
	confirmedAt    time.Time
	lastLoanNumber uint64
	partitions     map[partition]map[units.Instance]*borrowerState
}

type partition struct {
	limit string
	index uint32
}

// borrowerState is what the lender knows of one entry's use of a partition.
type borrowerState struct {
	wanted      float64
	inUse       float64
	requestedAt time.Time
	loans       []loan
}

type loan struct {
	number   uint64
	fraction float64
	until    time.Time
}

// Step takes one event and returns the actions to carry out, in order.
func (l *Lender) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case ViewChanged:
		l.setView(now, e.View)
	case ViewConfirmed:
		if e.At.After(l.confirmedAt) {
			l.confirmedAt = e.At
		}
	case RequestReceived:
		return []Action{SendResponse{Response: l.handleRequest(now, e.Request)}}
	}
	return nil
}

// setView adopts a newer view and drops the loans of the previous one, which
// loanDuration lets expire before it allows new ones.
func (l *Lender) setView(now time.Time, view *messages.EntryView) {
	if view.GetNumber() <= l.view.GetNumber() {
		return
	}
	l.view = view
	l.viewReceivedAt = now
	l.partitions = make(map[partition]map[units.Instance]*borrowerState)
}

// loanDuration returns how long a loan made now lasts, 0 where none may be made.
//
// The lender of an earlier view may still lend the same partition: while it is
// disconnected it has not been notified that it lost the partition. Its loans end
// within ViewTTL of its last confirmation, which came before this view, so this lender
// starts after that. Without the wait both would lend the partition, and the limit
// would be exceeded.
func (l *Lender) loanDuration(now time.Time) time.Duration {
	if !l.member() {
		return 0
	}
	// No lender precedes the first view's.
	if l.view.GetNumber() > 1 && now.Sub(l.viewReceivedAt) < ViewChangeWait(l.ViewTTL) {
		return 0
	}
	return max(0, min(l.Lease, l.confirmedAt.Add(l.ViewTTL).Sub(now)))
}

// ViewChangeWait returns how long the shares of a new view must wait for those of earlier
// views to expire.
func ViewChangeWait(hold time.Duration) time.Duration {
	return time.Duration(float64(hold) * (1 + MaxClockDrift))
}

func (l *Lender) member() bool {
	for _, member := range l.view.GetMembers() {
		if member.GetEntry() == string(l.Self) {
			return member.GetIncarnation() == l.Incarnation
		}
	}
	return false
}

func (l *Lender) handleRequest(now time.Time, request *messages.ShareRequest) *messages.ShareResponse {
	response := &messages.ShareResponse{
		ViewNumber: l.view.GetNumber(),
	}
	if l.view == nil || request.GetViewNumber() != l.view.GetNumber() {
		return response
	}
	loanDuration := l.loanDuration(now)
	for _, demand := range request.GetDemands() {
		key := partition{
			limit: demand.GetLimit(),
			index: demand.GetPart(),
		}
		state := l.recordDemand(now, key, units.Instance(request.GetEntry()), demand)
		if loanDuration <= 0 {
			continue
		}
		response.Loans = append(response.Loans, l.grantLoan(now, key, state, loanDuration))
	}
	return response
}

// recordDemand records an entry's demand for a partition and drops the loans that
// the entry no longer uses.
func (l *Lender) recordDemand(now time.Time, key partition, entry units.Instance, demand *messages.ShareDemand) *borrowerState {
	states := l.partitions[key]
	if states == nil {
		states = make(map[units.Instance]*borrowerState)
		l.partitions[key] = states
	}
	state := states[entry]
	if state == nil {
		state = &borrowerState{}
		states[entry] = state
	}
	state.wanted = demand.GetWanted()
	state.inUse = demand.GetInUse()
	state.requestedAt = now
	kept := state.loans[:0]
	for _, l := range state.loans {
		if l.number >= demand.GetHeld() {
			kept = append(kept, l)
		}
	}
	state.loans = kept
	return state
}

// grantLoan makes a loan of what the entry wants plus an equal part of what no
// entry wants, as far as the loans of the other entries leave room.
func (l *Lender) grantLoan(now time.Time, key partition, state *borrowerState, loanDuration time.Duration) *messages.ShareLoan {
	var wanted, others float64
	for _, other := range l.partitions[key] {
		outstanding := other.countOutstanding(now)
		if now.Sub(other.requestedAt) <= l.Lease {
			wanted += other.wanted
		}
		if other != state {
			others += outstanding
		}
	}
	target := state.wanted + max(0, PartitionFraction-wanted)/float64(len(l.view.GetMembers()))
	if wanted > PartitionFraction {
		target = PartitionFraction * state.wanted / wanted
	}
	l.lastLoanNumber++
	granted := loan{
		number:   l.lastLoanNumber,
		fraction: max(0, min(target, PartitionFraction-others-epsilon)),
		until:    now.Add(time.Duration(float64(loanDuration) * (1 + MaxClockDrift))),
	}
	state.loans = append(state.loans, granted)
	return &messages.ShareLoan{
		Limit:    key.limit,
		Part:     key.index,
		Number:   granted.number,
		Fraction: granted.fraction,
		LeaseMs:  loanDuration.Milliseconds(),
	}
}

// countOutstanding returns the most that the entry may be using now. A loan counts
// even if its response was lost, and a larger earlier loan counts until the entry
// reports that it holds the later one.
func (s *borrowerState) countOutstanding(now time.Time) float64 {
	outstanding := 0.0
	kept := s.loans[:0]
	for _, granted := range s.loans {
		if now.Before(granted.until) {
			kept = append(kept, granted)
			outstanding = max(outstanding, granted.fraction)
		}
	}
	s.loans = kept
	if len(kept) == 0 {
		return 0
	}
	return max(outstanding, min(s.inUse, PartitionFraction))
}

// Lent returns the total that the lender counts as lent of a partition.
func (l *Lender) Lent(now time.Time, limit string, index uint32) float64 {
	sum := 0.0
	for _, state := range l.partitions[partition{limit: limit, index: index}] {
		sum += state.countOutstanding(now)
	}
	return sum
}
