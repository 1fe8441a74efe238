package gossiper

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxRumours bounds one message. The remaining rumours go with the next round.
	maxRumours = 64
	// maxDigestLines bounds one digest. Successive digests rotate through the table.
	maxDigestLines = 128
	// retryWindow is the maximum age of a change that is sent again after it got no response.
	retryWindow = 3 * time.Second
)

// Gossiper spreads what one entry knows. Its fields are set before the first Step.
type Gossiper struct {
	Options Options
	// Random selects the entries to contact.
	Random *rand.Rand

	members      map[units.Instance]*messages.EntryMember
	keepers      []units.Instance
	relays       []units.Instance
	neighbours   []units.Instance
	others       []units.Instance
	queues       map[units.Instance]*queue
	digestOffset int

	flushedAt       time.Time
	refreshedAt     time.Time
	digestedAt      time.Time
	byteCredit      float64
	creditUpdatedAt time.Time
}

// queue holds what is to be sent to one entry.
type queue struct {
	upstreams []string
	rumours   map[string]queuedRumour
	passOn    bool
	digest    []*messages.DigestLine
}

type queuedRumour struct {
	rumour   *messages.Rumour
	queuedAt time.Time
}

// Step handles one event and returns the messages to send.
func (g *Gossiper) Step(now time.Time, event Event) []Send {
	switch e := event.(type) {
	case ViewChanged:
		g.updateView(e.View)
	case TableChanged:
		g.spreadChange(now, e)
	case ProbeRequested:
		return g.probe(e.Line)
	case RumourRequested:
		g.enqueue(now, e.By, e.Rumour, false)
	case SendFailed:
		g.requeue(now, e)
	case Ticked:
		return g.tick(now, e)
	}
	return nil
}

// updateView determines the entries that this one sends rumours to. Every process with the same
// view computes the same result.
func (g *Gossiper) updateView(view *messages.EntryView) {
	g.members = make(map[units.Instance]*messages.EntryMember)
	byDataCentre := make(map[string][]units.Instance)
	g.others = nil
	for _, member := range view.GetMembers() {
		name := units.Instance(member.GetEntry())
		if name == g.Options.ID {
			continue
		}
		g.members[name] = member
		g.others = append(g.others, name)
		byDataCentre[member.GetDataCentre()] = append(byDataCentre[member.GetDataCentre()], name)
	}
	g.neighbours = byDataCentre[string(g.Options.DataCentre)]
	g.keepers = g.neighbours
	if !g.isSmallFleet() {
		g.keepers = firstN(g.rankByHash(g.neighbours), g.Options.Keepers)
	}
	g.relays = nil
	for dataCentre, entries := range byDataCentre {
		if dataCentre != string(g.Options.DataCentre) {
			g.relays = append(g.relays, firstN(g.rankByHash(entries), g.Options.Relays)...)
		}
	}
	slices.Sort(g.relays)
	for name := range g.queues {
		if g.members[name] == nil {
			delete(g.queues, name)
		}
	}
}

// isSmallFleet reports whether every entry keeps all upstreams.
func (g *Gossiper) isSmallFleet() bool { return len(g.members) < g.Options.SmallFleet }

// rankByHash orders entries by rendezvous hashing with this entry's ID, so that each entry
// selects different ones and the relaying is spread evenly.
func (g *Gossiper) rankByHash(entries []units.Instance) []units.Instance {
	ranked := slices.Clone(entries)
	score := func(name units.Instance) uint64 {
		return xxhash.Sum64String(string(g.Options.ID) + "/" + string(name))
	}
	slices.SortFunc(ranked, func(a, b units.Instance) int {
		if score(a) != score(b) {
			if score(a) < score(b) {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a), string(b))
	})
	return ranked
}

// spreadChange queues a change for the entries that should receive it.
func (g *Gossiper) spreadChange(now time.Time, e TableChanged) {
	switch {
	case e.From == "" && !e.Urgent:
		// A refresh goes with the next round of refreshes.
		return
	case e.From == "":
		g.enqueueAll(now, g.keepers, e.Rumour, false)
		g.enqueueAll(now, g.relays, e.Rumour, g.isSmallFleet())
	case e.PassOn:
		g.enqueueAll(now, g.neighbours, e.Rumour, false)
	case e.Urgent:
		// The entry that received the change first may have died before it sent it to others.
		// Each entry that receives an urgent change therefore sends it to one more entry of its
		// own data centre and to one of the whole fleet.
		g.enqueueAll(now, g.sample(g.neighbours, 1), e.Rumour, false)
		g.enqueueAll(now, g.sample(g.others, 1), e.Rumour, g.isSmallFleet())
	}
	if e.From != "" {
		g.dequeue(e.From, e.Rumour)
	}
}

