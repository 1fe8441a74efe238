package relayer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxPeers is how many peers an entry has: enough that some are left when most of a data centre
	// is partitioned, and few enough that sessions with them are reused.
	maxPeers = 6
	// maxSteps bounds the members that are considered for one entry.
	maxSteps = 64
	// memberExpiry is how long after its last report a member is no longer assigned, several polls.
	memberExpiry = time.Second
	// memberRetention is how long a member that reports nothing is kept.
	memberRetention = 10 * time.Second
)

// Ring assigns to each entry of a fleet the peers that carry its calls. All members are in one order
// that mixes data centres, and each has those that follow it, so that the calls of partitioned
// entries are spread evenly over the others. It is a state machine without a clock.
type Ring struct {
	members  map[units.Instance]*member
	order    []*member
	prunedAt time.Time
}

// member is one entry of the fleet.
type member struct {
	Peer
	position   uint64
	reportedAt time.Time
}

func compareMembers(a, b *member) int {
	return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.Name, b.Name))
}

// Record records that an entry has reported.
func (r *Ring) Record(now time.Time, peer Peer) {
	m := r.members[peer.Name]
	if m == nil {
		if r.members == nil {
			r.members = make(map[units.Instance]*member)
		}
		m = &member{
			Peer:     peer,
			position: xxhash.Sum64String(string(peer.Name)),
		}
		r.members[peer.Name] = m
		at, _ := slices.BinarySearchFunc(r.order, m, compareMembers)
		r.order = slices.Insert(r.order, at, m)
	}
	m.Peer = peer
	m.reportedAt = now
	r.prune(now)
}

// Remove removes an entry that is stopping.
func (r *Ring) Remove(name units.Instance) {
	delete(r.members, name)
	r.order = slices.DeleteFunc(r.order, func(m *member) bool { return m.Name == name })
}

func (r *Ring) prune(now time.Time) {
	if now.Sub(r.prunedAt) < memberExpiry {
		return
	}
	r.prunedAt = now
	r.order = slices.DeleteFunc(r.order, func(m *member) bool {
		expired := now.Sub(m.reportedAt) > memberRetention
		if expired {
			delete(r.members, m.Name)
		}
		return expired
	})
}

// PeersOf returns the peers of an entry. Those that are partitioned from some service come last.
func (r *Ring) PeersOf(now time.Time, name units.Instance) []Peer {
	own := r.members[name]
	if own == nil {
		return nil
	}
	at, _ := slices.BinarySearchFunc(r.order, own, compareMembers)
	var whole, partitioned []Peer
	for step := 1; step < min(len(r.order), maxSteps+1) && len(whole) < maxPeers; step++ {
		m := r.order[(at+step)%len(r.order)]
		switch {
		case now.Sub(m.reportedAt) > memberExpiry:
		case len(m.Partitioned) > 0:
			partitioned = append(partitioned, m.Peer)
		default:
			whole = append(whole, m.Peer)
		}
	}
	whole = append(whole, partitioned...)
	return whole[:min(len(whole), maxPeers)]
}

// VersionOf returns a number that is the same for equal lists of peers.
func VersionOf(peers []Peer) uint64 {
	hash := xxhash.New()
	// Writing to a hash returns no error.
	write := func(text string) { _, _ = hash.WriteString(text + "\n") }
	for _, p := range peers {
		write(string(p.Name))
		write(p.Address)
		for _, service := range p.Partitioned {
			write(string(service))
		}
		write("")
	}
	return hash.Sum64()
}
