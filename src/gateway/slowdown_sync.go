package gateway

import (
	"github.com/rosecroft/rosecroft/src/appraiser"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/units"
)

// slowdownSync is the state of a poller's exchange of upstreams' slowdowns with the leader.
type slowdownSync struct {
	// version is that of the leader's slowdowns which the placer has.
	version uint64
}

// report adds what upstreams have stated since the last poll. Statements in a poll that does not
// arrive are lost: an upstream goes on stating.
func (s *slowdownSync) report(collector *appraiser.Collector, poll *messages.EntryPoll) {
	poll.SlowdownsVersion = s.version
	statements := collector.Take()
	if len(statements) == 0 {
		return
	}
	poll.Slowdowns = &messages.UpstreamSlowdowns{}
	for id, estimate := range statements {
		poll.Slowdowns.Lives = append(poll.Slowdowns.Lives, uint64(id))
		poll.Slowdowns.Slowdowns = append(poll.Slowdowns.Slowdowns, float32(estimate.Mean))
		poll.Slowdowns.Statements = append(poll.Slowdowns.Statements, uint32(estimate.Statements))
	}
}

// handleResponse applies the slowdowns that have changed.
func (s *slowdownSync) handleResponse(p *placer.Placer, response *messages.EntryPollResponse) {
	m := response.GetSlowdowns()
	if m == nil || len(m.GetSlowdowns()) != len(m.GetLives()) {
		return
	}
	changes := make([]appraiser.Change, 0, len(m.GetLives()))
	for i, life := range m.GetLives() {
		changes = append(changes, appraiser.Change{
			ID:       units.IncarnationID(life),
			Slowdown: float64(m.GetSlowdowns()[i]),
		})
	}
	p.SetSlowdowns(changes)
	s.version = m.GetVersion()
}
