package replicator

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// candidate is a member or spare as the repair sees it.
type candidate struct {
	id         units.VoterID
	dataCentre units.DataCentre
	learner    bool
	self       bool
	// live is false for a member that stayed silent for the repair period.
	live bool
	// current says that a learner holds all that is committed.
	current bool
}

// repairPlan is what a repair decides on.
type repairPlan struct {
	wanted  int
	members []candidate
	spares  []candidate
}

// change is one step of a repair; an empty id is no step.
type change struct {
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
// over data centres. A voter is added before one is removed: in between, the
// larger set needs a majority that the newcomer helps to make.
func (r *repairPlan) next() change {
	for _, m := range r.members {
		if m.learner {
			return r.settleLearner(m)
		}
	}
	if voters := r.voters(); len(voters) > r.wanted {
		return r.dismiss(voters)
	}
	best := r.bestSpare()
	if best.id == "" || !r.helps(best.dataCentre) {
		return change{}
	}
	return change{
		id:     best.id,
		kind:   addLearner,
		centre: best.dataCentre,
	}
}

func (r *repairPlan) settleLearner(learner candidate) change {
	switch {
	case !learner.live || !r.helps(learner.dataCentre):
		return change{
			id:   learner.id,
			kind: remove,
		}
	case learner.current:
		return change{
			id:   learner.id,
			kind: promote,
		}
	}
	return change{}
}

// dismiss removes a voter that is gone, else one that shares its data centre. The
// leader holds a majority, so that the rest keeps one.
func (r *repairPlan) dismiss(voters []candidate) change {
	worst := candidate{}
	rank := -1
	for _, v := range voters {
		if v.self {
			continue
		}
		own := 0
		if r.inCentre(v.dataCentre) > 1 {
			own = 1
		}
		if !v.live {
			own = 2
		}
		if own >= rank {
			worst, rank = v, own
		}
	}
	if worst.id == "" {
		return change{}
	}
	return change{
		id:   worst.id,
		kind: remove,
	}
}

// helps reports whether a voter in this data centre would replace one that is
// gone, or spread the voters further.
func (r *repairPlan) helps(centre units.DataCentre) bool {
	live := 0
	shared := false
	for _, v := range r.voters() {
		if !v.live {
			continue
		}
		live++
		shared = shared || r.inCentre(v.dataCentre) > 1
	}
	return live < r.wanted || shared && r.inCentre(centre) == 0
}

// bestSpare prefers a data centre without a live voter, then the lowest name.
func (r *repairPlan) bestSpare() candidate {
	best := candidate{}
	for _, s := range r.spares {
		if best.id == "" || r.inCentre(s.dataCentre) < r.inCentre(best.dataCentre) {
			best = s
		}
	}
	return best
}

func (r *repairPlan) voters() []candidate {
	var voters []candidate
	for _, m := range r.members {
		if !m.learner {
			voters = append(voters, m)
		}
	}
	return voters
}

// inCentre counts the live voters of a data centre.
func (r *repairPlan) inCentre(centre units.DataCentre) int {
	count := 0
	for _, v := range r.voters() {
		if v.live && v.dataCentre == centre {
			count++
		}
	}
	return count
}

// repair proposes the next membership where one is needed.
func (n *Node) repair(now time.Time) {
	if !n.Lead(now) || !n.mayChange() {
		return
	}
	plan := n.repairPlan(now)
	if step := plan.next(); step.id != "" {
		next := changed(n.membership, step)
		if n.allowed(next) {
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
		wanted: n.options.Voters,
	}
	returned := make(map[units.Instance]bool)
	for _, id := range slices.Sorted(maps.Keys(n.spares)) {
		s := n.spares[id]
		if now.Sub(s.heardAt) > n.options.Election*spareExpiry {
			delete(n.spares, id)
			continue
		}
		if !n.holds(id) {
			returned[id.Instance()] = true
			plan.spares = append(plan.spares, candidate{
				id:         id,
				dataCentre: s.dataCentre,
			})
		}
	}
	// The last member of an instance is its newest life.
	for _, member := range slices.Backward(n.membership.GetMembers()) {
		plan.members = append(plan.members, n.assess(now, member, returned))
		returned[units.VoterID(member.GetId()).Instance()] = true
	}
	slices.Reverse(plan.members)
	return plan
}

func (n *Node) assess(now time.Time, member *messages.Member, returned map[units.Instance]bool) candidate {
	id := units.VoterID(member.GetId())
	c := candidate{
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
	heard := p.since
	if p.ackedAt.After(heard) {
		heard = p.ackedAt
	}
	// An instance that comes back under another identity has lost the disk of
	// the old one, so that nothing is gained by waiting for it.
	c.live = now.Sub(heard) <= n.options.Repair && !returned[id.Instance()]
	// From its promotion to the removal of the voter that it replaces, the loss of
	// the newcomer would leave no majority; one that was not just heard waits.
	c.current = p.transfer == nil && p.match >= n.commit && now.Sub(p.ackedAt) < n.options.Election/2
	return c
}

func (n *Node) holds(id units.VoterID) bool {
	for _, member := range n.membership.GetMembers() {
		if units.VoterID(member.GetId()) == id {
			return true
		}
	}
	return false
}

// changed returns the membership after one step.
func changed(membership *messages.Membership, step change) *messages.Membership {
	next := &messages.Membership{
		Number: membership.GetNumber() + 1,
	}
	for _, member := range membership.GetMembers() {
		own := member.GetId() == string(step.id)
		if own && step.kind == remove {
			continue
		}
		kept := proto.CloneOf(member)
		if own && step.kind == promote {
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
