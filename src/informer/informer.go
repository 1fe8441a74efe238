package informer

import (
	"time"

	"github.com/rosecroft/rosecroft/src/gossiper"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Informer keeps one entry's knowledge of the upstreams in step with the other entries; its
// fields are set before the first Step.
type Informer struct {
	Tracker  *tracker.Tracker
	Gossiper *gossiper.Gossiper
}

// source is the origin of a tracker event: the entry that sent it, empty for an event of this
// entry itself, and whether that entry asked to pass it on within this data centre.
type source struct {
	from   units.Instance
	passOn bool
}

// Step handles one event and returns its outcome.
func (i *Informer) Step(now time.Time, event Event) Outcome {
	out := Outcome{}
	switch e := event.(type) {
	case Announced:
		i.stepTracker(now, &out, source{}, tracker.Announced{Announcement: e.Announcement})
		i.flushLeaving(now, &out, e.Announcement)
	case ViewChanged:
		i.Gossiper.Step(now, gossiper.ViewChanged{View: e.View})
	case MessageReceived:
		i.handleMessage(now, &out, e.Gossip)
	case ResponseReceived:
		i.handleResponse(now, &out, e)
	case SendFailed:
		i.Gossiper.Step(now, gossiper.SendFailed{
			To:       e.To,
			Gossip:   e.Gossip,
			Duration: e.Duration,
		})
	case Ticked:
		i.stepTracker(now, &out, source{}, tracker.Ticked{})
		i.gossipRound(now, &out, false)
	}
	return out
}

// flushLeaving sends a leaving mark without waiting for the next round, since until then
// entries send the upstream more work that it cannot finish.
func (i *Informer) flushLeaving(now time.Time, out *Outcome, a *messages.Announcement) {
	if a.GetLeaving() {
		i.gossipRound(now, out, true)
	}
}

func (i *Informer) gossipRound(now time.Time, out *Outcome, immediate bool) {
	out.Sends = append(out.Sends, i.Gossiper.Step(now, gossiper.Ticked{
		Flush:     immediate,
		Refreshes: func() []*messages.Rumour { return i.aliveRumours(now) },
		Digest:    i.Tracker.Digest,
	})...)
}

// aliveRumours returns a rumour for each live upstream that announces itself to this entry.
func (i *Informer) aliveRumours(now time.Time) []*messages.Rumour {
	var aliveRumours []*messages.Rumour
	for _, upstream := range i.Tracker.All() {
		if upstream.Direct && !upstream.Leaving && !upstream.Suspected {
			aliveRumours = append(aliveRumours, i.Tracker.Rumour(now, upstream.Name))
		}
	}
	return aliveRumours
}

func (i *Informer) handleMessage(now time.Time, out *Outcome, gossip *messages.Gossip) {
	from := source{
		from:   units.Instance(gossip.GetFrom()),
		passOn: gossip.GetPassOn(),
	}
	wanted := i.mergeRumours(now, out, from, gossip.GetRumours())
	newer, lacking := i.Tracker.Compare(now, gossip.GetDigest())
	out.Response = &messages.GossipResponse{
		Rumours: newer,
		Wanted:  append(wanted, lacking...),
	}
}

// mergeRumours merges rumours into the table and returns the upstreams whose whole announcement
// is missing here.
func (i *Informer) mergeRumours(now time.Time, out *Outcome, from source, rumours []*messages.Rumour) []string {
	var wanted []string
	for _, rumour := range rumours {
		wanted = append(wanted, i.stepTracker(now, out, from, tracker.RumourReceived{Rumour: rumour})...)
	}
	return wanted
}

func (i *Informer) handleResponse(now time.Time, out *Outcome, e ResponseReceived) {
	for _, rumour := range e.Gossip.GetRumours() {
		if rumour.GetState() == messages.UpstreamState_UPSTREAM_STATE_LEAVING {
			out.Confirmed = append(out.Confirmed, units.Upstream(rumour.GetAnnouncement().GetUpstream()))
		}
	}
	i.mergeRumours(now, out, source{from: e.To}, e.Response.GetRumours())
	for _, name := range e.Response.GetWanted() {
		if rumour := i.Tracker.Rumour(now, units.Upstream(name)); rumour != nil {
			i.Gossiper.Step(now, gossiper.RumourRequested{
				By:     e.To,
				Rumour: rumour,
			})
		}
	}
}

// stepTracker passes an event to the tracker and the resulting rumours to the gossiper; it
// returns the upstreams whose whole announcement the table lacks.
func (i *Informer) stepTracker(now time.Time, out *Outcome, from source, event tracker.Event) []string {
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
			out.Sends = append(out.Sends, i.startProbe(now, a.Upstream)...)
		case tracker.Spread:
			i.Gossiper.Step(now, gossiper.TableChanged{
				Rumour: a.Rumour,
				Urgent: a.Urgent,
				From:   from.from,
				PassOn: from.passOn,
			})
		}
	}
	return lacking
}

func (i *Informer) startProbe(now time.Time, name units.Upstream) []gossiper.Send {
	rumour := i.Tracker.Rumour(now, name)
	return i.Gossiper.Step(now, gossiper.ProbeRequested{
		Line: &messages.DigestLine{
			Upstream:    string(name),
			Incarnation: rumour.GetAnnouncement().GetIncarnation(),
			Sequence:    rumour.GetAnnouncement().GetSequence(),
			State:       rumour.GetState(),
		},
	})
}
