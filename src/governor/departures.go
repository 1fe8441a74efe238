package governor

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// departureRepeatTime is how long the instance that received a departure sends it to the others again and again: one that
// was cut off when it was acknowledged may lead later.
const departureRepeatTime = 10 * time.Second

// departures holds the departures that this instance has received from upstreams and repeats.
type departures map[units.Upstream]repeatedDeparture

// repeatedDeparture is what is sent of a departure, and until when.
type repeatedDeparture struct {
	messages []*messages.RegisteredUpstream
	until    time.Time
}

func (d departures) add(now time.Time, id units.Upstream, m []*messages.RegisteredUpstream) {
	d[id] = repeatedDeparture{
		messages: m,
		until:    now.Add(departureRepeatTime),
	}
}

// repeated returns what is sent again, and forgets old departures.
func (d departures) repeated(now time.Time) []*messages.RegisteredUpstream {
	var all []*messages.RegisteredUpstream
	for _, id := range slices.Sorted(maps.Keys(d)) {
		departed := d[id]
		if now.After(departed.until) {
			delete(d, id)
			continue
		}
		all = append(all, departed.messages...)
	}
	return all
}

// replicate sends an upstream that must get no more calls to all other control instances. It
// returns nil once the leader and a majority have it.
//
// Entries poll the leader alone. If the leader is suspended or killed right after its
// acknowledgement, the change would be lost with it, and entries that have not polled since
// would continue to use the upstream under the next leader. After replication every instance
// that can lead next has the change.
func (g *Governor) replicate(ctx context.Context, change announceReply) error {
	batch := &messages.UpstreamBatch{
		From:      g.Settings.OwnPeerAddress(),
		WallNs:    time.Now().UnixNano(),
		Upstreams: change.mustReplicate,
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	responses := make(chan *messages.UpstreamBatchResponse, len(change.peers))
	for _, peer := range change.peers {
		go func() {
			response := &messages.UpstreamBatchResponse{}
			if err := g.Client.Call(ctx, peer, MethodUpstreamBatch, batch, response); err != nil {
				g.Log.Warn().Err(err).Str("control", peer).Msg("upstream-not-told")
				response = nil
			}
			responses <- response
		}()
	}
	var answers []*messages.UpstreamBatchResponse
	for range change.peers {
		answers = append(answers, <-responses)
	}
	outcome := newDeparture(change, answers)
	if !outcome.isHeld(g.Settings.Voters()) {
		g.logDeparture(change, outcome).Msg("departure-not-acknowledged")
		return &UnconfirmedError{Leader: change.leader}
	}
	g.logDeparture(change, outcome).Msg("departure-acknowledged")
	return nil
}

// departure is how far the control instances hold that an upstream must get no more calls.
type departure struct {
	holders       int
	leaderReached bool
	instances     int
}

// newDeparture returns how far a change is held, by the responses of the other instances; nil is one of an instance that
// has not responded. One that has, and does not hold the change, does not count either.
func newDeparture(change announceReply, responses []*messages.UpstreamBatchResponse) departure {
	d := departure{
		holders:       1,
		leaderReached: change.leaderReached,
		instances:     len(change.peers) + 1,
	}
	for _, response := range responses {
		if response != nil && !response.GetLacks() {
			d.holders++
			d.leaderReached = d.leaderReached || response.GetLeads()
		}
	}
	return d
}

// isHeld reports whether the leader and a majority hold the change.
func (d departure) isHeld(voters int) bool {
	return d.leaderReached && d.holders >= min(voters/2+1, d.instances)
}

// logDeparture begins the log line on an upstream that must get no more calls, and how far that is held.
func (g *Governor) logDeparture(change announceReply, outcome departure) *zerolog.Event {
	departed := change.mustReplicate[0]
	return g.Log.Info().
		Str("upstream", departed.GetId()).
		Stringer("state", enroller.State(departed.GetState())).
		Int64("born", departed.GetBornMs()).
		Uint64("sequence", departed.GetSequence()).
		Str("leader", change.leader).
		Bool("leader-reached", outcome.leaderReached).
		Int("holders", outcome.holders)
}
