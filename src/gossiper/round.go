package gossiper

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// tick sends what is queued and, within the byte budget, refreshes and a digest.
func (g *Gossiper) tick(now time.Time, e Ticked) []Send {
	if len(g.members) == 0 || !e.Flush && now.Sub(g.flushedAt) < g.Options.RoundInterval {
		return nil
	}
	g.addCredit(now)
	g.flushedAt = now
	// The budget delays refreshes and digests, but never changes. With it, a larger fleet reduces
	// the rate of refreshes instead of increasing the traffic of each entry.
	if g.byteCredit > 0 && now.Sub(g.refreshedAt) >= g.Options.RefreshInterval {
		g.refreshedAt = now
		g.enqueueRefreshes(now, e.Refreshes())
	}
	if g.byteCredit > 0 && now.Sub(g.digestedAt) >= g.Options.DigestInterval {
		g.digestedAt = now
		g.enqueueDigest(e.Digest(g.isSmallFleet()))
	}
	return g.flush(now)
}

// addCredit adds to the credit of bytes, up to that of one second.
func (g *Gossiper) addCredit(now time.Time) {
	perSecond := float64(g.Options.BytesPerSecond)
	if !g.creditUpdatedAt.IsZero() {
		g.byteCredit += now.Sub(g.creditUpdatedAt).Seconds() * perSecond
	}
	g.byteCredit = min(g.byteCredit, perSecond)
	g.creditUpdatedAt = now
}

func (g *Gossiper) enqueueRefreshes(now time.Time, alive []*messages.Rumour) {
	for _, rumour := range alive {
		refresh := refreshOf(rumour)
		g.enqueueAll(now, g.keepers, refresh, false)
		g.enqueueAll(now, g.relays, refresh, g.isSmallFleet())
	}
}

// refreshOf returns a rumour without the fields that do not change within an incarnation.
func refreshOf(rumour *messages.Rumour) *messages.Rumour {
	a := rumour.GetAnnouncement()
	return &messages.Rumour{
		State: rumour.GetState(),
		AgeMs: rumour.GetAgeMs(),
		Announcement: &messages.Announcement{
			Upstream:    a.GetUpstream(),
			Incarnation: a.GetIncarnation(),
			Sequence:    a.GetSequence(),
			Load:        a.GetLoad(),
		},
	}
}

// enqueueDigest queues a part of this entry's digest for one other entry.
func (g *Gossiper) enqueueDigest(lines []*messages.DigestLine) {
	partners := g.others
	if !g.isSmallFleet() {
		partners = append(slices.Clone(g.keepers), g.relays...)
	}
	chosen := g.sample(partners, 1)
	if len(chosen) == 0 {
		return
	}
	slices.SortFunc(lines, func(a, b *messages.DigestLine) int {
		return strings.Compare(a.GetUpstream(), b.GetUpstream())
	})
	if len(lines) > maxDigestLines {
		g.digestOffset = (g.digestOffset + maxDigestLines) % len(lines)
		lines = append(slices.Clone(lines[g.digestOffset:]), lines[:g.digestOffset]...)[:maxDigestLines]
	}
	g.queueFor(chosen[0]).digest = lines
}

// flush returns one bounded message from each non-empty queue.
func (g *Gossiper) flush(now time.Time) []Send {
	var sends []Send
	for _, name := range slices.Sorted(maps.Keys(g.queues)) {
		q := g.queues[name]
		if len(q.upstreams) == 0 && q.digest == nil {
			continue
		}
		gossip := &messages.Gossip{
			PassOn: q.passOn,
			Digest: q.digest,
		}
		count := min(len(q.upstreams), maxRumours)
		for _, upstream := range q.upstreams[:count] {
			gossip.Rumours = append(gossip.Rumours, withQueueTime(now, q.rumours[upstream]))
			delete(q.rumours, upstream)
		}
		q.upstreams = slices.Clone(q.upstreams[count:])
		q.digest = nil
		q.passOn = q.passOn && len(q.upstreams) > 0
		sends = append(sends, g.newSend(name, gossip))
	}
	return sends
}

// withQueueTime returns a rumour with the time that it was queued added to its age.
func withQueueTime(now time.Time, q queuedRumour) *messages.Rumour {
	waited := now.Sub(q.queuedAt).Milliseconds()
	if waited <= 0 {
		return q.rumour
	}
	rumour := proto.CloneOf(q.rumour)
	rumour.AgeMs += waited
	if left := rumour.GetAnnouncement().GetLeavingWithinMs(); left > 0 {
		rumour.Announcement.LeavingWithinMs = max(0, left-waited)
	}
	return rumour
}

// Counts returns how many entries this one sends rumours to: its keepers, its relays and all
// entries of its data centre.
func (g *Gossiper) Counts() (keepers, relays, neighbours int) {
	return len(g.keepers), len(g.relays), len(g.neighbours)
}

// PeerAddress returns the address of an entry, "" if it is not in the view.
func (g *Gossiper) PeerAddress(name units.Instance) string { return g.members[name].GetPeerAddress() }
