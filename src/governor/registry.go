package governor

import (
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/allocator"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/units"
)

// maxChanges is the maximum number of upstreams in one response, some tens of kilobytes.
const maxChanges = 256

// handleAnnouncement handles a heartbeat or a deregistration. A change after which an
// upstream gets no more calls must be in the log, which the leader that all entries poll has
// applied, before it is acknowledged.
func (c *coordinator) handleAnnouncement(a announcementReceived) announceReply {
	now := c.now()
	reply := announceReply{
		leader:             string(c.node.LeaderID()),
		leaderReached:      c.node.IsConfirmedLeader(now),
		leaderSeenRecently: now.Sub(c.leaderSeenAt) < c.settings.HeartbeatInterval,
	}
	r := a.registration
	if r.State == enroller.Gone && r.Incarnation == 0 {
		// Whichever incarnation others know, and not one that starts later.
		r.Incarnation = max(units.Incarnation(c.trueTime(now).UnixMilli()), c.table.IncarnationOf(r.ID))
	}
	changed := c.table.Record(now, r, 0)
	message := c.table.Message(now, r.ID)
	if message == nil || !c.table.Holds(r.ID, r.Incarnation, r.State) {
		reply.unrecorded = true
		return reply
	}
	c.unsent[r.ID] = true
	if changed {
		c.logUpstream(message, c.settings.OwnPeerAddress())
	}
	if r.State == enroller.Ready {
		return reply
	}
	if units.Incarnation(message.GetBornMs()) > r.Incarnation {
		r = enroller.NewDeparture(r.ID, r.Incarnation) // A later incarnation has taken its place.
	}
	reply.departs = r.Message(0)
	committed := make(chan declareReply, 1)
	if c.departures.commit(now, departureOf(&r, message, c.trueTime(now)), committed) {
		reply.committed = committed
	}
	return reply
}

// logUpstream logs a change of an upstream that the control instance from has received.
func (c *coordinator) logUpstream(m *messages.RegisteredUpstream, from string) {
	c.log.Info().
		Str("upstream", m.GetId()).
		Str("service", m.GetService()).
		Str("address", m.GetAddress()).
		Stringer("state", enroller.State(m.GetState())).
		Str("release", m.GetVersion()).
		Int64("born", m.GetBornMs()).
		Uint64("sequence", m.GetSequence()).
		Str("from", from).
		Msg("upstream-changed")
}

// sendBatch sends the heartbeats received here to the other control instances.
func (c *coordinator) sendBatch(now time.Time) {
	batch := c.nextBatch(now)
	if batch == nil {
		return
	}
	for _, instance := range c.node.OtherInstances() {
		c.outbox.enqueue(c.ctx, string(instance), peerMessage{batch: batch})
	}
}

// nextBatch returns the heartbeats received here since the last batch, nil if there is nothing to send.
func (c *coordinator) nextBatch(now time.Time) *messages.UpstreamBatch {
	sharesUsage := c.ticks%usageTicks == 0
	if len(c.unsent) == 0 && !sharesUsage {
		return nil
	}
	batch := &messages.UpstreamBatch{
		From:   c.settings.OwnPeerAddress(),
		WallNs: c.wall().UnixNano(),
	}
	for _, id := range slices.Sorted(maps.Keys(c.unsent)) {
		if message := c.table.Message(now, id); message != nil {
			batch.Upstreams = append(batch.Upstreams, message)
		}
	}
	clear(c.unsent)
	if sharesUsage {
		c.shareUsage(now, batch)
	}
	return batch
}

// syncUpstreams merges the upstreams that another control instance received.
func (c *coordinator) syncUpstreams(batch *messages.UpstreamBatch) *messages.UpstreamBatchResponse {
	now := c.now()
	c.estimator.Record(now, units.Instance(batch.GetFrom()), time.Unix(0, batch.GetWallNs()))
	for _, message := range batch.GetUpstreams() {
		if c.table.Merge(now, message) && enroller.State(message.GetState()) != enroller.Ready {
			c.logUpstream(message, batch.GetFrom())
		}
	}
	c.recordSharedUsage(c.trueTime(now), batch)
	return &messages.UpstreamBatchResponse{}
}

