package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/allocator"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/governor"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/quarantiner"
	"github.com/rosecroft/rosecroft/src/relayer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// minInterval and maxInterval bound the time between two polls. The loads of other entries
	// are up to two polls old, and a long prompt is prefilled within some tenths of a second.
	// The maximum is a small fraction of every period that an entry must keep to.
	minInterval = 50 * time.Millisecond
	maxInterval = 200 * time.Millisecond
	// maxLeaderPollRate is how many polls a second the leader of a growing fleet handles before
	// entries poll less often.
	maxLeaderPollRate = 800
	// searchInterval is the delay after a round that found no leader. Elections are over within
	// some tenths of a second, during which every caller waits.
	searchInterval = 50 * time.Millisecond
	// pageDelay is the delay between the pages of a large table.
	pageDelay = 10 * time.Millisecond
	// searchDuration is how long searchInterval applies: if all entries polled all instances at
	// that rate for longer, control could not do its own work.
	searchDuration = 2 * time.Second
	// maxReports is how many reports of loads are kept: the leader counts the last or the one
	// before, and polls without a response may lie between.
	maxReports = 16
	// pollTimeout is how long a control instance may take to respond; an instance that does not
	// respond costs an entry two polls.
	pollTimeout = 450 * time.Millisecond
	// leaseFraction is the fraction of the revocation period for which an entry serves calls
	// with keys after the last response of the leader; the rest covers the time that a call
	// takes to reach its upstream.
	leaseFraction = 0.88
	// readyFraction is the fraction of the revocation period after which an entry without a
	// response of the leader reports itself unready to the load balancer.
	readyFraction = 0.6
)

// poller polls control and publishes snapshots; it is owned by one goroutine.
type poller struct {
	gateway          *Gateway
	table            *enroller.Table
	candidateBuilder candidateBuilder
	// seeds are those of the settings that controls were made of.
	seeds        *[]string
	controls     []string
	controlIndex int
	leader       string
	// controlSessions holds the state of the exchange with each instance, by address.
	controlSessions map[string]*controlSession
	// leaderTableID is the id of the table of the last instance that led.
	leaderTableID uint64
	configuration *matcher.Table
	version       units.Version
	snapshot      snapshot
	// reportNumber numbers the polls, and reports holds the loads in flight that the last ones
	// reported.
	reportNumber  placer.ReportNumber
	reports       map[placer.ReportNumber]map[placer.Hash]placer.InFlightLoad
	controlLost   bool
	controlLostAt time.Time
	// leadership is the one that has acknowledged the observations up to ackedObservation;
	// sentObservation is the last one in the poll in flight, and suspects the version of that
	// leadership's suspects.
	leadership       uint64
	ackedObservation quarantiner.Number
	sentObservation  quarantiner.Number
	suspects         uint64
	limitSync        limitSync
	slowdownSync     slowdownSync
	outcomeSync      outcomeSync
	originSync       originSync
	// peersVersion is that of the entries that carry calls of this one.
	peersVersion uint64
	// releasesAt is when the snapshot's releases were determined.
	releasesAt time.Time
	// hasMore reports that the last response did not contain the rest of the table, fleetStale
	// that the fleet is older than the table.
	hasMore    bool
	fleetStale bool
}

func (p *poller) run(ctx context.Context) {
	p.controlSessions = make(map[string]*controlSession)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var startedAt, dueAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.gateway.originReports.waiting:
			if soonest := startedAt.Add(minInterval); !p.controlLost && soonest.Before(dueAt) {
				dueAt = soonest
				timer.Reset(max(0, dueAt.Sub(timekeeper.Now())))
			}
			continue
		}
		startedAt = timekeeper.Now()
		p.pollRound(ctx)
		now := timekeeper.Now()
		delay := pageDelay
		if !p.hasMore {
			delay = pollDelay(pollInterval(p.snapshot.entries), now.Sub(startedAt), now.Sub(p.controlLostAt), p.controlLost)
		}
		dueAt = now.Add(delay)
		timer.Reset(delay)
	}
}

// pollInterval returns the time between two polls for a number of entries.
func pollInterval(entries int) time.Duration {
	return min(maxInterval, max(minInterval, time.Duration(entries)*time.Second/maxLeaderPollRate))
}

