package governor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// usageTicks is how often, in ticks, control instances share what they know of entries' usage. The time must be
// well below that from a window's end until its counts are committed.
const usageTicks = 16 * batchTicks

// shareUsage adds to a batch what the receivers need of entries' usage if one of them leads next: which entries it
// must wait for, and the counts of entries that may never report them again.
func (c *coordinator) shareUsage(now time.Time, batch *messages.UpstreamBatch) {
	trueTime := c.trueTime(now)
	// Contacts with an instance that does not lead prove nothing: its entry looks for the leader.
	if c.isLeader(now) {
		for _, contact := range c.state.ledger.Contacts() {
			batch.Contacts = append(batch.Contacts, &messages.EntryContact{
				Entry:       string(contact.Run.Entry),
				Incarnation: uint64(contact.Run.Incarnation),
				AgeNs:       int64(trueTime.Sub(contact.At)),
			})
		}
	}
	for _, silent := range c.state.ledger.SilentRuns(trueTime) {
		batch.Usage = append(batch.Usage, &messages.RunUsage{
			Entry:       string(silent.Run.Entry),
			Incarnation: uint64(silent.Run.Incarnation),
			Usage:       encodeUsage(silent.Counts),
		})
	}
}

// recordSharedUsage records what another control instance knows of entries' usage.
func (c *coordinator) recordSharedUsage(trueTime time.Time, batch *messages.UpstreamBatch) {
	if c.duties.cloud == nil {
		return
	}
	for _, m := range batch.GetContacts() {
		c.state.ledger.RecordContact(aggregator.Contact{
			Run: aggregator.EntryRun{
				Entry:       units.Instance(m.GetEntry()),
				Incarnation: units.Incarnation(m.GetIncarnation()),
			},
			At: trueTime.Add(-time.Duration(m.GetAgeNs())),
		})
	}
	for _, m := range batch.GetUsage() {
		c.state.ledger.RecordForwarded(aggregator.EntryRun{
			Entry:       units.Instance(m.GetEntry()),
			Incarnation: units.Incarnation(m.GetIncarnation()),
		}, decodeUsage(m.GetUsage()))
	}
}

func encodeUsage(counts []aggregator.Count) []*messages.WindowUsage {
	usage := make([]*messages.WindowUsage, 0, len(counts))
	for _, count := range counts {
		usage = append(usage, &messages.WindowUsage{
			Window:  int64(count.Window),
			Account: string(count.Account),
			Count:   count.Calls,
		})
	}
	return usage
}

func decodeUsage(usage []*messages.WindowUsage) []aggregator.Count {
	counts := make([]aggregator.Count, 0, len(usage))
	for _, u := range usage {
		counts = append(counts, aggregator.Count{
			Window:  aggregator.Window(u.GetWindow()),
			Account: units.Account(u.GetAccount()),
			Calls:   u.GetCount(),
		})
	}
	return counts
}