// handlePoll answers a poll unless its entry has given up on it: an instance that is behind
// would otherwise spend all its time on expired polls.
func (c *coordinator) handlePoll(p pollReceived) error {
	now := c.now()
	if now.Sub(p.receivedAt) > pollTimeout {
		p.reply <- &messages.EntryPollResponse{}
		return nil
	}
	p.reply <- c.poll(p.poll)
	return c.quarantines.record(now, p.poll)
}

// poll returns the response to an entry's poll.
func (c *coordinator) poll(poll *messages.EntryPoll) *messages.EntryPollResponse {
	now := c.now()
	isLeader := c.isLeader(now)
	summary := c.summary(now)
	response := &messages.EntryPollResponse{
		Leads:    isLeader,
		Leader:   string(c.node.LeaderID()),
		Controls: summary.controls,
		TableId:  c.table.ID,
	}
	c.addTableChanges(now, isLeader, poll, response)
	if c.compressed.GetVersion() > poll.GetDeclarationVersion() {
		response.Declaration = c.compressed
	}
	trueTime := summary.trueTime.Add(now.Sub(summary.at))
	// Any instance may lead next. If only the leader recorded counts, they would be lost with
	// it where their entries are killed before another leader is elected.
	c.recordUsage(trueTime, poll)
	response.Rollouts = c.rollouts.report(isLeader)
	c.quarantines.report(isLeader, poll, response)
	if !isLeader {
		return response
	}
	entry := units.Instance(poll.GetEntry())
	response.Counted = uint64(c.inFlight.LastCounted(entry))
	c.estimator.Record(now, entry, time.Unix(0, poll.GetWallNs()))
	c.recordEntry(now, entry, poll)
	c.rateLimits.report(now, poll, response)
	c.slowdowns.report(poll, response)
	c.ejections.report(response)
	c.reaches.report(now, entry, poll, response)
	c.brittleness.report(now, entry, response)
	response.WantsStreams = c.origins.isWanted()
	response.TrueTimeNs = trueTime.UnixNano()
	response.Entries = summary.entries
	response.Settled = c.allocator.Settled(now)
	response.UnderWay = summary.inFlight
	c.limits.report(now, poll, response)
	if c.configuration == nil {
		return response
	}
	for _, account := range c.configuration.Accounts {
		if account.Rate <= 0 {
			continue
		}
		if share, level, known := c.allocator.Share(now, entry, &account); known {
			response.Shares = append(response.Shares, &messages.AccountShare{
				Account: string(account.Name),
				Part:    share,
				Level:   level,
			})
		}
	}
	return response
}

// addTableChanges adds the changes that an entry's table lacks to a response. An entry that
// looks for the leader polls many instances, and needs only the leader's table.
func (c *coordinator) addTableChanges(now time.Time, isLeader bool, poll *messages.EntryPoll, response *messages.EntryPollResponse) {
	cursor := poll.GetTableCursor()
	if poll.GetTableId() != c.table.ID {
		cursor = 0
	}
	if !isLeader && cursor == 0 {
		return
	}
	if c.pages.isDue(now, c.table, c.allocator.CountEntries(now)) {
		c.pagesFault.record(c.log, "upstreams-left-out", c.pages.seal(now, c.table))
	}
	if changes, complete := c.table.Differences(now, poll.GetTableDigest(), maxChanges); cursor == 0 && complete {
		response.Upstreams, response.TableCursor = changes, c.pages.end
		return
	}
	known := false
	if response.Pages, response.TableCursor, known = c.pages.since(cursor, maxChanges); !known {
		response.Upstreams, response.TableCursor = c.table.Page(now, c.table.ID, cursor, c.pages.end, maxChanges)
	}
	response.More = response.TableCursor < c.pages.end
}

// presentUpstreams returns the upstreams that are not gone, by their incarnations.
func (c *coordinator) presentUpstreams() map[units.IncarnationID]units.Upstream {
	names := make(map[units.IncarnationID]units.Upstream)
	for _, e := range c.table.Upstreams() {
		if e.State != enroller.Gone {
			names[units.NewIncarnationID(e.ID, e.Incarnation)] = e.ID
		}
	}
	return names
}

