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

// tick sends what is queued and, within the budget, signs of life and a digest.
func (g *Gossiper) tick(now time.Time, e Ticked) []Send {
	if len(g.members) == 0 || !e.Now && now.Sub(g.flushedAt) < g.Options.Interval {
		return nil
	}
	g.earn(now)
	g.flushedAt = now
	// The budget delays signs of life and digests, never news. Without it a
	// larger fleet would cost each entry more; with it the pace falls instead.
	if g.credit > 0 && now.Sub(g.refreshedAt) >= g.Options.Refresh {
		g.refreshedAt = now
		g.refresh(now, e.Alive())
	}
	if g.credit > 0 && now.Sub(g.digestedAt) >= g.Options.Digest {
		g.digestedAt = now
		g.digest(e.Digest(g.small()))
	}
	return g.flush(now)
}

// earn adds to the credit of bytes, up to one second's.
func (g *Gossiper) earn(now time.Time) {
	perSecond := float64(g.Options.BytesPerSecond)
	if !g.creditAt.IsZero() {
		g.credit += now.Sub(g.creditAt).Seconds() * perSecond
	}
	g.credit = min(g.credit, perSecond)
	g.creditAt = now
}

func (g *Gossiper) refresh(now time.Time, alive []*messages.Rumour) {
	for _, rumour := range alive {
		short := brief(rumour)
		g.putAll(now, g.keepers, short, false)
		g.putAll(now, g.relays, short, g.small())
	}
}

// brief leaves out of a rumour what does not change within an incarnation.
func brief(rumour *messages.Rumour) *messages.Rumour {
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

// digest gives one other entry a part of this entry's digest.
func (g *Gossiper) digest(lines []*messages.DigestLine) {
	partners := g.others
	if !g.small() {
		partners = append(slices.Clone(g.keepers), g.relays...)
	}
	chosen := g.sample(partners, 1)
	if len(chosen) == 0 {
		return
	}
	slices.SortFunc(lines, func(a, b *messages.DigestLine) int {
		return strings.Compare(a.GetUpstream(), b.GetUpstream())
	})
	if len(lines) > maxDigest {
		g.cursor = (g.cursor + maxDigest) % len(lines)
		lines = append(slices.Clone(lines[g.cursor:]), lines[:g.cursor]...)[:maxDigest]
	}
	g.queue(chosen[0]).digest = lines
}

// flush empties the queues, a bounded message for each entry.
func (g *Gossiper) flush(now time.Time) []Send {
	var sends []Send
	for _, name := range slices.Sorted(maps.Keys(g.queues)) {
		q := g.queues[name]
		if len(q.order) == 0 && q.digest == nil {
			continue
		}
		gossip := &messages.Gossip{
			PassOn: q.passOn,
			Digest: q.digest,
		}
		count := min(len(q.order), maxRumours)
		for _, upstream := range q.order[:count] {
			gossip.Rumours = append(gossip.Rumours, aged(now, q.queued[upstream]))
			delete(q.queued, upstream)
		}
		q.order = slices.Clone(q.order[count:])
		q.digest = nil
		q.passOn = q.passOn && len(q.order) > 0
		sends = append(sends, g.send(name, gossip))
	}
	return sends
}

// aged adds the time that a rumour waited here.
func aged(now time.Time, q queued) *messages.Rumour {
	waited := now.Sub(q.at).Milliseconds()
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

// Counts returns how many entries this one tells: its keepers, its relays and all of its data centre.
func (g *Gossiper) Counts() (keepers, relays, neighbours int) {
	return len(g.keepers), len(g.relays), len(g.neighbour)
}

// Peer returns the address of an entry, "" where it is not in the view.
func (g *Gossiper) Peer(name units.Instance) string { return g.members[name].GetPeerAddress() }
