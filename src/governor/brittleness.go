package governor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/rationer"
	"github.com/rosecroft/rosecroft/src/units"
)

// brittleness passes on which services fall over when they reject calls. Only the coordinator's
// goroutine uses it.
type brittleness struct {
	coordinator *coordinator
	summary     rationer.Summary
}

// startLeadership starts with nothing reported by entries.
func (b *brittleness) startLeadership() { b.summary = rationer.Summary{} }

// record stores what an entry reports.
func (b *brittleness) record(now time.Time, entry units.Instance, poll *messages.EntryPoll) {
	services := make([]rationer.Service, 0, len(poll.GetBrittle()))
	for _, m := range poll.GetBrittle() {
		services = append(services, DecodeBrittle(now, m))
	}
	for _, service := range b.summary.RecordReport(now, services, DecodeFull(now, poll.GetFull())) {
		b.log(service, true)
	}
	for _, load := range poll.GetLoads() {
		b.summary.RecordCalls(now, entry, units.Service(load.GetService()), load.GetCalls())
	}
}

// maxFull bounds the full upstreams in one response.
const maxFull = 256

// report adds the brittle services and the full upstreams to a response.
func (b *brittleness) report(now time.Time, entry units.Instance, response *messages.EntryPollResponse) {
	for _, s := range b.summary.ServicesFor(entry) {
		response.Brittle = append(response.Brittle, EncodeBrittle(now, s))
	}
	full := b.summary.Full()
	response.Full = EncodeFull(now, full[:min(len(full), maxFull)])
}

// maxBrittleAge is what an age is sent as that is unknown or longer.
const maxBrittleAge = time.Hour

// EncodeBrittle encodes what is known of a brittle service.
func EncodeBrittle(now time.Time, s rationer.Service) *messages.BrittleService {
	return &messages.BrittleService{
		Service:        string(s.Name),
		MaxRejections:  s.MaxRejections,
		AgeNs:          int64(min(maxBrittleAge, now.Sub(s.StatedAt))),
		AnsweredAgeNs:  int64(min(maxBrittleAge, now.Sub(s.AnsweredAt))),
		CallsPerSecond: float64(s.CallRate),
		ShareFrom:      s.Share.From,
		ShareTo:        s.Share.To,
	}
}

// DecodeBrittle decodes what is known of a brittle service.
func DecodeBrittle(now time.Time, m *messages.BrittleService) rationer.Service {
	s := rationer.Service{
		Name:          units.Service(m.GetService()),
		MaxRejections: m.GetMaxRejections(),
		CallRate:      units.CallRate(m.GetCallsPerSecond()),
		Share: rationer.Share{
			From: m.GetShareFrom(),
			To:   m.GetShareTo(),
		},
	}
	if age := time.Duration(m.GetAgeNs()); age < maxBrittleAge {
		s.StatedAt = now.Add(-age)
	}
	if age := time.Duration(m.GetAnsweredAgeNs()); age < maxBrittleAge {
		s.AnsweredAt = now.Add(-age)
	}
	return s
}

// EncodeFull encodes upstreams that were found full.
func EncodeFull(now time.Time, full []rationer.Full) []*messages.FullUpstream {
	encoded := make([]*messages.FullUpstream, 0, len(full))
	for _, f := range full {
		encoded = append(encoded, &messages.FullUpstream{
			Life:          uint64(f.ID),
			AgeNs:         int64(now.Sub(f.At)),
			Capacity:      uint32(f.Capacity),
			RejectedAgeNs: int64(now.Sub(f.RejectedAt)),
		})
	}
	return encoded
}

// DecodeFull decodes upstreams that were found full.
func DecodeFull(now time.Time, encoded []*messages.FullUpstream) []rationer.Full {
	full := make([]rationer.Full, 0, len(encoded))
	for _, m := range encoded {
		full = append(full, rationer.Full{
			ID:         units.IncarnationID(m.GetLife()),
			At:         now.Add(-time.Duration(m.GetAgeNs())),
			Capacity:   int(m.GetCapacity()),
			RejectedAt: now.Add(-time.Duration(m.GetRejectedAgeNs())),
		})
	}
	return full
}

// tick recomputes shares and drops what is too old.
func (b *brittleness) tick(now time.Time) {
	for _, service := range b.summary.Step(now) {
		b.log(service, false)
	}
}

func (b *brittleness) log(service rationer.Service, brittle bool) {
	b.coordinator.log.Info().
		Str("service", string(service.Name)).
		Bool("brittle", brittle).
		Float64("max-rejections", service.MaxRejections).
		Float64("calls-per-second", float64(service.CallRate)).
		Msg("service-brittle")
}