func (c *coordinator) trueTime(now time.Time) time.Time {
	return c.estimator.TrueTime(now, c.wall())
}

// EncodeLoads encodes the loads in flight by upstream.
func EncodeLoads(loads map[placer.Hash]placer.InFlightLoad) *messages.UpstreamLoads {
	m := &messages.UpstreamLoads{}
	deferred := false
	for hash, load := range loads {
		m.Upstreams = append(m.Upstreams, uint64(hash))
		m.Calls = append(m.Calls, load.Calls)
		m.Prefill = append(m.Prefill, load.PrefillTokens)
		m.Deferred = append(m.Deferred, load.DeferredTokens)
		deferred = deferred || load.DeferredTokens != 0
	}
	if !deferred {
		m.Deferred = nil
	}
	return m
}

// DecodeLoads decodes the loads in flight by upstream. It returns none for a message whose
// lists differ in length; the list of deferred tokens may be absent.
func DecodeLoads(m *messages.UpstreamLoads) map[placer.Hash]placer.InFlightLoad {
	loads := make(map[placer.Hash]placer.InFlightLoad)
	if len(m.GetCalls()) != len(m.GetUpstreams()) || len(m.GetPrefill()) != len(m.GetUpstreams()) {
		return loads
	}
	deferred := m.GetDeferred()
	if len(deferred) == 0 {
		deferred = make([]int64, len(m.GetUpstreams()))
	}
	if len(deferred) != len(m.GetUpstreams()) {
		return loads
	}
	for i, hash := range m.GetUpstreams() {
		loads[placer.Hash(hash)] = placer.InFlightLoad{
			Calls:          m.GetCalls()[i],
			PrefillTokens:  m.GetPrefill()[i],
			DeferredTokens: deferred[i],
		}
	}
	return loads
}

// recordUsage records the calls that an entry has counted. Without an API of the platform no window is ever
// committed, and the counts would be kept forever.
func (c *coordinator) recordUsage(trueTime time.Time, poll *messages.EntryPoll) {
	if c.duties.cloud == nil {
		return
	}
	c.state.ledger.Record(trueTime, aggregator.EntryRun{
		Entry:       units.Instance(poll.GetEntry()),
		Incarnation: units.Incarnation(poll.GetIncarnation()),
	}, decodeUsage(poll.GetUsage()))
}

// recordEntry records the demand, version figures, limits, loads and outcomes of calls that an entry reports.
func (c *coordinator) recordEntry(now time.Time, entry units.Instance, poll *messages.EntryPoll) {
	demand := make(map[units.Account]allocator.Demand, len(poll.GetDemand()))
	for _, d := range poll.GetDemand() {
		demand[units.Account(d.GetAccount())] = allocator.Demand{
			Rate:           d.GetTokensPerSecond(),
			Spent:          d.GetSpent(),
			Unacknowledged: d.GetUnheard(),
			Level:          d.GetLevel(),
			LevelAge:       time.Duration(d.GetLevelAgeNs()),
			Share:          float64(d.GetShare()),
			Entries:        int(d.GetEntries()),
		}
	}
	if poll.GetServing() {
		c.allocator.RecordDemand(now, entry, units.Incarnation(poll.GetIncarnation()), demand)
	} else {
		c.allocator.RemoveEntry(entry)
	}
	c.rollouts.record(entry, units.Incarnation(poll.GetIncarnation()), poll.GetVersions())
	c.rateLimits.record(now, poll)
	c.backoffs.record(now, entry, poll)
	c.slowdowns.record(poll)
	c.ejections.record(now, entry, poll)
	c.reaches.record(now, entry, poll)
	c.brittleness.record(now, entry, poll)
	c.origins.record(now, entry, poll)
	c.duties.orders.record(now, entry, units.Incarnation(poll.GetIncarnation()), poll.GetLoads())
	c.inFlight.Record(entry, placer.ReportNumber(poll.GetNumber()), DecodeLoads(poll.GetUnderWay()))
}