// pollDelay returns how long to wait after a round that took this long; lost reports that no
// instance has led for the time of silence.
func pollDelay(interval, took, silence time.Duration, lost bool) time.Duration {
	switch {
	case lost && silence < searchDuration:
		return searchInterval
	case lost:
		return maxInterval
	}
	return max(0, interval-took)
}

// pollRound polls control instances, each at most once, until one that leads has responded.
func (p *poller) pollRound(ctx context.Context) {
	p.hasMore = false
	if seeds := p.gateway.seeds.Load(); seeds != p.seeds {
		// The known instances may all be gone.
		p.seeds = seeds
		p.mergeControls(p.controls)
	}
	polled := make(map[string]bool)
	for range p.instancesPerRound() {
		address := p.nextControl(polled)
		if address == "" || ctx.Err() != nil {
			break
		}
		polled[address] = true
		if p.pollInstance(ctx, address) {
			p.onControlRegained(address)
			return
		}
	}
	p.onControlLost()
}

// instancesPerRound returns how many instances to poll in a round. All of them were polled when
// the leader was lost; after that, a round polls the next one and the leader that it names.
// Hundreds of entries that keep polling all instances prevent control from electing a leader.
func (p *poller) instancesPerRound() int {
	if p.controlLost {
		return min(2, len(p.controls)+1)
	}
	return len(p.controls) + 1
}

// nextControl returns the leader if it is known, else the next instance that was not polled in
// this round.
func (p *poller) nextControl(polled map[string]bool) string {
	if p.leader != "" && !polled[p.leader] {
		return p.leader
	}
	for range p.controls {
		p.controlIndex++
		if address := p.controls[p.controlIndex%len(p.controls)]; !polled[address] {
			return address
		}
	}
	return ""
}

// pollInstance polls one instance and reports whether it leads.
func (p *poller) pollInstance(ctx context.Context, address string) bool {
	sentAt := timekeeper.Now()
	callContext, cancel := timekeeper.WithRunningTimeout(ctx, pollTimeout)
	defer cancel()
	response := &messages.EntryPollResponse{}
	session := p.controlSession(address)
	if err := p.gateway.Client.Call(callContext, address, governor.MethodPoll, p.poll(sentAt, session), response); err != nil {
		if p.leader == address {
			p.gateway.Log.Warn().Err(err).Str("control", address).Msg("leader-not-reached")
			p.leader = ""
		}
		return false
	}
	session.handleResponse(response)
	if response.GetLeads() && response.GetTableId() != p.leaderTableID {
		session.requestFullTable()
		p.leaderTableID = response.GetTableId()
	}
	p.handleResponse(sentAt, response)
	return response.GetLeads()
}

func (p *poller) controlSession(address string) *controlSession {
	session := p.controlSessions[address]
	if session == nil {
		session = &controlSession{}
		p.controlSessions[address] = session
	}
	return session
}

func (p *poller) poll(now time.Time, session *controlSession) *messages.EntryPoll {
	g := p.gateway
	poll := &messages.EntryPoll{
		Entry:              string(g.Settings.Name),
		Incarnation:        uint64(g.incarnation),
		DataCentre:         string(g.Settings.DataCentre),
		WallNs:             time.Now().UnixNano(),
		DeclarationVersion: uint64(p.version),
		TableId:            session.tableID,
		TableCursor:        session.cursor,
		Serving:            !g.Stopping(),
	}
	if session.cursor == 0 && p.snapshot.fleet != nil {
		poll.TableDigest = p.table.Digest()
	}
	session.counts = g.usageCounter.Counts(now.Add(p.snapshot.trueTimeOffset))
	session.unreported = session.usageReporter.Unacknowledged(session.counts)
	for _, c := range session.unreported {
		poll.Usage = append(poll.Usage, &messages.WindowUsage{
			Window:  int64(c.Window),
			Account: string(c.Account),
			Count:   c.Calls,
		})
	}
	poll.Demand = encodeDemand(g.quota.ReportDemand(now))
	g.reportGrants(now, p.leadership, poll)
	poll.Loads = g.trafficStats.loads(now)
	poll.Versions = g.rolloutStats.report(p.snapshot.rollouts)
	poll.QuarantineNumber = g.quarantine.currentNumber()
	poll.Leadership = p.leadership
	poll.SuspectsVersion = p.suspects
	poll.Losses = p.unreportedLosses(now)
	p.limitSync.report(now, &g.gate, poll)
	for _, id := range g.withholder.BackingOff(now) {
		poll.BackingOff = append(poll.BackingOff, uint64(id))
	}
	p.slowdownSync.report(&g.slowdowns, poll)
	p.outcomeSync.report(now, &g.outcomes, poll)
	p.originSync.report(now, p.snapshot.wantsStreams, &g.journal, poll)
	reportBrittleness(now, &g.rationer, poll)
	poll.Unreached = encodeReach(g.pathfinder.Unreached())
	poll.RelayAddress = g.Settings.RelayAddress()
	poll.PeersVersion = p.peersVersion
	poll.UnderWay = governor.EncodeLoads(p.report())
	poll.Number = uint64(p.reportNumber)
	return poll
}

