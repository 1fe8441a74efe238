package governor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/apportioner"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/tallier"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// mostChanges is how many upstreams one answer brings at most: some tens of kilobytes.
const mostChanges = 256

// announce takes a heartbeat or a goodbye. What ends an upstream's work must be
// with the leader, whom all entries ask, and with those who may lead next before it
// is acknowledged.
func (c *coordinator) announce(a announced) announceReply {
	now := timekeeper.Now()
	reply := announceReply{
		leader: string(c.node.LeaderID()),
		leads:  c.node.Lead(now),
		recent: now.Sub(c.followedAt) < c.settings.HeartbeatInterval,
	}
	id := a.registration.ID
	news := false
	if a.left != "" {
		id = a.left
		news = c.table.Leave(now, id)
	} else {
		news = c.table.Hear(now, a.registration, 0)
	}
	c.fresh[id] = true
	message := c.table.Message(now, id)
	if message == nil {
		return reply
	}
	if news {
		c.log.Info().
			Str("upstream", message.GetId()).
			Str("service", message.GetService()).
			Str("address", message.GetAddress()).
			Stringer("state", enroller.State(message.GetState())).
			Str("release", message.GetVersion()).
			Int64("born", message.GetBornMs()).
			Uint64("sequence", message.GetSequence()).
			Msg("upstream-changed")
	}
	if enroller.State(message.GetState()) != enroller.Ready {
		reply.urgent = message
		for _, instance := range c.node.Acquaintances() {
			reply.others = append(reply.others, string(instance))
		}
	}
	return reply
}

// spreadFresh tells the other control instances what was heard here.
func (c *coordinator) spreadFresh(now time.Time) {
	if len(c.fresh) == 0 && c.ticks%(spreadTicks*16) != 0 {
		return
	}
	batch := &messages.UpstreamBatch{
		From:   c.settings.OwnPeerAddress(),
		WallNs: time.Now().UnixNano(),
	}
	for id := range c.fresh {
		if message := c.table.Message(now, id); message != nil {
			batch.Upstreams = append(batch.Upstreams, message)
		}
	}
	clear(c.fresh)
	for _, instance := range c.node.Acquaintances() {
		c.outbox.post(c.ctx, string(instance), parcel{batch: batch})
	}
}

// spread takes what another control instance heard.
func (c *coordinator) spread(batch *messages.UpstreamBatch) *messages.UpstreamBatchResponse {
	now := timekeeper.Now()
	c.estimator.Take(now, units.Instance(batch.GetFrom()), time.Unix(0, batch.GetWallNs()))
	for _, message := range batch.GetUpstreams() {
		c.table.Follow(now, message)
	}
	return &messages.UpstreamBatchResponse{Leads: c.node.Lead(now)}
}

// answer answers a poll, unless its entry has given it up: an instance that is behind
// would answer nothing else until all of them are through.
func (c *coordinator) answer(p polled) error {
	now := timekeeper.Now()
	if now.Sub(p.at) > pollPatience {
		p.reply <- &messages.EntryPollResponse{}
		return nil
	}
	p.reply <- c.poll(p.poll)
	return c.quarantines.hear(now, p.poll)
}

// poll answers an entry.
func (c *coordinator) poll(poll *messages.EntryPoll) *messages.EntryPollResponse {
	now := timekeeper.Now()
	leads := c.leads(now)
	summary := c.summary(now)
	response := &messages.EntryPollResponse{
		Leads:    leads,
		Leader:   string(c.node.LeaderID()),
		Controls: summary.controls,
		TableId:  c.table.ID,
	}
	c.tellTable(now, leads, poll, response)
	if c.packed.GetVersion() > poll.GetDeclarationVersion() {
		response.Declaration = c.packed
	}
	trueTime := summary.trueTime.Add(now.Sub(summary.at))
	// Any instance may lead next. Counts that only the last leader heard are lost with
	// it where their entries are killed before there is another.
	c.hearUsage(trueTime, poll)
	response.Rollouts = c.rollouts.tell(leads)
	c.quarantines.tell(leads, poll, response)
	if !leads {
		return response
	}
	entry := units.Instance(poll.GetEntry())
	response.Counted = uint64(c.underWay.LastCounted(entry))
	c.estimator.Take(now, entry, time.Unix(0, poll.GetWallNs()))
	c.hearEntry(now, entry, poll)
	c.pacing.tell(now, poll, response)
	response.TrueTimeNs = trueTime.UnixNano()
	response.Entries = summary.entries
	response.Settled = c.divider.Settled(now)
	response.UnderWay = summary.underWay
	if c.declared == nil {
		return response
	}
	for _, account := range c.declared.Accounts {
		if account.Rate <= 0 {
			continue
		}
		if part, level, known := c.divider.Share(now, entry, &account); known {
			response.Shares = append(response.Shares, &messages.AccountShare{
				Account: string(account.Name),
				Part:    part,
				Level:   level,
			})
		}
	}
	return response
}

