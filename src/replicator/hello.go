package replicator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// EligibleInstance is one instance that may run a voter, with its data centre.
type EligibleInstance struct {
	Instance   units.Instance
	DataCentre units.DataCentre
}

// helloAnswer is an instance's last answer to a hello.
type helloAnswer struct {
	id         units.VoterID
	hasLog     bool
	receivedAt time.Time
}

// spare is an instance that is not a member and could become one.
type spare struct {
	dataCentre  units.DataCentre
	lastHelloAt time.Time
}

// chooseInitialVoters returns the voters of a new log: one from each data centre
// in the order of the list, then the rest of the list, up to the wanted number.
func chooseInitialVoters(instances []EligibleInstance, wanted int) []EligibleInstance {
	var initial, rest []EligibleInstance
	covered := make(map[units.DataCentre]bool)
	for _, instance := range instances {
		if covered[instance.DataCentre] {
			rest = append(rest, instance)
			continue
		}
		covered[instance.DataCentre] = true
		initial = append(initial, instance)
	}
	initial = append(initial, rest...)
	return initial[:min(wanted, len(initial))]
}

// hasLog reports whether this voter belongs to a log.
func (n *Node) hasLog() bool { return n.snapshot != nil }

// sendHellos asks the other instances for a log to join while no leader is known.
func (n *Node) sendHellos(now time.Time) {
	leaderless := now.Sub(n.leaderContactAt) > helloSilence*n.options.ElectionTimeout
	if n.hasLog() && !leaderless || now.Before(n.nextHelloAt) {
		return
	}
	n.nextHelloAt = now.Add(n.options.ElectionTimeout / 2)
	for _, instance := range n.otherInstances() {
		n.sendTo(units.VoterID(instance), n.term, &messages.LogMessage{
			Body: &messages.LogMessage_Hello{
				Hello: &messages.Hello{
					DataCentre: string(n.options.DataCentre),
				},
			},
		})
	}
	n.bootstrap(now)
}

// maxKnownInstances bounds the instances that are recorded beyond the settings and
// the membership. It is several times the number that run a voter.
const maxKnownInstances = 64

// addKnownInstance records an instance that may be missing from the settings: those
// name only a few instances, which may all have been replaced since.
func (n *Node) addKnownInstance(instance units.Instance, centre units.DataCentre) {
	known, found := n.knownInstances[instance]
	if instance == "" || instance == n.options.ID.Instance() || !found && len(n.knownInstances) >= maxKnownInstances {
		return
	}
	if centre == "" {
		centre = known
	}
	n.knownInstances[instance] = centre
}

// otherInstances returns all other instances that may belong to the log, sorted.
func (n *Node) otherInstances() []units.Instance {
	all := make(map[units.Instance]struct{})
	for instance := range n.knownInstances {
		all[instance] = struct{}{}
	}
	for _, listed := range n.options.Instances {
		all[listed.Instance] = struct{}{}
	}
	for _, member := range n.membership.GetMembers() {
		all[units.VoterID(member.GetId()).Instance()] = struct{}{}
	}
	delete(all, n.options.ID.Instance())
	return slices.Sorted(maps.Keys(all))
}

// AddInstance records an instance that may belong to the log.
func (n *Node) AddInstance(instance units.Instance) { n.addKnownInstance(instance, "") }

// OtherInstances returns all other known instances, sorted.
func (n *Node) OtherInstances() []units.Instance { return n.otherInstances() }

func (n *Node) handleHello(now time.Time, m *messages.LogMessage, hello *messages.Hello) {
	from := units.VoterID(m.GetFrom())
	n.addKnownInstance(from.Instance(), units.DataCentre(hello.GetDataCentre()))
	foreign := m.GetLogId() != "" && m.GetLogId() != n.logID
	if n.role == Leader && !foreign {
		n.spares[from] = &spare{
			dataCentre:  units.DataCentre(hello.GetDataCentre()),
			lastHelloAt: now,
		}
	}
	response := &messages.HelloResponse{
		Leader: string(n.leader),
	}
	if n.hasLog() && n.snapshot.GetIndex() == 0 {
		response.Founding = n.snapshot.GetMembership()
	}
	n.sendTo(from, n.term, &messages.LogMessage{
		Body: &messages.LogMessage_HelloResponse{
			HelloResponse: response,
		},
	})
}

func (n *Node) handleHelloResponse(now time.Time, m *messages.LogMessage, response *messages.HelloResponse) {
	from := units.VoterID(m.GetFrom())
	n.addKnownInstance(from.Instance(), "")
	n.addKnownInstance(units.Instance(response.GetLeader()), "")
	if n.hasLog() {
		return
	}
	n.helloAnswers[from.Instance()] = helloAnswer{
		id:         from,
		hasLog:     m.GetLogId() != "",
		receivedAt: now,
	}
	for _, member := range response.GetFounding().GetMembers() {
		if units.VoterID(member.GetId()) == n.options.ID {
			n.startLog(now, m.GetLogId(), response.GetFounding())
			return
		}
	}
	n.bootstrap(now)
}

// bootstrap starts a new log. Only the first of the initial voters does so, and only
// once every instance in the settings has recently answered that it belongs to no
// log. If a subset of them were enough, a majority that lost its disks would start
// an empty log beside the surviving voters, and every accepted change would be lost.
func (n *Node) bootstrap(now time.Time) {
	initial := chooseInitialVoters(n.options.Instances, n.options.VoterCount)
	if n.hasLog() || n.options.JoinOnly || len(initial) == 0 || initial[0].Instance != n.options.ID.Instance() {
		return
	}
	ids := map[units.Instance]units.VoterID{
		n.options.ID.Instance(): n.options.ID,
	}
	for _, listed := range n.options.Instances {
		if listed.Instance == n.options.ID.Instance() {
			continue
		}
		answer, known := n.helloAnswers[listed.Instance]
		if !known || answer.hasLog || now.Sub(answer.receivedAt) > helloSilence*n.options.ElectionTimeout {
			return
		}
		ids[listed.Instance] = answer.id
	}
	membership := &messages.Membership{
		Number: 1,
	}
	for _, voter := range initial {
		centre := n.dataCentreOf(voter)
		if centre == "" {
			return
		}
		membership.Members = append(membership.Members, &messages.Member{
			Id:         string(ids[voter.Instance]),
			DataCentre: string(centre),
		})
	}
	n.startLog(now, fmt.Sprintf("%016x", n.options.Random.Uint64()), membership)
}

// dataCentreOf returns an initial voter's data centre. Where the settings do not
// name it, it comes from the voter's own hello; "" means that it is not known yet.
func (n *Node) dataCentreOf(voter EligibleInstance) units.DataCentre {
	switch {
	case voter.DataCentre != "":
		return voter.DataCentre
	case voter.Instance == n.options.ID.Instance():
		return n.options.DataCentre
	}
	return n.knownInstances[voter.Instance]
}

// startLog makes this voter an initial member of a log.
func (n *Node) startLog(now time.Time, logID string, membership *messages.Membership) {
	n.installSnapshot(now, &messages.LogSnapshot{
		Membership: membership,
		LogId:      logID,
	})
	n.resetElectionDeadline(now)
}
