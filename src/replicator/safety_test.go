package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// stepsPerRun is the number of steps in each of rapid's 100 runs of a check.
	stepsPerRun = 400
	// maxInFlight bounds the delayed messages.
	maxInFlight = 60
)

// Operators submit while messages are lost, duplicated, reordered and cut in one
// direction or both, and instances crash before a write is synced, are suspended
// beyond their lease, lose disks and restart. No schedule may lead to two leaders in
// a term, a changed committed record, a decreasing version, two winners of a version,
// or a leader whose answer is older than what an operator has already received.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{2, 3, 3, 4, 4, 5}).Draw(t, "voters")
		faultInjector := &faultInjector{
			draws:   t,
			cluster: newCluster(t, voters+rapid.IntRange(0, 2).Draw(t, "spares"), voters),
			voters:  voters,
		}
		faultInjector.runWithoutFaults(60)
		for range stepsPerRun {
			faultInjector.injectFault()
			faultInjector.checkLeaderVersions()
		}
		faultInjector.removeFaults()
		faultInjector.runWithoutFaults(1200)
		faultInjector.checkRecovered()
	})
}

// faultInjector draws faults. It lets a majority of the committed voters, or half of an even
// number, keep their disks, since the log guarantees nothing beyond that.
type faultInjector struct {
	*cluster
	draws   *rapid.T
	voters  int
	version uint64
}

func (f *faultInjector) injectFault() {
	m := f.drawMember()
	switch kind := rapid.IntRange(0, 99).Draw(f.draws, "kind"); {
	case kind < 35:
		f.tick(time.Duration(rapid.IntRange(1, 150).Draw(f.draws, "ms")) * time.Millisecond)
		f.deliverSome()
	case kind < 43:
		f.tick(time.Duration(rapid.IntRange(400, 1200).Draw(f.draws, "ms")) * time.Millisecond)
	case kind < 52:
		f.deliverOne()
	case kind < 58:
		f.runWithSubmissions(rapid.IntRange(1, 100).Draw(f.draws, "steady"))
	case kind < 68:
		f.submitAt(m)
	case kind < 74:
		m.node = nil
	case kind < 75:
		for _, other := range f.members {
			other.node = nil
		}
	case kind < 87:
		f.restartSome()
	case kind < 91:
		m.frozen = !m.frozen
	case kind < 94:
		other := rapid.SampledFrom(f.members).Draw(f.draws, "other")
		f.cutLinks[[2]units.Instance{m.name, other.name}] = true
		if rapid.Bool().Draw(f.draws, "both") {
			f.cutLinks[[2]units.Instance{other.name, m.name}] = true
		}
	case kind < 96:
		clear(f.cutLinks)
	default:
		f.replaceDisk(m)
	}
}

// runWithSubmissions lets time pass without faults other than cut links, while
// operators submit to every member that considers itself the leader.
func (f *faultInjector) runWithSubmissions(rounds int) {
	for round := range rounds {
		f.runWithoutFaults(1)
		if round%8 > 0 {
			continue
		}
		for _, m := range f.members {
			if m.running() && m.isLeader {
				f.version++
				f.submit(m, f.version, "operator-1")
			}
		}
	}
}

// drawMember draws a member, in half of the cases one that considers itself the
// leader, since a leader's faults matter most.
func (f *faultInjector) drawMember() *member {
	candidates := f.members
	if rapid.Bool().Draw(f.draws, "leading") {
		var leading []*member
		for _, m := range f.members {
			if m.node != nil && m.isLeader {
				leading = append(leading, m)
			}
		}
		if len(leading) > 0 {
			candidates = leading
		}
	}
	return rapid.SampledFrom(candidates).Draw(f.draws, "member")
}

func (f *faultInjector) restartSome() {
	for _, m := range f.members {
		if m.node == nil && rapid.IntRange(0, 2).Draw(f.draws, "start") > 0 {
			m.clockOffset += time.Duration(rapid.IntRange(-5000, 5000).Draw(f.draws, "jump")) * time.Millisecond
			m.start(f.voters)
		}
	}
}

// deliverSome delivers some of the messages in random order, and loses some.
func (f *faultInjector) deliverSome() {
	count := rapid.IntRange(0, len(f.inFlight)).Draw(f.draws, "burst")
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(f.draws, "order"), 0))
	lost := rapid.SampledFrom([]int{0, 0, 10, 30}).Draw(f.draws, "lost")
	for range count {
		if len(f.inFlight) == 0 {
			return
		}
		at := random.IntN(len(f.inFlight))
		if random.IntN(100) < lost {
			f.inFlight = slices.Delete(f.inFlight, at, at+1)
			continue
		}
		f.deliverAt(at)
	}
	if len(f.inFlight) > maxInFlight {
		f.inFlight = slices.Clone(f.inFlight[len(f.inFlight)-maxInFlight:])
	}
}

