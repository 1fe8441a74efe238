package governor

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/relayer"
	"github.com/rosecroft/rosecroft/src/units"
)

// reaches holds which services entries are partitioned from, and assigns to each entry the peers that
// carry its calls meanwhile. Only the coordinator's goroutine uses it.
type reaches struct {
	coordinator *coordinator
	// partitioned holds the services of each entry that is partitioned from any.
	partitioned map[units.Instance][]units.Service
	ring        relayer.Ring
}

// startLeadership starts with nothing reported by entries.
func (r *reaches) startLeadership() {
	r.partitioned = make(map[units.Instance][]units.Service)
	r.ring = relayer.Ring{}
}

// record stores which services an entry is partitioned from.
func (r *reaches) record(now time.Time, entry units.Instance, poll *messages.EntryPoll) {
	var services []units.Service
	for _, reach := range poll.GetUnreached() {
		if reach.GetPartitioned() {
			services = append(services, units.Service(reach.GetService()))
		}
	}
	slices.Sort(services)
	if poll.GetServing() {
		r.ring.Record(now, relayer.Peer{
			Name:        entry,
			Address:     poll.GetRelayAddress(),
			Partitioned: services,
		})
	} else {
		r.ring.Remove(entry)
	}
	before := r.partitioned[entry]
	if slices.Equal(before, services) {
		return
	}
	if len(services) == 0 {
		delete(r.partitioned, entry)
	} else {
		r.partitioned[entry] = services
	}
	r.log(now, entry, before, services)
}

// report adds an entry's peers to a response, unless it knows them.
func (r *reaches) report(now time.Time, entry units.Instance, poll *messages.EntryPoll, response *messages.EntryPollResponse) {
	peers := r.ring.PeersOf(now, entry)
	version := relayer.VersionOf(peers)
	if version == poll.GetPeersVersion() {
		return
	}
	response.Peers = &messages.RelayPeers{Version: version}
	for _, peer := range peers {
		m := &messages.RelayPeer{
			Entry:   string(peer.Name),
			Address: peer.Address,
		}
		for _, service := range peer.Partitioned {
			m.Partitioned = append(m.Partitioned, string(service))
		}
		response.Peers.Peers = append(response.Peers.Peers, m)
	}
}

// log logs that the services have changed that an entry is partitioned from.
func (r *reaches) log(now time.Time, entry units.Instance, before, after []units.Service) {
	for _, service := range before {
		if !slices.Contains(after, service) {
			r.logService(now, entry, service, "entry-reaches-service")
		}
	}
	for _, service := range after {
		if !slices.Contains(before, service) {
			r.logService(now, entry, service, "entry-partitioned")
		}
	}
}

func (r *reaches) logService(now time.Time, entry units.Instance, service units.Service, message string) {
	r.coordinator.log.Info().
		Str("entry", string(entry)).
		Str("service", string(service)).
		Int("partitioned", r.countPartitioned(service)).
		Int("entries", r.coordinator.allocator.CountEntries(now)).
		Msg(message)
}

// countPartitioned returns how many entries are partitioned from a service.
func (r *reaches) countPartitioned(service units.Service) int {
	count := 0
	for entry, services := range r.partitioned {
		if r.coordinator.allocator.HasEntry(entry) && slices.Contains(services, service) {
			count++
		}
	}
	return count
}
