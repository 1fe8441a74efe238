package informer

import (
	"time"

	"github.com/rosecroft/rosecroft/src/gossiper"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Informer is one entry's part in knowing the upstreams; its fields are set before the first Step.
type Informer struct {
	Tracker  *tracker.Tracker
	Gossiper *gossiper.Gossiper
}

// source is where an event of the table came from.
type source struct {
	from   units.Instance
	passOn bool
}

// Step takes one event and returns what it leads to.
func (i *Informer) Step(now time.Time, event Event) Outcome {
	out := Outcome{}
	switch e := event.(type) {
	case Announced:
		i.track(now, &out, source{}, tracker.Announced{Announcement: e.Announcement})
		i.flushLeaving(now, &out, e.Announcement)
	case Viewed:
		i.Gossiper.Step(now, gossiper.Viewed{View: e.View})
	case Received:
		i.receive(now, &out, e.Gossip)
	case Answered:
		i.answer(now, &out, e)
	case Failed:
		i.Gossiper.Step(now, gossiper.Failed{
			To:     e.To,
			Gossip: e.Gossip,
			Took:   e.Took,
		})
	case Ticked:
		i.track(now, &out, source{}, tracker.Ticked{})
		i.round(now, &out, false)
	}
	return out
}

// flushLeaving sends a leaving mark without waiting for the next round, since
// each moment brings the upstream more work that it cannot finish.
func (i *Informer) flushLeaving(now time.Time, out *Outcome, a *messages.Announcement) {
	if a.GetLeaving() {
		i.round(now, out, true)
	}
}

func (i *Informer) round(now time.Time, out *Outcome, atOnce bool) {
	out.Sends = append(out.Sends, i.Gossiper.Step(now, gossiper.Ticked{
		Now:    atOnce,
		Alive:  func() []*messages.Rumour { return i.alive(now) },
		Digest: i.Tracker.Digest,
	})...)
}

// alive returns the signs of life of the upstreams that announce themselves here.
func (i *Informer) alive(now time.Time) []*messages.Rumour {
	var alive []*messages.Rumour
	for _, upstream := range i.Tracker.All() {
		if upstream.Direct && !upstream.Leaving && !upstream.Suspected {
			alive = append(alive, i.Tracker.Rumour(now, upstream.Name))
		}
	}
	return alive
}

func (i *Informer) receive(now time.Time, out *Outcome, gossip *messages.Gossip) {
	from := source{
		from:   units.Instance(gossip.GetFrom()),
		passOn: gossip.GetPassOn(),
	}
	wanted := i.hear(now, out, from, gossip.GetRumours())
	better, lacking := i.Tracker.Compare(now, gossip.GetDigest())
	out.Response = &messages.GossipResponse{
		Rumours: better,
		Wanted:  append(wanted, lacking...),
	}
}

// hear merges rumours and returns the upstreams that are lacking here.
func (i *Informer) hear(now time.Time, out *Outcome, from source, rumours []*messages.Rumour) []string {
	var wanted []string
	for _, rumour := range rumours {
		wanted = append(wanted, i.track(now, out, from, tracker.RumourReceived{Rumour: rumour})...)
	}
	return wanted
}

func (i *Informer) answer(now time.Time, out *Outcome, e Answered) {
	for _, rumour := range e.Gossip.GetRumours() {
		if rumour.GetState() == messages.UpstreamState_UPSTREAM_STATE_LEAVING {
			out.Confirmed = append(out.Confirmed, units.Upstream(rumour.GetAnnouncement().GetUpstream()))
		}
	}
	i.hear(now, out, source{from: e.To}, e.Response.GetRumours())
	for _, name := range e.Response.GetWanted() {
		if rumour := i.Tracker.Rumour(now, units.Upstream(name)); rumour != nil {
			i.Gossiper.Step(now, gossiper.Asked{
				By:     e.To,
				Rumour: rumour,
			})
		}
	}
}

// track brings an event to the table and its news to the gossiper; it returns
// the upstreams that the table lacks.
func (i *Informer) track(now time.Time, out *Outcome, from source, event tracker.Event) []string {
	var lacking []string
	for _, action := range i.Tracker.Step(now, event) {
		switch a := action.(type) {
		case tracker.Changed:
			out.Changed = true
		case tracker.Left:
			out.Left = append(out.Left, a)
		case tracker.Suspected:
			out.Suspected = append(out.Suspected, a)
		case tracker.Refuted:
			out.Refuted = append(out.Refuted, a)
		case tracker.Refused:
			out.Refused = a.Err
		case tracker.MissingAnnouncement:
			lacking = append(lacking, string(a.Upstream))
		case tracker.Probe:
			out.Sends = append(out.Sends, i.probe(now, a.Upstream)...)
		case tracker.Spread:
			i.Gossiper.Step(now, gossiper.News{
				Rumour: a.Rumour,
				Urgent: a.Urgent,
				From:   from.from,
				PassOn: from.passOn,
			})
		}
	}
	return lacking
}

func (i *Informer) probe(now time.Time, name units.Upstream) []gossiper.Send {
	rumour := i.Tracker.Rumour(now, name)
	return i.Gossiper.Step(now, gossiper.Probed{
		Line: &messages.DigestLine{
			Upstream:    string(name),
			Incarnation: rumour.GetAnnouncement().GetIncarnation(),
			Sequence:    rumour.GetAnnouncement().GetSequence(),
			State:       rumour.GetState(),
		},
	})
}