func (g *Gossiper) enqueueAll(now time.Time, to []units.Instance, rumour *messages.Rumour, passOn bool) {
	for _, name := range to {
		g.enqueue(now, name, rumour, passOn)
	}
}

func (g *Gossiper) enqueue(now time.Time, to units.Instance, rumour *messages.Rumour, passOn bool) {
	if g.members[to] == nil {
		return
	}
	q := g.queueFor(to)
	name := rumour.GetAnnouncement().GetUpstream()
	queued, isQueued := q.rumours[name]
	if isQueued && supersedes(queued.rumour, rumour) {
		return
	}
	if !isQueued {
		q.upstreams = append(q.upstreams, name)
	}
	q.rumours[name] = queuedRumour{
		rumour:   rumour,
		queuedAt: now,
	}
	q.passOn = q.passOn || passOn
}

// supersedes reports whether a queued rumour carries more information than a refresh that would
// replace it.
func supersedes(queued, next *messages.Rumour) bool {
	sameIncarnation := queued.GetAnnouncement().GetIncarnation() == next.GetAnnouncement().GetIncarnation()
	return sameIncarnation && (queued.GetState() > next.GetState() ||
		queued.GetAnnouncement().GetAddress() != "" && next.GetAnnouncement().GetAddress() == "" &&
			next.GetState() == messages.UpstreamState_UPSTREAM_STATE_ANNOUNCED)
}

func (g *Gossiper) dequeue(to units.Instance, rumour *messages.Rumour) {
	q := g.queues[to]
	if q == nil {
		return
	}
	name := rumour.GetAnnouncement().GetUpstream()
	if _, isQueued := q.rumours[name]; isQueued {
		delete(q.rumours, name)
		q.upstreams = slices.DeleteFunc(q.upstreams, func(other string) bool { return other == name })
	}
}

func (g *Gossiper) queueFor(to units.Instance) *queue {
	if g.queues == nil {
		g.queues = make(map[units.Instance]*queue)
	}
	q := g.queues[to]
	if q == nil {
		q = &queue{
			rumours: make(map[string]queuedRumour),
		}
		g.queues[to] = q
	}
	return q
}

// requeue queues changes again that got no response, until they are older than retryWindow.
func (g *Gossiper) requeue(now time.Time, e SendFailed) {
	for _, rumour := range e.Gossip.GetRumours() {
		isRecent := time.Duration(rumour.GetAgeMs())*time.Millisecond < retryWindow
		if rumour.GetAnnouncement().GetAddress() == "" && rumour.GetState() == messages.UpstreamState_UPSTREAM_STATE_ANNOUNCED || !isRecent {
			continue
		}
		if q := g.queueFor(e.To); q.rumours[rumour.GetAnnouncement().GetUpstream()].rumour == nil {
			g.enqueue(now.Add(-e.Duration), e.To, rumour, e.Gossip.GetPassOn())
		}
	}
}

// probe asks a few other entries at once whether they have heard from a silent upstream.
func (g *Gossiper) probe(line *messages.DigestLine) []Send {
	targets := g.sample(g.others, g.Options.Probes)
	sends := make([]Send, 0, len(targets))
	for _, name := range targets {
		sends = append(sends, g.newSend(name, &messages.Gossip{
			Digest: []*messages.DigestLine{line},
		}))
	}
	return sends
}

func (g *Gossiper) sample(from []units.Instance, count int) []units.Instance {
	if len(from) <= count {
		return from
	}
	chosen := make([]units.Instance, 0, count)
	for _, i := range g.Random.Perm(len(from))[:count] {
		chosen = append(chosen, from[i])
	}
	return chosen
}

func (g *Gossiper) newSend(to units.Instance, gossip *messages.Gossip) Send {
	gossip.From = string(g.Options.ID)
	g.byteCredit -= float64(proto.Size(gossip))
	return Send{
		To:      to,
		Address: g.members[to].GetPeerAddress(),
		Gossip:  gossip,
	}
}

func firstN(names []units.Instance, count int) []units.Instance {
	return names[:min(count, len(names))]
}
