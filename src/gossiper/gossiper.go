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
	// maxRumours bounds one message; the rest goes with the next round.
	maxRumours = 64
	// maxDigest bounds the lines of one digest; they go round the table.
	maxDigest = 128
	// repeatFor is how long news that got no answer is sent again.
	repeatFor = 3 * time.Second
)

// Gossiper spreads what one entry knows; its fields are set before the first Step.
type Gossiper struct {
	Options Options
	// Random chooses the entries that are asked.
	Random *rand.Rand

	members   map[units.Instance]*messages.EntryMember
	keepers   []units.Instance
	relays    []units.Instance
	neighbour []units.Instance
	others    []units.Instance
	queues    map[units.Instance]*queue
	cursor    int

	flushedAt   time.Time
	refreshedAt time.Time
	digestedAt  time.Time
	credit      float64
	creditAt    time.Time
}

// queue is what one entry is to be told.
type queue struct {
	order  []string
	queued map[string]queued
	passOn bool
	digest []*messages.DigestLine
}

type queued struct {
	rumour *messages.Rumour
	at     time.Time
}

// Step takes one event and returns the messages to send.
func (g *Gossiper) Step(now time.Time, event Event) []Send {
	switch e := event.(type) {
	case Viewed:
		g.follow(e.View)
	case News:
		g.spread(now, e)
	case Probed:
		return g.probe(e.Line)
	case Asked:
		g.put(now, e.By, e.Rumour, false)
	case Failed:
		g.repeat(now, e)
	case Ticked:
		return g.tick(now, e)
	}
	return nil
}

// follow chooses whom this entry tells, the same for every process with the same view.
func (g *Gossiper) follow(view *messages.EntryView) {
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
	g.neighbour = byDataCentre[string(g.Options.DataCentre)]
	g.keepers = g.neighbour
	if !g.small() {
		g.keepers = first(g.rank(g.neighbour), g.Options.Keepers)
	}
	g.relays = nil
	for dataCentre, entries := range byDataCentre {
		if dataCentre != string(g.Options.DataCentre) {
			g.relays = append(g.relays, first(g.rank(entries), g.Options.Relays)...)
		}
	}
	slices.Sort(g.relays)
	for name := range g.queues {
		if g.members[name] == nil {
			delete(g.queues, name)
		}
	}
}

// small reports whether every entry keeps all upstreams.
func (g *Gossiper) small() bool { return len(g.members) < g.Options.SmallFleet }

// rank orders entries by rendezvous hashing, so that each entry's upstreams
// are told to others and the work of relaying is spread evenly.
func (g *Gossiper) rank(entries []units.Instance) []units.Instance {
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

// spread decides who is told of a change.
func (g *Gossiper) spread(now time.Time, e News) {
	switch {
	case e.From == "" && !e.Urgent:
		// A sign of life goes with the next round of refreshes.
		return
	case e.From == "":
		g.putAll(now, g.keepers, e.Rumour, false)
		g.putAll(now, g.relays, e.Rumour, g.small())
	case e.PassOn:
		g.putAll(now, g.neighbour, e.Rumour, false)
	case e.Urgent:
		// The one who heard it first may have died before it told others: each
		// that hears news tells one more of its own data centre and one of all.
		g.putAll(now, g.sample(g.neighbour, 1), e.Rumour, false)
		g.putAll(now, g.sample(g.others, 1), e.Rumour, g.small())
	}
	if e.From != "" {
		g.drop(e.From, e.Rumour)
	}
}

func (g *Gossiper) putAll(now time.Time, to []units.Instance, rumour *messages.Rumour, passOn bool) {
	for _, name := range to {
		g.put(now, name, rumour, passOn)
	}
}

func (g *Gossiper) put(now time.Time, to units.Instance, rumour *messages.Rumour, passOn bool) {
	if g.members[to] == nil {
		return
	}
	q := g.queue(to)
	name := rumour.GetAnnouncement().GetUpstream()
	earlier, known := q.queued[name]
	if known && outdoes(earlier.rumour, rumour) {
		return
	}
	if !known {
		q.order = append(q.order, name)
	}
	q.queued[name] = queued{
		rumour: rumour,
		at:     now,
	}
	q.passOn = q.passOn || passOn
}

// outdoes reports whether a queued rumour says more than a sign of life that would replace it.
func outdoes(earlier, next *messages.Rumour) bool {
	sameLife := earlier.GetAnnouncement().GetIncarnation() == next.GetAnnouncement().GetIncarnation()
	return sameLife && (earlier.GetState() > next.GetState() ||
		earlier.GetAnnouncement().GetAddress() != "" && next.GetAnnouncement().GetAddress() == "" &&
			next.GetState() == messages.UpstreamState_UPSTREAM_STATE_ANNOUNCED)
}

func (g *Gossiper) drop(to units.Instance, rumour *messages.Rumour) {
	q := g.queues[to]
	if q == nil {
		return
	}
	name := rumour.GetAnnouncement().GetUpstream()
	if _, known := q.queued[name]; known {
		delete(q.queued, name)
		q.order = slices.DeleteFunc(q.order, func(other string) bool { return other == name })
	}
}

func (g *Gossiper) queue(to units.Instance) *queue {
	if g.queues == nil {
		g.queues = make(map[units.Instance]*queue)
	}
	q := g.queues[to]
	if q == nil {
		q = &queue{
			queued: make(map[string]queued),
		}
		g.queues[to] = q
	}
	return q
}

// repeat queues news that got no answer again, until it is too old to matter.
func (g *Gossiper) repeat(now time.Time, e Failed) {
	for _, rumour := range e.Gossip.GetRumours() {
		fresh := time.Duration(rumour.GetAgeMs())*time.Millisecond < repeatFor
		if rumour.GetAnnouncement().GetAddress() == "" && rumour.GetState() == messages.UpstreamState_UPSTREAM_STATE_ANNOUNCED || !fresh {
			continue
		}
		if q := g.queue(e.To); q.queued[rumour.GetAnnouncement().GetUpstream()].rumour == nil {
			g.put(now.Add(-e.Took), e.To, rumour, e.Gossip.GetPassOn())
		}
	}
}

// probe asks a few others at once whether they have heard a silent upstream.
func (g *Gossiper) probe(line *messages.DigestLine) []Send {
	asked := g.sample(g.others, g.Options.Probes)
	sends := make([]Send, 0, len(asked))
	for _, name := range asked {
		sends = append(sends, g.send(name, &messages.Gossip{
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

func (g *Gossiper) send(to units.Instance, gossip *messages.Gossip) Send {
	gossip.From = string(g.Options.ID)
	g.credit -= float64(proto.Size(gossip))
	return Send{
		To:      to,
		Address: g.members[to].GetPeerAddress(),
		Gossip:  gossip,
	}
}

func first(names []units.Instance, count int) []units.Instance {
	return names[:min(count, len(names))]
}
