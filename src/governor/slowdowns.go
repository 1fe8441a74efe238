package governor

import (
	"cmp"
	"time"

	"github.com/rosecroft/rosecroft/src/appraiser"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// maxSlowdowns bounds the slowdowns in one response; the next one continues.
const maxSlowdowns = 256

// slowdowns combines the slowdowns that upstreams state to entries. Only the coordinator's
// goroutine uses it.
type slowdowns struct {
	coordinator *coordinator
	pool        appraiser.Pool
	// names are the upstreams that were present at prunedAt, for log lines.
	names    map[units.IncarnationID]units.Upstream
	prunedAt time.Time
}

// startLeadership starts with nothing reported by entries.
func (s *slowdowns) startLeadership() { s.pool = appraiser.Pool{} }

// record stores what upstreams have stated to an entry.
func (s *slowdowns) record(poll *messages.EntryPoll) {
	m := poll.GetSlowdowns()
	if len(m.GetSlowdowns()) != len(m.GetLives()) || len(m.GetStatements()) != len(m.GetLives()) {
		return
	}
	for i, life := range m.GetLives() {
		change := s.pool.Record(units.IncarnationID(life), appraiser.Estimate{
			Mean:       float64(m.GetSlowdowns()[i]),
			Statements: int(m.GetStatements()[i]),
		})
		if change == nil {
			continue
		}
		s.coordinator.log.Info().
			Str("upstream", string(s.names[change.ID])).
			Uint64("life", life).
			Str("entry", poll.GetEntry()).
			Float64("slowdown", change.Slowdown).
			Float64("before", change.From).
			Msg("upstream-slowdown-changed")
	}
}

// report adds the slowdowns that an entry does not know to a response. An entry keeps them by
// upstream, so they wait until it has the whole table.
func (s *slowdowns) report(poll *messages.EntryPoll, response *messages.EntryPollResponse) {
	if response.GetMore() {
		return
	}
	known := appraiser.Version(poll.GetSlowdownsVersion())
	if poll.GetLeadership() != s.coordinator.quarantines.leadership {
		known = 0
	}
	changes, version := s.pool.ChangesAfter(known, maxSlowdowns)
	if len(changes) == 0 {
		return
	}
	response.Slowdowns = &messages.UpstreamSlowdowns{Version: uint64(version)}
	for _, change := range changes {
		response.Slowdowns.Lives = append(response.Slowdowns.Lives, uint64(change.ID))
		response.Slowdowns.Slowdowns = append(response.Slowdowns.Slowdowns, float32(change.Slowdown))
	}
}

// combined returns how many times as long as usual work takes at a service's ready upstreams
// together: the mean of what each of them gets done, and not of the time that it takes. It returns
// 0 if none of them has stated anything.
func (s *slowdowns) combined(service units.Service) float64 {
	count, done, known := 0, 0.0, false
	for _, e := range s.coordinator.table.Upstreams() {
		if e.Service != service || e.State != enroller.Ready {
			continue
		}
		slowdown := s.pool.Reported(units.NewIncarnationID(e.ID, e.Incarnation))
		known = known || slowdown > 0
		count++
		done += 1 / cmp.Or(slowdown, 1)
	}
	if !known {
		return 0
	}
	return float64(count) / done
}

// tick removes the upstreams that are gone.
func (s *slowdowns) tick(now time.Time) {
	if now.Sub(s.prunedAt) < pruneInterval {
		return
	}
	s.prunedAt = now
	s.names = s.coordinator.presentUpstreams()
	s.pool.Retain(func(id units.IncarnationID) bool {
		_, present := s.names[id]
		return present
	})
}
