package replicator

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// memberStatus is the state of a member or spare that a repair depends on.
type memberStatus struct {
	id         units.VoterID
	dataCentre units.DataCentre
	learner    bool
	self       bool
	// live is false for a member that has not answered for the repair timeout, or that is
	// replaced.
	live bool
	// replaced is set where the instance has returned with another identity, so that this
	// one is lost for good.
	replaced bool
	// caughtUp reports that a learner holds all committed records and has answered recently.
	caughtUp bool
}

// repairPlan is the input of a repair decision.
type repairPlan struct {
	wanted  int
	members []memberStatus
	spares  []memberStatus
}

// membershipChange is one step of a repair; an empty id means no step.
type membershipChange struct {
	id     units.VoterID
	kind   changeKind
	centre units.DataCentre
}

type changeKind int

const (
	addLearner changeKind = iota + 1
	promote
	remove
)

// next returns the next step towards the wanted number of live voters, spread
// over data centres. A voter is added before one is removed that may return: in
// between, the larger set needs a larger majority, of which the new voter can be part.
func (r *repairPlan) next() membershipChange {
	for _, m := range r.members {
		if m.learner {
			return r.changeLearner(m)
		}
	}
	if voters := r.voters(); len(voters) > r.wanted {
		return r.removeVoter(voters)
	}
	best := r.bestSpare()
	if best.id == "" || !r.wouldImprove(best.dataCentre) {
		return membershipChange{}
	}
	return membershipChange{
		id:     best.id,
		kind:   addLearner,
		centre: best.dataCentre,
	}
}

func (r *repairPlan) changeLearner(learner memberStatus) membershipChange {
	switch {
	case !learner.live || !r.wouldImprove(learner.dataCentre):
		return membershipChange{
			id:   learner.id,
			kind: remove,
		}
	case learner.caughtUp:
		return r.promoteLearner(learner)
	}
	return membershipChange{}
}

// promoteLearner makes a learner a voter, after a voter that is lost for good was removed.
// With both, an instance that lost its disk once more would count as two lost voters, and
// of four voters no majority would be left.
func (r *repairPlan) promoteLearner(learner memberStatus) membershipChange {
	for _, v := range r.voters() {
		if v.replaced && !v.self {
			return membershipChange{
				id:   v.id,
				kind: remove,
			}
		}
	}
	return membershipChange{
		id:   learner.id,
		kind: promote,
	}
}

// removeVoter removes a voter that is not live, or else one that shares its data
// centre. The leader has a majority, so that the remaining voters still have one.
func (r *repairPlan) removeVoter(voters []memberStatus) membershipChange {
	worst := memberStatus{}
	highest := -1
	for _, v := range voters {
		if v.self {
			continue
		}
		priority := 0
		if r.liveVotersIn(v.dataCentre) > 1 {
			priority = 1
		}
		if !v.live {
			priority = 2
		}
		if priority >= highest {
			worst, highest = v, priority
		}
	}
	if worst.id == "" {
		return membershipChange{}
	}
	return membershipChange{
		id:   worst.id,
		kind: remove,
	}
}

// wouldImprove reports whether a voter in this data centre would replace one that is
// not live, or spread the voters over more data centres.
func (r *repairPlan) wouldImprove(centre units.DataCentre) bool {
	live := 0
	shared := false
	for _, v := range r.voters() {
		if !v.live {
			continue
		}
		live++
		shared = shared || r.liveVotersIn(v.dataCentre) > 1
	}
	return live < r.wanted || shared && r.liveVotersIn(centre) == 0
}

// bestSpare returns the spare in the data centre with the fewest live voters, and
// among those the one with the lowest id.
func (r *repairPlan) bestSpare() memberStatus {
	best := memberStatus{}
	for _, s := range r.spares {
		if best.id == "" || r.liveVotersIn(s.dataCentre) < r.liveVotersIn(best.dataCentre) {
			best = s
		}
	}
	return best
}