// maxLossesPerPoll bounds the observations of lost upstreams in one poll.
const maxLossesPerPoll = 64

// unreportedLosses returns the observations of lost upstreams that the leader has not
// acknowledged. A new leader has none of those that were reported to its predecessor.
func (p *poller) unreportedLosses(now time.Time) []*messages.UpstreamLoss {
	p.sentObservation = p.ackedObservation
	if p.leadership == 0 {
		return nil
	}
	var reports []*messages.UpstreamLoss
	for _, n := range p.gateway.evidence.ObservationsAfter(now, p.ackedObservation, maxLossesPerPoll) {
		p.sentObservation = n.Number
		report := &messages.UpstreamLoss{
			Request:   uint64(n.Loss.Request),
			Life:      uint64(n.Loss.IncarnationID),
			Answering: n.Loss.Answering,
			Ran:       n.Ran,
			AgeNs:     int64(now.Sub(n.ObservedAt)),
		}
		for _, part := range n.Loss.Parts {
			report.Parts = append(report.Parts, uint64(part))
		}
		reports = append(reports, report)
	}
	return reports
}

// updateSuspects applies the leader's list of suspected requests and parts of prompts.
func (p *poller) updateSuspects(now time.Time, r *messages.EntryPollResponse) {
	if r.GetLeadership() != p.leadership {
		p.leadership = r.GetLeadership()
		p.ackedObservation, p.sentObservation = 0, 0
		p.limitSync = limitSync{}
		p.slowdownSync = slowdownSync{}
		p.originSync = originSync{}
	}
	p.ackedObservation = p.sentObservation
	if r.GetSuspects() == nil {
		return
	}
	p.suspects = r.GetSuspects().GetVersion()
	suspects := make([]units.Fingerprint, 0, len(r.GetSuspects().GetRequests()))
	for _, request := range r.GetSuspects().GetRequests() {
		suspects = append(suspects, units.Fingerprint(request))
	}
	p.gateway.evidence.SetSuspects(now, suspects)
	parts := make([]units.PromptPart, 0, len(r.GetSuspects().GetParts()))
	for _, part := range r.GetSuspects().GetParts() {
		parts = append(parts, units.PromptPart(part))
	}
	p.gateway.evidence.SetSuspectParts(now, parts)
}

// report returns the loads in flight for the next poll, and keeps them under its number.
func (p *poller) report() map[placer.Hash]placer.InFlightLoad {
	if p.reportNumber == 0 {
		p.reportNumber = placer.ReportNumber(p.gateway.incarnation)
		p.reports = make(map[placer.ReportNumber]map[placer.Hash]placer.InFlightLoad)
	}
	p.reportNumber++
	p.reports[p.reportNumber] = p.gateway.placer.InFlightLoads()
	delete(p.reports, p.reportNumber-maxReports)
	return p.reports[p.reportNumber]
}

