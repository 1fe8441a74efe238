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

// headroom is how much more than its calls offered an entry asks for, so that
// growing demand is not refused until the next loan.
const headroom = 1.5

// Borrower holds the shares of one entry; its fields are set before the first Step.
type Borrower struct {
	Self        units.Instance
	Incarnation uint64
	// Hold is how long entries of an earlier view may still use its shares.
	Hold time.Duration

	view      *messages.EntryView
	learnedAt time.Time
	confirmed time.Time
	// before is the floor of the view before, 0 for an entry that was no member.
	before float64
	loans  map[key]held
}

// key names a loan; loans of an earlier view stand beside later ones until they end.
type key struct {
	view  uint64
	limit string
	part  uint32
}

type held struct {
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
	case Viewed:
		b.follow(now, e.View)
	case Confirmed:
		if e.At.After(b.confirmed) {
			b.confirmed = e.At
		}
	case Wanted:
		return b.ask(now, e.Demands)
	case Answered:
		b.take(now, e)
	}
	return nil
}

func (b *Borrower) follow(now time.Time, view *messages.EntryView) {
	if view.GetNumber() <= b.view.GetNumber() {
		return
	}
	b.before = b.Floor(now)
	// An entry that was out of contact may have been left out in between, and
	// its part of the floors given to others, who use it until they learn more.
	if now.Sub(b.confirmed) >= b.Hold {
		b.before = 0
	}
	b.view = view
	b.learnedAt = now
}

// Floor returns the fraction of every limit that this entry may use without a
// loan, as long as it serves at all.
//
// Entries of the view before may still use their floors until they learn of
// this one or fence themselves. Until then the smaller of both floors is used,
// and none by an entry that is new; otherwise a view that grows would give out
// more than the floors' part of the limit.
func (b *Borrower) Floor(now time.Time) float64 {
	if !b.member() {
		return 0
	}
	floor := lender.Floors / float64(len(b.view.GetMembers()))
	if b.view.GetNumber() > 1 && now.Sub(b.learnedAt) < lender.Wait(b.Hold) {
		return min(floor, b.before)
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
	for key, loan := range b.loans {
		if key.limit == limit && now.Before(loan.share.Until) {
			shares = append(shares, loan.share)
		}
	}
	return shares
}

// ask returns one request for each owner of a part that the entry wants.
func (b *Borrower) ask(now time.Time, demands map[string]Demand) []Action {
	b.forget(now)
	if !b.member() {
		return nil
	}
	asks := make(map[string]*Ask)
	floor := b.Floor(now)
	for _, limit := range slices.Sorted(maps.Keys(demands)) {
		demand := demands[limit]
		owners := b.owners(limit)
		for part := range uint32(lender.Parts) {
			owner := owners[int(part)%len(owners)]
			next := asks[owner.GetEntry()]
			if next == nil {
				next = &Ask{
					Member: owner,
					Request: &messages.ShareRequest{
						Entry:      string(b.Self),
						ViewNumber: b.view.GetNumber(),
					},
				}
				asks[owner.GetEntry()] = next
			}
			next.Request.Demands = append(next.Request.Demands, &messages.ShareDemand{
				Limit:  limit,
				Part:   part,
				Wanted: max(0, demand.Offered*headroom-floor) / lender.Parts,
				InUse:  max(0, demand.InUse-floor) / lender.Parts,
				Held:   b.loans[b.key(limit, part)].number,
			})
		}
	}
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(asks)) {
		actions = append(actions, *asks[name])
	}
	return actions
}

// owners returns the members that lend a limit's parts, by rendezvous hashing,
// so that a change of the view moves few limits to other lenders.
func (b *Borrower) owners(limit string) []*messages.EntryMember {
	members := slices.Clone(b.view.GetMembers())
	slices.SortFunc(members, func(one, other *messages.EntryMember) int {
		return cmp.Or(
			cmp.Compare(weight(limit, other), weight(limit, one)),
			cmp.Compare(one.GetEntry(), other.GetEntry()),
		)
	})
	return members[:min(len(members), lender.Parts)]
}

func weight(limit string, member *messages.EntryMember) uint64 {
	return xxhash.Sum64String(limit + "\x00" + member.GetEntry())
}

func (b *Borrower) key(limit string, part uint32) key {
	return key{
		view:  b.view.GetNumber(),
		limit: limit,
		part:  part,
	}
}

// take notes the loans of an answer. The lease runs from when the request was
// sent, which is before the lender made the loan, so that it ends here before
// the lender counts it as returned, however late the answer is. An earlier loan
// than the one held is dropped: the lender has been told that it is not used. So
// is an answer to an earlier life of this entry, which may have said the same of it.
func (b *Borrower) take(now time.Time, e Answered) {
	if e.Response.GetViewNumber() != b.view.GetNumber() || !b.member() {
		return
	}
	if b.loans == nil {
		b.loans = make(map[key]held)
	}
	for _, loan := range e.Response.GetLoans() {
		at := b.key(loan.GetLimit(), loan.GetPart())
		until := e.SentAt.Add(time.Duration(loan.GetLeaseMs()) * time.Millisecond)
		if loan.GetNumber() <= b.loans[at].number {
			continue
		}
		b.loans[at] = held{
			number: loan.GetNumber(),
			share: Share{
				Fraction: loan.GetFraction(),
				Until:    until,
			},
		}
	}
	b.forget(now)
}

// forget drops ended loans of earlier views; one of this view stays for its number.
func (b *Borrower) forget(now time.Time) {
	maps.DeleteFunc(b.loans, func(key key, loan held) bool {
		return key.view != b.view.GetNumber() && !now.Before(loan.share.Until)
	})
}