func (r *repairPlan) voters() []memberStatus {
	var voters []memberStatus
	for _, m := range r.members {
		if !m.learner {
			voters = append(voters, m)
		}
	}
	return voters
}

// liveVotersIn returns the number of live voters in a data centre.
func (r *repairPlan) liveVotersIn(centre units.DataCentre) int {
	count := 0
	for _, v := range r.voters() {
		if v.live && v.dataCentre == centre {
			count++
		}
	}
	return count
}

// repair proposes the next membership if one is needed.
func (n *Node) repair(now time.Time) {
	if !n.IsConfirmedLeader(now) || !n.canChangeMembership() {
		return
	}
	plan := n.repairPlan(now)
	if step := plan.next(); step.id != "" {
		next := changeMembership(n.membership, step)
		if n.canChangeTo(next) {
			n.appendRecord(now, &messages.Command{
				Change: &messages.Command_Membership{
					Membership: next,
				},
			})
		}
	}
}

func (n *Node) repairPlan(now time.Time) *repairPlan {
	plan := &repairPlan{
		wanted: n.options.VoterCount,
	}
	returned := make(map[units.Instance]bool)
	for _, id := range slices.Sorted(maps.Keys(n.spares)) {
		s := n.spares[id]
		if now.Sub(s.lastHelloAt) > n.options.ElectionTimeout*spareExpiry {
			delete(n.spares, id)
			continue
		}
		if !n.isMember(id) {
			returned[id.Instance()] = true
			plan.spares = append(plan.spares, memberStatus{
				id:         id,
				dataCentre: s.dataCentre,
			})
		}
	}
	// The last member of an instance is its newest identity.
	for _, member := range slices.Backward(n.membership.GetMembers()) {
		plan.members = append(plan.members, n.statusOf(now, member, returned))
		returned[units.VoterID(member.GetId()).Instance()] = true
	}
	slices.Reverse(plan.members)
	return plan
}

func (n *Node) statusOf(now time.Time, member *messages.Member, returned map[units.Instance]bool) memberStatus {
	id := units.VoterID(member.GetId())
	c := memberStatus{
		id:         id,
		dataCentre: units.DataCentre(member.GetDataCentre()),
		learner:    member.GetLearner(),
		self:       id == n.options.ID,
		live:       true,
	}
	if c.self {
		return c
	}
	p := n.peers[id]
	lastContact := p.trackedSince
	if p.ackedAt.After(lastContact) {
		lastContact = p.ackedAt
	}
	// An instance that returns with another identity has lost the disk of the old
	// one, so that waiting for the old one is pointless.
	c.replaced = returned[id.Instance()]
	c.live = now.Sub(lastContact) <= n.options.RepairTimeout && !c.replaced
	// Between the promotion of a learner and the removal of the voter that it
	// replaces, the loss of the new voter would leave no majority. So a learner that
	// has not answered for half an election timeout is not promoted.
	c.caughtUp = p.snapshotTransfer == nil && p.match >= n.commit && now.Sub(p.ackedAt) < n.options.ElectionTimeout/2
	return c
}

// isMember reports whether id is a voter or learner of the current membership.
func (n *Node) isMember(id units.VoterID) bool {
	for _, member := range n.membership.GetMembers() {
		if units.VoterID(member.GetId()) == id {
			return true
		}
	}
	return false
}

// changeMembership returns a copy of membership with one step applied.
func changeMembership(membership *messages.Membership, step membershipChange) *messages.Membership {
	next := &messages.Membership{
		Number: membership.GetNumber() + 1,
	}
	for _, member := range membership.GetMembers() {
		affected := member.GetId() == string(step.id)
		if affected && step.kind == remove {
			continue
		}
		kept := proto.CloneOf(member)
		if affected && step.kind == promote {
			kept.Learner = false
		}
		next.Members = append(next.Members, kept)
	}
	if step.kind == addLearner {
		next.Members = append(next.Members, &messages.Member{
			Id:         string(step.id),
			DataCentre: string(step.centre),
			Learner:    true,
		})
	}
	return next
}