// tellTable brings what an entry's table lacks. One that looks for a leader asks many
// instances, and needs the table of the one that leads.
func (c *coordinator) tellTable(now time.Time, leads bool, poll *messages.EntryPoll, response *messages.EntryPollResponse) {
	cursor := poll.GetTableCursor()
	if poll.GetTableId() != c.table.ID {
		cursor = 0
	}
	if !leads && cursor == 0 {
		return
	}
	if err := c.pages.seal(now, c.table, c.divider.CountEntries(now)); err != nil {
		c.log.Error().Err(err).Msg("table-not-told")
		return
	}
	if changes, few := c.table.Differing(now, poll.GetTableDigest(), mostChanges); cursor == 0 && few {
		response.Upstreams, response.TableCursor = changes, c.pages.end
		return
	}
	known := false
	if response.Pages, response.TableCursor, known = c.pages.since(cursor, mostChanges); !known {
		response.Upstreams, response.TableCursor = c.table.Part(now, c.table.ID, cursor, c.pages.end, mostChanges)
	}
	response.More = response.TableCursor < c.pages.end
}

func (c *coordinator) trueTime(now time.Time) time.Time {
	return c.estimator.TrueTime(now, time.Now())
}

// EncodeLoads returns what is under way as a message.
func EncodeLoads(loads map[placer.Hash]placer.InFlightLoad) *messages.UpstreamLoads {
	m := &messages.UpstreamLoads{}
	for hash, load := range loads {
		m.Upstreams = append(m.Upstreams, uint64(hash))
		m.Calls = append(m.Calls, load.Calls)
		m.Prefill = append(m.Prefill, load.Prefill)
	}
	return m
}

// DecodeLoads returns what a message says is under way, nothing for one whose
// lists differ in length.
func DecodeLoads(m *messages.UpstreamLoads) map[placer.Hash]placer.InFlightLoad {
	loads := make(map[placer.Hash]placer.InFlightLoad)
	if len(m.GetCalls()) != len(m.GetUpstreams()) || len(m.GetPrefill()) != len(m.GetUpstreams()) {
		return loads
	}
	for i, hash := range m.GetUpstreams() {
		loads[placer.Hash(hash)] = placer.InFlightLoad{
			Calls:   m.GetCalls()[i],
			Prefill: m.GetPrefill()[i],
		}
	}
	return loads
}

// hearUsage takes what an entry has counted.
func (c *coordinator) hearUsage(trueTime time.Time, poll *messages.EntryPoll) {
	counts := make([]tallier.Count, 0, len(poll.GetUsage()))
	for _, u := range poll.GetUsage() {
		counts = append(counts, tallier.Count{
			Window:  tallier.Window(u.GetWindow()),
			Account: units.Account(u.GetAccount()),
			Calls:   u.GetCount(),
		})
	}
	c.state.ledger.Hear(trueTime, tallier.Life{
		Entry:       units.Instance(poll.GetEntry()),
		Incarnation: units.Incarnation(poll.GetIncarnation()),
	}, counts)
}

// hearEntry takes what an entry has seen.
func (c *coordinator) hearEntry(now time.Time, entry units.Instance, poll *messages.EntryPoll) {
	demand := make(map[units.Account]apportioner.Demand, len(poll.GetDemand()))
	for _, d := range poll.GetDemand() {
		demand[units.Account(d.GetAccount())] = apportioner.Demand{
			Rate:           d.GetTokensPerSecond(),
			Spent:          d.GetSpent(),
			Unacknowledged: d.GetUnheard(),
			Level:          d.GetLevel(),
			LevelAge:       time.Duration(d.GetLevelAgeNs()),
		}
	}
	if poll.GetServing() {
		c.divider.RecordDemand(now, entry, units.Incarnation(poll.GetIncarnation()), demand)
	} else {
		c.divider.RemoveEntry(entry)
	}
	c.rollouts.hear(entry, units.Incarnation(poll.GetIncarnation()), poll.GetVersions())
	c.pacing.hear(now, poll)
	c.duties.orders.hear(now, entry, units.Incarnation(poll.GetIncarnation()), poll.GetLoads())
	c.underWay.Record(entry, placer.ReportNumber(poll.GetNumber()), DecodeLoads(poll.GetUnderWay()))
}