// handleResponse applies the response of an instance. Upstreams and configurations are accepted
// from any instance, since they never go back; the lease, the shares of limits and the time
// only from the leader.
func (p *poller) handleResponse(sentAt time.Time, r *messages.EntryPollResponse) {
	now := timekeeper.Now()
	p.leader = r.GetLeader()
	p.snapshot.leader = p.leader
	p.updateControls(r.GetControls())
	changed := p.applyConfiguration(r.GetDeclaration())
	for _, m := range p.upstreamChanges(r) {
		id := units.Upstream(m.GetId())
		earlier := p.table.IncarnationOf(id)
		if p.table.Merge(now, m) {
			changed = true
			p.gateway.logUpstream(m)
			p.succeedUpstream(id, earlier)
		}
	}
	p.snapshot.rollouts = p.snapshot.rollouts.updated(sentAt, r)
	if requests, parts, updated := p.gateway.quarantine.update(r.GetQuarantines()); updated {
		p.gateway.evidence.ReportRecentRuns(now, requests)
		p.gateway.evidence.SetQuarantinedParts(now, parts)
	}
	if r.GetLeads() {
		p.handleLeaderResponse(now, sentAt, r)
	}
	p.updateReleases(now, changed)
	p.hasMore = r.GetMore()
	p.fleetStale = p.fleetStale || changed
	if p.fleetStale && !p.hasMore || p.snapshot.fleet == nil {
		p.fleetStale = false
		p.snapshot.fleet, p.snapshot.leaving = p.candidateBuilder.fleet(now, p.table, p.gateway.placer)
		p.snapshot.departed = departedUpstreams(p.table)
		p.gateway.placer.Retain(p.snapshot.fleet, p.snapshot.leaving)
		p.gateway.setPresent(p.snapshot.fleet)
		p.retainWithheld(now)
	}
	if r.GetLeads() {
		p.slowdownSync.handleResponse(p.gateway.placer, r)
	}
	updated := p.snapshot
	p.gateway.snapshot.Store(&updated)
	if r.GetLeads() && updated.table != nil {
		p.gateway.startupBarrier.release()
	}
}

// succeedUpstream passes on what an upstream has asked for if it has started again since the
// earlier incarnation.
func (p *poller) succeedUpstream(id units.Upstream, earlier units.Incarnation) {
	later := p.table.IncarnationOf(id)
	if earlier == 0 || later == earlier {
		return
	}
	startedAt := time.UnixMilli(int64(later)).Add(-p.snapshot.trueTimeOffset)
	p.gateway.withholder.Succeed(units.NewIncarnationID(id, earlier), units.NewIncarnationID(id, later), startedAt)
}

// retainWithheld drops what upstreams have asked for that are no longer in the table.
func (p *poller) retainWithheld(now time.Time) {
	known := make(map[units.IncarnationID]bool)
	for _, e := range p.table.Upstreams() {
		known[units.NewIncarnationID(e.ID, e.Incarnation)] = true
	}
	p.gateway.withholder.Retain(now, func(id units.IncarnationID) bool { return known[id] })
	p.gateway.returns.retain(known)
	p.gateway.direct.RetainIdentities(known)
}

// upstreamChanges returns the changes of the table in a response. A page that cannot be decoded
// leaves the table as it is, and the next full table repairs it.
func (p *poller) upstreamChanges(r *messages.EntryPollResponse) []*messages.RegisteredUpstream {
	changes := r.GetUpstreams()
	for _, page := range r.GetPages() {
		read, err := governor.DecodePage(page)
		if err != nil {
			p.gateway.Log.Error().Err(err).Str("leader", r.GetLeader()).Msg("upstreams-unreadable")
			p.controlSession(r.GetLeader()).cursor = 0
			continue
		}
		changes = append(changes, read...)
	}
	return changes
}

func (p *poller) handleLeaderResponse(now, sentAt time.Time, r *messages.EntryPollResponse) {
	// The lease starts when the poll was sent: what the leader knew then may have changed by
	// the time its response arrives.
	p.snapshot.lease = sentAt.Add(time.Duration(leaseFraction * float64(p.gateway.Settings.RevocationTimeout)))
	p.snapshot.trueTimeOffset = time.Unix(0, r.GetTrueTimeNs()).Sub(now)
	p.updateSuspects(now, r)
	p.snapshot.entries = entryCount(p.snapshot.entries, r)
	p.gateway.recordContact(sentAt, int(r.GetEntries()))
	p.applyPeers(r.GetPeers())
	applyBrittleness(now, &p.gateway.rationer, r)
	if p.gateway.Settings.OutlierEjection.Enabled {
		p.outcomeSync.handleResponse(now, p.gateway.placer, r)
	}
	p.originSync.handleResponse(now, &p.gateway.journal, r)
	p.gateway.originReports.set(p.originSync.reported)
	p.snapshot.leaderAt = sentAt
	p.snapshot.wantsStreams = r.GetWantsStreams()
	p.gateway.applyGrants(now, sentAt, r)
	p.limitSync.handleResponse(now, sentAt, &p.gateway.gate, r, p.snapshot.entries)
	p.gateway.placer.SetPeerLoads(&placer.PeerLoads{
		At:    now,
		Loads: placer.Subtract(governor.DecodeLoads(r.GetUnderWay()), p.reports[placer.ReportNumber(r.GetCounted())]),
	})
	if p.configuration == nil {
		return
	}
	p.gateway.quota.SetEntries(int(r.GetEntries()))
	for _, share := range r.GetShares() {
		account := p.configuration.Account(units.Account(share.GetAccount()))
		if account != nil && account.Rate > 0 {
			p.gateway.quota.SetShare(now, account, share.GetPart(), share.GetLevel())
		}
	}
	p.gateway.logExcesses(now)
}

