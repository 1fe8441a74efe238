package replicator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Place is one instance that may carry control.
type Place struct {
	Instance   units.Instance
	DataCentre units.DataCentre
}

// greeting is what an instance last answered to a hello.
type greeting struct {
	id      units.VoterID
	founded bool
	at      time.Time
}

// spare is an instance that no membership holds and that could join.
type spare struct {
	dataCentre units.DataCentre
	heardAt    time.Time
}

// chooseFounders returns the first voters: one of each data centre in the order
// of the list, then the rest of the list, up to the wanted number.
func chooseFounders(places []Place, wanted int) []Place {
	var founders, rest []Place
	used := make(map[units.DataCentre]bool)
	for _, place := range places {
		if used[place.DataCentre] {
			rest = append(rest, place)
			continue
		}
		used[place.DataCentre] = true
		founders = append(founders, place)
	}
	founders = append(founders, rest...)
	return founders[:min(wanted, len(founders))]
}

func (n *Node) founded() bool { return n.snapshot != nil }

// greet looks for a log to belong to while no leader is heard.
func (n *Node) greet(now time.Time) {
	alone := now.Sub(n.heardAt) > greetAfter*n.options.Election
	if n.founded() && !alone || now.Before(n.greetAt) {
		return
	}
	n.greetAt = now.Add(n.options.Election / 2)
	for _, instance := range n.acquaintances() {
		n.sendTo(units.VoterID(instance), n.term, &messages.LogMessage{
			Body: &messages.LogMessage_Hello{
				Hello: &messages.Hello{
					DataCentre: string(n.options.DataCentre),
				},
			},
		})
	}
	n.found(now)
}

// mostMet bounds the instances that are remembered beyond the settings and the
// membership, several times the number that carry control.
const mostMet = 64

// meet remembers an instance that the settings may not name: those name only a
// few, which may all have been replaced since.
func (n *Node) meet(instance units.Instance, centre units.DataCentre) {
	known, found := n.met[instance]
	if instance == "" || instance == n.options.ID.Instance() || !found && len(n.met) >= mostMet {
		return
	}
	if centre == "" {
		centre = known
	}
	n.met[instance] = centre
}

// acquaintances returns all other instances that may know of the log, sorted.
func (n *Node) acquaintances() []units.Instance {
	all := make(map[units.Instance]struct{})
	for instance := range n.met {
		all[instance] = struct{}{}
	}
	for _, place := range n.options.Instances {
		all[place.Instance] = struct{}{}
	}
	for _, member := range n.membership.GetMembers() {
		all[units.VoterID(member.GetId()).Instance()] = struct{}{}
	}
	delete(all, n.options.ID.Instance())
	return slices.Sorted(maps.Keys(all))
}

// Meet tells of an instance that may know of the log.
func (n *Node) Meet(instance units.Instance) { n.meet(instance, "") }

// Acquaintances returns all other instances that this voter knows of, sorted.
func (n *Node) Acquaintances() []units.Instance { return n.acquaintances() }

func (n *Node) answerHello(now time.Time, m *messages.LogMessage, hello *messages.Hello) {
	from := units.VoterID(m.GetFrom())
	n.meet(from.Instance(), units.DataCentre(hello.GetDataCentre()))
	foreign := m.GetLogId() != "" && m.GetLogId() != n.logID
	if n.role == Leader && !foreign {
		n.spares[from] = &spare{
			dataCentre: units.DataCentre(hello.GetDataCentre()),
			heardAt:    now,
		}
	}
	response := &messages.HelloResponse{
		Leader: string(n.leader),
	}
	if n.founded() && n.snapshot.GetIndex() == 0 {
		response.Founding = n.snapshot.GetMembership()
	}
	n.sendTo(from, n.term, &messages.LogMessage{
		Body: &messages.LogMessage_HelloResponse{
			HelloResponse: response,
		},
	})
}

func (n *Node) countHello(now time.Time, m *messages.LogMessage, response *messages.HelloResponse) {
	from := units.VoterID(m.GetFrom())
	n.meet(from.Instance(), "")
	n.meet(units.Instance(response.GetLeader()), "")
	if n.founded() {
		return
	}
	n.greetings[from.Instance()] = greeting{
		id:      from,
		founded: m.GetLogId() != "",
		at:      now,
	}
	for _, member := range response.GetFounding().GetMembers() {
		if units.VoterID(member.GetId()) == n.options.ID {
			n.belong(now, m.GetLogId(), response.GetFounding())
			return
		}
	}
	n.found(now)
}

// found begins a new log, at the first of the founders alone and only once every
// instance of the settings has just said that it belongs to none. If a part of
// them could found, a majority that lost its disks would begin an empty log
// beside the survivors, and every accepted change would be gone.
func (n *Node) found(now time.Time) {
	founders := chooseFounders(n.options.Instances, n.options.Voters)
	if n.founded() || n.options.Joining || len(founders) == 0 || founders[0].Instance != n.options.ID.Instance() {
		return
	}
	ids := map[units.Instance]units.VoterID{
		n.options.ID.Instance(): n.options.ID,
	}
	for _, place := range n.options.Instances {
		if place.Instance == n.options.ID.Instance() {
			continue
		}
		g, known := n.greetings[place.Instance]
		if !known || g.founded || now.Sub(g.at) > greetAfter*n.options.Election {
			return
		}
		ids[place.Instance] = g.id
	}
	membership := &messages.Membership{
		Number: 1,
	}
	for _, founder := range founders {
		centre := n.centreOf(founder)
		if centre == "" {
			return
		}
		membership.Members = append(membership.Members, &messages.Member{
			Id:         string(ids[founder.Instance]),
			DataCentre: string(centre),
		})
	}
	n.belong(now, fmt.Sprintf("%016x", n.options.Random.Uint64()), membership)
}

// centreOf returns the data centre of a founder, which the settings may leave to
// the founder itself to say.
func (n *Node) centreOf(founder Place) units.DataCentre {
	switch {
	case founder.DataCentre != "":
		return founder.DataCentre
	case founder.Instance == n.options.ID.Instance():
		return n.options.DataCentre
	}
	return n.met[founder.Instance]
}

// belong makes this voter part of a log from its beginning.
func (n *Node) belong(now time.Time, logID string, membership *messages.Membership) {
	n.install(now, &messages.LogSnapshot{
		Membership: membership,
		LogId:      logID,
	})
	n.resetDeadline(now)
}
