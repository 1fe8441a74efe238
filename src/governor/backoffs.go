package governor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
	"github.com/rosecroft/rosecroft/src/withholder"
)

// backoffs counts the upstreams that have asked entries for back-offs. Only the coordinator's
// goroutine uses it.
type backoffs struct {
	coordinator *coordinator
	summary     withholder.Summary
}

// startLeadership starts with no back-offs reported by entries.
func (b *backoffs) startLeadership() { b.summary = withholder.Summary{} }

// record stores the back-offs that an entry reports.
func (b *backoffs) record(now time.Time, entry units.Instance, poll *messages.EntryPoll) {
	ids := make([]units.IncarnationID, 0, len(poll.GetBackingOff()))
	for _, id := range poll.GetBackingOff() {
		ids = append(ids, units.IncarnationID(id))
	}
	b.summary.Record(now, entry, ids)
}

// upstreams returns how many ready upstreams of a service have asked for a back-off; one that has
// asked only some of the entries counts in part.
func (b *backoffs) upstreams(now time.Time, service units.Service) float64 {
	fractions := b.summary.Fractions(now, b.coordinator.allocator.CountEntries(now))
	if len(fractions) == 0 {
		return 0
	}
	total := 0.0
	for _, e := range b.coordinator.table.Upstreams() {
		if e.Service == service && e.State == enroller.Ready {
			total += fractions[units.NewIncarnationID(e.ID, e.Incarnation)]
		}
	}
	return total
}
