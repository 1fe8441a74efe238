package borrower

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/lender"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// demandHeadroom is the factor by which an entry asks for more than its calls
// offered, so that growing demand is not refused until the next loan.
const demandHeadroom = 1.5

// Borrower holds the shares of one entry; its fields are set before the first Step.
type Borrower struct {
	Self        units.Instance
	Incarnation uint64
	// ViewTTL is how long entries of an earlier view may still use its shares.
	ViewTTL time.Duration

	view           *messages.EntryView
	viewReceivedAt time.Time
	confirmedAt    time.Time
	// previousFloor is the floor in the previous view, 0 for an entry that was not
	// a member.
	previousFloor float64
	loans         map[loanKey]heldLoan
}

// loanKey identifies a loan; loans of an earlier view are kept beside later ones
// until they expire.
type loanKey struct {
	view      uint64
	limit     string
	partition uint32
}

type heldLoan struct {
	number uint64
	share  Share
}

// Share is a fraction of a limit that may be used until a time.
type Share struct {
	Fraction float64
	Until    time.Time
}

// Step takes one event and returns the actions to carry out, in order.
func (b *Borrower) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case ViewChanged:
		b.setView(now, e.View)
	case ViewConfirmed:
		if e.At.After(b.confirmedAt) {
			b.confirmedAt = e.At
		}
	case DemandChanged:
		return b.buildRequests(now, e.Demands)
	case ResponseReceived:
		b.applyResponse(now, e)
	}
	return nil
}

func (b *Borrower) setView(now time.Time, view *messages.EntryView) {
	if view.GetNumber() <= b.view.GetNumber() {
		return
	}
	b.previousFloor = b.GuaranteedShare(now)
	// An entry that was out of contact may have been removed by a view in between.
	// Its floor may then have been given to other entries, which use it until they
	// receive a newer view.
	if now.Sub(b.confirmedAt) >= b.ViewTTL {
		b.previousFloor = 0
	}
	b.view = view
	b.viewReceivedAt = now
}

// GuaranteedShare returns the fraction of every limit that this entry may use without a loan,
// as long as it serves at all.
//
// Entries of the previous view may still use their floors until they receive this
// view or fence themselves. Until then the smaller of both floors is used, and none
// by a new entry; otherwise a growing view would give out more than the floors'
// fraction of the limit.
func (b *Borrower) GuaranteedShare(now time.Time) float64 {
	if !b.member() {
		return 0
	}
	floor := lender.GuaranteedFraction / float64(len(b.view.GetMembers()))
	if b.view.GetNumber() > 1 && now.Sub(b.viewReceivedAt) < lender.ViewChangeWait(b.ViewTTL) {
		return min(floor, b.previousFloor)
	}
	return floor
}

func (b *Borrower) member() bool {
	return slices.ContainsFunc(b.view.GetMembers(), func(member *messages.EntryMember) bool {
		return member.GetEntry() == string(b.Self) && member.GetIncarnation() == b.Incarnation
	})
}

// Shares returns the loans of a limit that may be used now.
func (b *Borrower) Shares(now time.Time, limit string) []Share {
	var shares []Share
	for loanKey, loan := range b.loans {
		if loanKey.limit == limit && now.Before(loan.share.Until) {
			shares = append(shares, loan.share)
		}
	}
	return shares
}

// buildRequests returns one request for each owner of a partition that the entry
// wants.
func (b *Borrower) buildRequests(now time.Time, demands map[string]Demand) []Action {
	b.dropExpired(now)
	if !b.member() {
		return nil
	}
	sends := make(map[string]*SendRequest)
	floor := b.GuaranteedShare(now)
	for _, limit := range slices.Sorted(maps.Keys(demands)) {
		demand := demands[limit]
		owners := b.owners(limit)
		for partition := range uint32(lender.Partitions) {
			owner := owners[int(partition)%len(owners)]
			send := sends[owner.GetEntry()]
			if send == nil {
				send = &SendRequest{
					Member: owner,
					Request: &messages.ShareRequest{
						Entry:      string(b.Self),
						ViewNumber: b.view.GetNumber(),
					},
				}
				sends[owner.GetEntry()] = send
			}
			send.Request.Demands = append(send.Request.Demands, &messages.ShareDemand{
				Limit:  limit,
				Part:   partition,
				Wanted: max(0, demand.Offered*demandHeadroom-floor) / lender.Partitions,
				InUse:  max(0, demand.InUse-floor) / lender.Partitions,
				Held:   b.loans[b.loanKey(limit, partition)].number,
			})
		}
	}
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(sends)) {
		actions = append(actions, *sends[name])
	}
	return actions
}

// owners returns the members that lend a limit's partitions, chosen by rendezvous
// hashing so that a change of the view moves few limits to other lenders.
func (b *Borrower) owners(limit string) []*messages.EntryMember {
	members := slices.Clone(b.view.GetMembers())
	slices.SortFunc(members, func(one, other *messages.EntryMember) int {
		return cmp.Or(
			cmp.Compare(rendezvousWeight(limit, other), rendezvousWeight(limit, one)),
			cmp.Compare(one.GetEntry(), other.GetEntry()),
		)
	})
	return members[:min(len(members), lender.Partitions)]
}

func rendezvousWeight(limit string, member *messages.EntryMember) uint64 {
	return xxhash.Sum64String(limit + "\x00" + member.GetEntry())
}

func (b *Borrower) loanKey(limit string, partition uint32) loanKey {
	return loanKey{
		view:      b.view.GetNumber(),
		limit:     limit,
		partition: partition,
	}
}

// applyResponse stores the loans of a response. The lease runs from when the
// request was sent, which is before the lender made the loan, so that it ends here
// before the lender counts the loan as returned, however late the response is. A
// loan older than the one held is dropped, since this entry has reported to the
// lender that it does not use it. A response to an earlier incarnation of this
// entry is dropped too, since that incarnation may have reported the same.
func (b *Borrower) applyResponse(now time.Time, event ResponseReceived) {
	if event.Response.GetViewNumber() != b.view.GetNumber() || !b.member() {
		return
	}
	if b.loans == nil {
		b.loans = make(map[loanKey]heldLoan)
	}
	for _, loan := range event.Response.GetLoans() {
		id := b.loanKey(loan.GetLimit(), loan.GetPart())
		until := event.SentAt.Add(time.Duration(loan.GetLeaseMs()) * time.Millisecond)
		if loan.GetNumber() <= b.loans[id].number {
			continue
		}
		b.loans[id] = heldLoan{
			number: loan.GetNumber(),
			share: Share{
				Fraction: loan.GetFraction(),
				Until:    until,
			},
		}
	}
	b.dropExpired(now)
}

// dropExpired drops expired loans of earlier views; those of this view are kept for
// their numbers.
func (b *Borrower) dropExpired(now time.Time) {
	maps.DeleteFunc(b.loans, func(loanKey loanKey, loan heldLoan) bool {
		return loanKey.view != b.view.GetNumber() && !now.Before(loan.share.Until)
	})
}
