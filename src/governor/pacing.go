package governor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/pacer"
	"github.com/rosecroft/rosecroft/src/units"
)

// pacingInterval is how often limits of upstreams that are gone are forgotten.
const pacingInterval = time.Second

// pacing hands out what upstreams with limits take; the coordinator alone uses it.
type pacing struct {
	coordinator *coordinator
	divider     *pacer.Allocator
	keptAt      time.Time
}

// begin starts a leadership that knows nothing of what entries have heard.
func (p *pacing) begin() { p.divider = &pacer.Allocator{} }

// hear takes what an entry has heard from upstreams.
func (p *pacing) hear(now time.Time, poll *messages.EntryPoll) {
	if poll.GetLeadership() != p.coordinator.quarantines.leadership {
		return
	}
	for _, m := range poll.GetLimits() {
		before := p.divider.Version()
		p.divider.RecordObservation(now, pacer.Observation{
			Life:       units.Life(m.GetLife()),
			HasLimit:   m.GetStated(),
			Rate:       units.CallRate(m.GetRate()),
			AnsweredAt: now.Add(-time.Duration(m.GetAgeNs())),
			SentAt:     now.Add(-time.Duration(m.GetSentAgeNs())),
		})
		if p.divider.Version() != before {
			p.coordinator.log.Info().
				Str("upstream", string(p.name(units.Life(m.GetLife())))).
				Str("entry", poll.GetEntry()).
				Bool("limited", m.GetStated()).
				Float64("limit", m.GetRate()).
				Int64("age-ms", time.Duration(m.GetAgeNs()).Milliseconds()).
				Msg("upstream-limit-changed")
		}
	}
}

// tell adds limits that an entry does not know, and permits, to an answer.
func (p *pacing) tell(now time.Time, poll *messages.EntryPoll, response *messages.EntryPollResponse) {
	known := poll.GetLeadership() == p.coordinator.quarantines.leadership
	if !known || poll.GetLimitsVersion() != p.divider.Version() {
		response.Limits = encodeLimits(now, p.divider)
	}
	for _, want := range poll.GetWants() {
		life := units.Life(want.GetLife())
		if calls := p.divider.Grant(now, units.Instance(poll.GetEntry()), life, int(want.GetCalls())); calls > 0 {
			response.Permits = append(response.Permits, &messages.UpstreamCalls{
				Life:  uint64(life),
				Calls: uint32(calls),
			})
		}
	}
}

func encodeLimits(now time.Time, divider *pacer.Allocator) *messages.UpstreamLimits {
	limits, version := divider.Limits()
	m := &messages.UpstreamLimits{Version: version}
	for _, limit := range limits {
		m.Limits = append(m.Limits, &messages.UpstreamLimit{
			Life:   uint64(limit.Life),
			Stated: true,
			Rate:   float64(limit.Rate),
			AgeNs:  int64(now.Sub(limit.StatedAt)),
		})
	}
	return m
}

// work forgets the limits of upstreams that are gone.
func (p *pacing) work(now time.Time) {
	if now.Sub(p.keptAt) < pacingInterval {
		return
	}
	p.keptAt = now
	there := make(map[units.Life]bool)
	for _, e := range p.coordinator.table.Entries() {
		if e.State != enroller.Gone {
			there[units.LifeOf(e.ID, e.Born)] = true
		}
	}
	p.divider.RetainLimits(now, func(life units.Life) bool { return there[life] })
}

// name returns the upstream that has a life, "" where it is not known.
func (p *pacing) name(life units.Life) units.Upstream {
	for _, e := range p.coordinator.table.Entries() {
		if units.LifeOf(e.ID, e.Born) == life {
			return e.ID
		}
	}
	return ""
}

// limits returns the limits of upstreams, by their lives; one that does not lead knows none.
func (p *pacing) limits() map[units.Life]*float64 {
	known := make(map[units.Life]*float64)
	if p.divider == nil {
		return known
	}
	limits, _ := p.divider.Limits()
	for _, limit := range limits {
		rate := float64(limit.Rate)
		known[limit.Life] = &rate
	}
	return known
}

// short returns how many upstreams of a service take fewer calls than there are for them.
func (p *pacing) short(now time.Time, service units.Service) int {
	if limits, _ := p.divider.Limits(); len(limits) == 0 {
		return 0
	}
	count := 0
	for _, e := range p.coordinator.table.Entries() {
		if e.Service == service && e.State == enroller.Ready && p.divider.HasShortage(now, units.LifeOf(e.ID, e.Born)) {
			count++
		}
	}
	return count
}