// encodeDemand encodes the demand of all accounts.
func encodeDemand(demands map[units.Account]allocator.Demand) []*messages.AccountDemand {
	encoded := make([]*messages.AccountDemand, 0, len(demands))
	for account, demand := range demands {
		encoded = append(encoded, &messages.AccountDemand{
			Account:         string(account),
			TokensPerSecond: demand.Rate,
			Spent:           demand.Spent,
			Unheard:         demand.Unacknowledged,
			Level:           demand.Level,
			LevelAgeNs:      int64(demand.LevelAge),
			Share:           float32(demand.Share),
			Entries:         uint32(demand.Entries),
		})
	}
	return encoded
}

// applyPeers stores the entries that carry calls of this one, if they have changed.
func (p *poller) applyPeers(m *messages.RelayPeers) {
	if m == nil {
		return
	}
	p.peersVersion = m.GetVersion()
	peers := make([]relayer.Peer, 0, len(m.GetPeers()))
	for _, peer := range m.GetPeers() {
		decoded := relayer.Peer{
			Name:    units.Instance(peer.GetEntry()),
			Address: peer.GetAddress(),
		}
		for _, service := range peer.GetPartitioned() {
			decoded.Partitioned = append(decoded.Partitioned, units.Service(service))
		}
		peers = append(peers, decoded)
	}
	p.gateway.sender.SetPeers(peers)
}

// entryCount returns the number of entries.
//
// A new leader receives the polls of the entries one after another. If each entry used its
// first count, it would use the whole fleet's retry budget, and the connections of the other
// entries.
func entryCount(known int, r *messages.EntryPollResponse) int {
	reported := max(1, int(r.GetEntries()))
	if r.GetSettled() {
		return reported
	}
	return max(known, reported)
}

// updateControls stores the control instances that a response names.
func (p *poller) updateControls(controls []string) {
	if len(controls) > 0 {
		p.mergeControls(controls)
	}
}

// mergeControls stores the control instances, those of the settings first: they may be gone, or
// they may be the only ones left once the others are gone.
func (p *poller) mergeControls(controls []string) {
	known := slices.Clone(*p.gateway.seeds.Load())
	for _, address := range controls {
		if !slices.Contains(known, address) {
			known = append(known, address)
		}
	}
	p.controls = known
	for address := range p.controlSessions {
		if !slices.Contains(known, address) {
			delete(p.controlSessions, address)
		}
	}
}

// applyConfiguration applies a newer configuration; if it cannot be decoded, the last one stays
// in force.
func (p *poller) applyConfiguration(d *messages.Declaration) bool {
	version := units.Version(d.GetVersion())
	if d == nil || version <= p.version {
		return false
	}
	document, err := governor.DecompressConfiguration(d)
	if err != nil {
		p.gateway.Log.Error().Err(err).Uint64("version", uint64(version)).Msg("configuration-unreadable")
		return false
	}
	configuration, err := p.gateway.Decode(document)
	if err != nil {
		p.gateway.Log.Error().Err(err).Uint64("version", uint64(version)).Msg("configuration-unreadable")
		return false
	}
	p.version = version
	p.configuration = matcher.NewTable(configuration)
	p.snapshot.table = p.configuration
	p.gateway.quota.UpdateLimits(timekeeper.Now(), p.configuration)
	p.gateway.Log.Info().
		Uint64("version", uint64(version)).
		Int("routes", len(configuration.Routes)).
		Int("accounts", len(configuration.Accounts)).
		Msg("configuration-in-force")
	return true
}

func (p *poller) onControlRegained(address string) {
	if p.controlLost {
		p.gateway.Log.Info().Str("control", address).Msg("control-regained")
	}
	p.controlLost = false
}

func (p *poller) onControlLost() {
	if !p.controlLost {
		p.gateway.Log.Warn().
			Str("controls", fmt.Sprint(p.controls)).
			Msg("control-lost")
		p.controlLostAt = timekeeper.Now()
	}
	p.controlLost = true
}
