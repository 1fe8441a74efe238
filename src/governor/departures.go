package governor

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// departureRetention is how long a departure stays in the log, longer than a heartbeat can be late.
	departureRetention = enroller.GoneRetention
	// maxDepartures bounds the departures in the log. It is twice what a table keeps of upstreams that are not named.
	maxDepartures = 1 << 13
	// maxDepartureBatch bounds the departures of one record.
	maxDepartureBatch = 256
)

// departures has the log hold the upstreams that leave or have gone, and acknowledges them once it does. An
// acknowledgement that rested on the memory of a majority, and on tables that are saved once a second, would be lost if
// all processes ended: the next heartbeat that arrives late would bring the upstream back. Only the coordinator's
// goroutine uses it.
type departures struct {
	coordinator *coordinator
	// pending are proposed together at the next tick: hundreds of upstreams may leave at once, and each record takes a
	// sync of the disk.
	pending []pendingDeparture
	fault   standingFault
}

// pendingDeparture is a departure that is not proposed yet, and who waits for its commit.
type pendingDeparture struct {
	departure *messages.Departure
	reply     chan<- declareReply
}

// commit replies once the log holds a departure. An instance that does not lead replies nothing and returns false.
func (d *departures) commit(now time.Time, departure *messages.Departure, reply chan<- declareReply) bool {
	c := d.coordinator
	switch {
	case covers(c.state.departures[units.Upstream(departure.GetUpstream())], departure):
		c.durability.accept(reply)
	case !c.node.IsConfirmedLeader(now):
		return false
	case c.state.countDepartures(c.trueTime(now))+len(d.pending) >= maxDepartures:
		d.fault.record(c.log, "departures-not-kept", fmt.Errorf("%d upstreams have left within %v", maxDepartures, departureRetention))
		reply <- declareReply{}
	default:
		d.fault.record(c.log, "departures-not-kept", nil)
		d.pending = append(d.pending, pendingDeparture{
			departure: departure,
			reply:     reply,
		})
	}
	return true
}

// tick proposes the departures that have arrived since the last tick.
func (d *departures) tick() error {
	for len(d.pending) > 0 {
		batch := d.pending[:min(len(d.pending), maxDepartureBatch)]
		d.pending = d.pending[len(batch):]
		command := &messages.Departures{}
		replies := make([]chan<- declareReply, 0, len(batch))
		for _, p := range batch {
			command.Departures = append(command.Departures, p.departure)
			replies = append(replies, p.reply)
		}
		c := d.coordinator
		c.nextToken++
		c.proposalsByToken[c.nextToken] = replies
		if err := c.step(replicator.Proposed{
			Command: &messages.Command{
				Change: &messages.Command_Departures{Departures: command},
			},
			Token: c.nextToken,
		}); err != nil {
			return err
		}
	}
	return nil
}

// release replies that the departures that are not proposed yet have not been accepted, as this instance no longer leads.
func (d *departures) release(leader string) {
	for _, p := range d.pending {
		p.reply <- declareReply{leader: leader}
	}
	d.pending = nil
}

// merge lets the table hold departures of the log.
func (d *departures) merge(now time.Time, list []*messages.Departure) {
	c := d.coordinator
	for _, departure := range list {
		if known := departure.GetKnown(); known != nil && c.table.Merge(now, known) {
			c.logUpstream(known, "")
		}
		if gone := departure.GetGoneBornMs(); gone > 0 {
			c.table.MarkGone(now, units.Upstream(departure.GetUpstream()), units.Incarnation(gone))
		}
	}
}

// departureOf returns the departure that an announcement states, where message is what the table knows of the upstream.
func departureOf(r *enroller.Registration, message *messages.RegisteredUpstream, at time.Time) *messages.Departure {
	departure := &messages.Departure{
		Upstream: string(r.ID),
		AtNs:     at.UnixNano(),
	}
	if enroller.State(message.GetState()) != enroller.Ready {
		departure.Known = message
	}
	if r.State == enroller.Gone {
		departure.GoneBornMs = int64(r.Incarnation)
	}
	return departure
}

// departedState returns the last incarnation that a departure states, and its state.
func departedState(d *messages.Departure) (units.Incarnation, enroller.State) {
	gone, known := units.Incarnation(d.GetGoneBornMs()), units.Incarnation(d.GetKnown().GetBornMs())
	if gone >= known && gone > 0 {
		return gone, enroller.Gone
	}
	return known, enroller.State(d.GetKnown().GetState())
}