// deliverOne delivers, duplicates or drops one message, or crashes its receiver
// while it handles the message.
func (f *faultInjector) deliverOne() {
	if len(f.inFlight) == 0 {
		return
	}
	at := rapid.IntRange(0, len(f.inFlight)-1).Draw(f.draws, "message")
	switch kind := rapid.IntRange(0, 19).Draw(f.draws, "fate"); {
	case kind < 14:
		f.deliverAt(at)
	case kind < 16:
		f.deliverMessage(f.inFlight[at], -1)
	case kind < 19:
		f.inFlight = slices.Delete(f.inFlight, at, at+1)
	default:
		message := f.inFlight[at]
		f.inFlight = slices.Delete(f.inFlight, at, at+1)
		f.deliverMessage(message, rapid.IntRange(0, 3).Draw(f.draws, "crash"))
	}
}

// submitAt submits at a member as one of several operators, who race with equal
// version numbers and resend.
func (f *faultInjector) submitAt(m *member) {
	if !m.running() || !m.node.hasLog() {
		return
	}
	if rapid.Bool().Draw(f.draws, "new") {
		f.version++
	}
	operator := fmt.Sprintf("operator-%d", rapid.IntRange(1, 3).Draw(f.draws, "operator"))
	f.submit(m, max(1, f.version), operator)
}

// replaceDisk replaces a member's disk by an empty one if at least half of the voters of every
// membership that may be in effect, now or after the next steps of a repair, keep their disks.
func (f *faultInjector) replaceDisk(m *member) {
	current := make(map[units.VoterID]bool)
	for _, other := range f.members {
		current[other.id] = true
	}
	for _, other := range f.members {
		if other.disk.Snapshot == nil {
			continue
		}
		for _, stored := range other.storedMemberships() {
			for _, voters := range reachableVoters(stored.membership, current) {
				kept := 0
				for _, voter := range voters {
					if current[voter] && voter != m.id {
						kept++
					}
				}
				if 2*kept < len(voters) {
					return
				}
			}
		}
	}
	m.node = nil
	m.loseDisk()
	m.start(f.voters)
}

// reachableVoters returns the voters of a membership, and those after the next steps of a repair:
// without the voters whose instances have other identities by now, and then with the learners.
func reachableVoters(membership *messages.Membership, current map[units.VoterID]bool) [][]units.VoterID {
	voters := votersOf(membership)
	var remaining, promoted []units.VoterID
	for _, voter := range voters {
		if current[voter] {
			remaining = append(remaining, voter)
		}
	}
	promoted = append(promoted, remaining...)
	for _, member := range membership.GetMembers() {
		if member.GetLearner() {
			promoted = append(promoted, units.VoterID(member.GetId()))
		}
	}
	return [][]units.VoterID{voters, remaining, promoted}
}

// storedMemberships returns the memberships on a member's disk that may be in effect.
func (m *member) storedMemberships() memberships {
	all := memberships{{
		index:      units.Index(m.disk.Snapshot.GetIndex()),
		membership: m.disk.Snapshot.GetMembership(),
	}}
	if len(m.disk.Records) > 0 {
		all = all.replaceFrom(m.disk.Records)
	}
	return all
}

func (f *faultInjector) removeFaults() {
	clear(f.cutLinks)
	for _, m := range f.members {
		m.frozen = false
		if m.node == nil {
			m.start(f.voters)
		}
	}
}

// checkRecovered checks that a leader accepts a change after the faults have ended,
// and that the repair has restored the number of voters.
func (f *faultInjector) checkRecovered() {
	leader := f.leader()
	if leader == nil {
		f.t.Fatalf("no leader after the faults ended: %s", f.describe())
	}
	f.version = max(f.version, uint64(leader.state.Version())) + 1
	f.submit(leader, f.version, "operator-1")
	f.runWithoutFaults(20)
	if got, want := f.acked, units.Version(f.version); got != want {
		f.t.Fatalf("accepted after the faults ended: got version %d, want %d", got, want)
	}
	if got, want := len(f.leader().node.voters), f.voters; got != want {
		f.t.Fatalf("voters after the repair: got %d, want %d: %s", got, want, f.describe())
	}
}

func (f *faultInjector) describe() string {
	text := ""
	for _, m := range f.members {
		text += fmt.Sprintf("\n%s term %d role %s log %s last %d commit %d membership %v",
			m.id, m.node.term, m.node.role, m.node.logID, m.node.log.lastIndex(), m.node.commit, m.node.membership)
	}
	return text
}