// covers reports whether a departure states all that another one of the same upstream does.
func covers(held, other *messages.Departure) bool {
	if held == nil {
		return false
	}
	incarnation, state := departedState(held)
	otherIncarnation, otherState := departedState(other)
	return cmp.Or(cmp.Compare(incarnation, otherIncarnation), cmp.Compare(state, otherState)) >= 0
}

// applyDepartures adds departures, and forgets those that are older than any heartbeat can be late.
func (s *state) applyDepartures(list []*messages.Departure) {
	if s.departures == nil {
		s.departures = make(map[units.Upstream]*messages.Departure)
	}
	for _, departure := range list {
		id := units.Upstream(departure.GetUpstream())
		if !covers(s.departures[id], departure) {
			s.departures[id] = departure
		}
		s.departedUntil = max(s.departedUntil, departure.GetAtNs())
	}
	oldest := s.departedUntil - departureRetention.Nanoseconds()
	maps.DeleteFunc(s.departures, func(_ units.Upstream, d *messages.Departure) bool { return d.GetAtNs() < oldest })
}

// countDepartures returns how many departures the next one does not remove.
func (s *state) countDepartures(now time.Time) int {
	if len(s.departures) < maxDepartures {
		return len(s.departures)
	}
	count, oldest := 0, now.Add(-departureRetention).UnixNano()
	for _, d := range s.departures {
		if d.GetAtNs() >= oldest {
			count++
		}
	}
	return count
}

// departureList returns all departures, sorted by upstream.
func (s *state) departureList() *messages.Departures {
	m := &messages.Departures{}
	for _, id := range slices.Sorted(maps.Keys(s.departures)) {
		m.Departures = append(m.Departures, s.departures[id])
	}
	return m
}

// restoreDepartures adds the departures of a snapshot.
func (s *state) restoreDepartures(encoded []byte) error {
	m := &messages.Departures{}
	if err := proto.Unmarshal(encoded, m); err != nil {
		return fmt.Errorf("decode a snapshot's departures: %w; run the same version on every control instance", err)
	}
	s.applyDepartures(m.GetDepartures())
	return nil
}

// depart returns nil once the log holds that an upstream leaves or has gone; the leader must commit it.
func (g *Governor) depart(ctx context.Context, reply announceReply) error {
	outcome := declareReply{leader: reply.leader}
	var err error
	if reply.committed != nil {
		outcome, err = awaitReply(ctx, reply.committed)
	} else if reply.leader != "" && reply.leader != g.Settings.OwnPeerAddress() {
		response := &messages.DepartResponse{}
		err = g.Client.Call(ctx, reply.leader, MethodDepart, &messages.DepartRequest{Announcement: reply.departs}, response)
		outcome.accepted = response.GetAccepted()
	}
	accepted := err == nil && outcome.accepted
	line, text := g.Log.Info(), "departure-acknowledged"
	if !accepted {
		line, text = g.Log.Warn().Err(err), "departure-not-acknowledged"
	}
	line.
		Str("upstream", reply.departs.GetId()).
		Stringer("state", enroller.State(reply.departs.GetState())).
		Int64("born", reply.departs.GetBornMs()).
		Uint64("sequence", reply.departs.GetSequence()).
		Str("leader", reply.leader).
		Msg(text)
	if !accepted {
		return &UnconfirmedError{Leader: outcome.leader}
	}
	return nil
}

// departHere handles an announcement that another control instance has forwarded to this one as the leader.
func (g *Governor) departHere(ctx context.Context, m *messages.DepartRequest) (*messages.DepartResponse, error) {
	reply, err := sendAndWait(ctx, g, func(reply chan<- announceReply) event {
		return announcementReceived{
			registration: enroller.FromMessage(m.GetAnnouncement()),
			reply:        reply,
		}
	})
	if err != nil || reply.committed == nil {
		return &messages.DepartResponse{Leader: reply.leader}, err
	}
	outcome, err := awaitReply(ctx, reply.committed)
	return &messages.DepartResponse{
		Accepted: outcome.accepted,
		Leader:   outcome.leader,
	}, err
}
