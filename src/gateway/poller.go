package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/governor"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/quarantiner"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// leastInterval and mostInterval bound the time between two polls. What others have
	// under way is as old as the last two, and a long prompt is read within some tenths of
	// a second. The most is a small part of every period that an entry must keep to.
	leastInterval = 50 * time.Millisecond
	mostInterval  = 200 * time.Millisecond
	// leaderPolls is how many polls a second the leader of a growing fleet takes before
	// entries poll less often.
	leaderPolls = 800
	// seekInterval is the pause after a question that found no leader. Elections
	// are over within some tenths of a second, in which every caller waits.
	seekInterval = 50 * time.Millisecond
	// readPause is the pause between the parts of a large table.
	readPause = 10 * time.Millisecond
	// seekFor is how long it stays that short: all entries asking all instances
	// for longer would keep control from what it has to do.
	seekFor = 2 * time.Second
	// toldPolls is how many polls are remembered: the leader counts the last or the one
	// before, and polls that got no answer may lie between.
	toldPolls = 16
	// pollTimeout lets a control instance that does not answer cost two polls.
	pollTimeout = 450 * time.Millisecond
	// leaseUse is the part of the revocation period for which an entry serves
	// calls with keys after it last heard the leader; the rest covers the way of
	// a call to its upstream.
	leaseUse = 0.88
	// readyUse is the part of the revocation period after which an entry that
	// has not heard the leader asks the balancer for no more callers.
	readyUse = 0.6
)

// poller follows control; one goroutine owns it.
type poller struct {
	gateway   *Gateway
	table     *enroller.Table
	upstreams upstreams
	controls  []string
	next      int
	leader    string
	// exchanges holds, by its address, what was exchanged with each instance.
	exchanges map[string]*exchange
	// followed is the table of the last instance that led.
	followed uint64
	declared *matcher.Table
	version  units.Version
	world    world
	// number counts the polls, and told holds what the last ones said is under way.
	number placer.ReportNumber
	told   map[placer.ReportNumber]map[placer.Hash]placer.InFlightLoad
	lost   bool
	lostAt time.Time
	// leadership is the one that the news up to heard were told to, sent the last news of the
	// poll under way, and suspects the version of what that leadership suspects.
	leadership uint64
	heard      quarantiner.Number
	sent       quarantiner.Number
	suspects   uint64
	pace       pace
	// more says that the last answer left something of the table out, stale that the fleet
	// is older than the table.
	more  bool
	stale bool
}

func (p *poller) run(ctx context.Context) {
	p.controls = slices.Clone(*p.gateway.seeds.Load())
	p.exchanges = make(map[string]*exchange)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		began := timekeeper.Now()
		p.round(ctx)
		now := timekeeper.Now()
		if p.more {
			timer.Reset(readPause)
			continue
		}
		timer.Reset(pause(interval(p.world.entries), now.Sub(began), now.Sub(p.lostAt), p.lost))
	}
}

// interval returns the time between two polls in a fleet of so many entries.
func interval(entries int) time.Duration {
	return min(mostInterval, max(leastInterval, time.Duration(entries)*time.Second/leaderPolls))
}

// pause returns how long to wait after a round that took so long, where lost
// says that no instance has led for a time of silence.
func pause(interval, took, silence time.Duration, lost bool) time.Duration {
	switch {
	case lost && silence < seekFor:
		return seekInterval
	case lost:
		return mostInterval
	}
	return max(0, interval-took)
}

// round asks control instances until one that leads has answered, each once.
func (p *poller) round(ctx context.Context) {
	p.more = false
	asked := make(map[string]bool)
	for range p.questions() {
		address := p.target(asked)
		if address == "" || ctx.Err() != nil {
			break
		}
		asked[address] = true
		if p.ask(ctx, address) {
			p.regained(address)
			return
		}
	}
	p.lose()
}

// questions returns how many instances to ask in a round. All of them were asked when the
// leader was lost; after that the next one, and the leader that it names. Hundreds of entries
// that go on asking all of them keep control from electing one.
func (p *poller) questions() int {
	if p.lost {
		return min(2, len(p.controls)+1)
	}
	return len(p.controls) + 1
}

// target returns the leader as far as it is known, else the next instance that
// was not asked in this round.
func (p *poller) target(asked map[string]bool) string {
	if p.leader != "" && !asked[p.leader] {
		return p.leader
	}
	for range p.controls {
		p.next++
		if address := p.controls[p.next%len(p.controls)]; !asked[address] {
			return address
		}
	}
	return ""
}

// ask polls one instance and reports whether it leads.
func (p *poller) ask(ctx context.Context, address string) bool {
	sentAt := timekeeper.Now()
	callContext, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	response := &messages.EntryPollResponse{}
	e := p.exchange(address)
	if err := p.gateway.Client.Call(callContext, address, governor.MethodPoll, p.poll(sentAt, e), response); err != nil {
		if p.leader == address {
			p.gateway.Log.Warn().Err(err).Str("control", address).Msg("leader-not-reached")
			p.leader = ""
		}
		return false
	}
	e.take(response)
	if response.GetLeads() && response.GetTableId() != p.followed {
		e.follow()
		p.followed = response.GetTableId()
	}
	p.take(sentAt, response)
	return response.GetLeads()
}

func (p *poller) exchange(address string) *exchange {
	e := p.exchanges[address]
	if e == nil {
		e = &exchange{}
		p.exchanges[address] = e
	}
	return e
}

func (p *poller) poll(now time.Time, e *exchange) *messages.EntryPoll {
	g := p.gateway
	poll := &messages.EntryPoll{
		Entry:              string(g.Settings.Name),
		Incarnation:        uint64(g.incarnation),
		DataCentre:         string(g.Settings.DataCentre),
		WallNs:             time.Now().UnixNano(),
		DeclarationVersion: uint64(p.version),
		TableId:            e.tableID,
		TableCursor:        e.cursor,
		Serving:            !g.stopping.Load(),
	}
	if e.cursor == 0 && p.world.fleet != nil {
		poll.TableDigest = p.table.Digest()
	}
	e.counts = g.counter.Counts(now.Add(p.world.trueOffset))
	e.fresh = e.usage.Unacknowledged(e.counts)
	for _, c := range e.fresh {
		poll.Usage = append(poll.Usage, &messages.WindowUsage{
			Window:  int64(c.Window),
			Account: string(c.Account),
			Count:   c.Calls,
		})
	}
	for account, demand := range g.quota.ReportDemand(now) {
		poll.Demand = append(poll.Demand, &messages.AccountDemand{
			Account:         string(account),
			TokensPerSecond: demand.Rate,
			Spent:           demand.Spent,
			Unheard:         demand.Unacknowledged,
			Level:           demand.Level,
			LevelAgeNs:      int64(demand.LevelAge),
		})
	}
	poll.Loads = g.figures.loads(now)
	poll.Versions = g.versions.tell(p.world.rollouts)
	poll.QuarantineNumber = g.quarantine.known()
	poll.Leadership = p.leadership
	poll.SuspectsVersion = p.suspects
	poll.Losses = p.losses(now)
	p.pace.tell(now, &g.gate, poll)
	poll.UnderWay = governor.EncodeLoads(p.tell())
	poll.Number = uint64(p.number)
	return poll
}

// mostLosses is how much news of lost upstreams one poll tells.
const mostLosses = 64

// losses returns the news of lost upstreams that the leader has not heard. One that has begun
// to lead knows nothing of what was told before.
func (p *poller) losses(now time.Time) []*messages.UpstreamLoss {
	p.sent = p.heard
	if p.leadership == 0 {
		return nil
	}
	var told []*messages.UpstreamLoss
	for _, n := range p.gateway.evidence.After(now, p.heard, mostLosses) {
		p.sent = n.Number
		told = append(told, &messages.UpstreamLoss{
			Request:   uint64(n.Loss.Request),
			Life:      uint64(n.Loss.Life),
			Answering: n.Loss.Answering,
			Ran:       n.Ran,
		})
	}
	return told
}

// followSuspects takes what the leader knows of requests that upstreams were lost with.
func (p *poller) followSuspects(now time.Time, r *messages.EntryPollResponse) {
	if r.GetLeadership() != p.leadership {
		p.leadership = r.GetLeadership()
		p.heard, p.sent = 0, 0
		p.pace = pace{}
	}
	p.heard = p.sent
	if r.GetSuspects() == nil {
		return
	}
	p.suspects = r.GetSuspects().GetVersion()
	suspects := make([]units.Fingerprint, 0, len(r.GetSuspects().GetRequests()))
	for _, request := range r.GetSuspects().GetRequests() {
		suspects = append(suspects, units.Fingerprint(request))
	}
	p.gateway.evidence.Follow(now, suspects)
}

// tell returns what is under way and keeps it as told by the next poll.
func (p *poller) tell() map[placer.Hash]placer.InFlightLoad {
	if p.number == 0 {
		p.number = placer.ReportNumber(p.gateway.incarnation)
		p.told = make(map[placer.ReportNumber]map[placer.Hash]placer.InFlightLoad)
	}
	p.number++
	p.told[p.number] = p.gateway.placer.InFlightLoads()
	delete(p.told, p.number-toldPolls)
	return p.told[p.number]
}

// take adopts what an instance answered. Upstreams and configurations count from
// any of them, since they never go back; the lease, the parts of limits and the
// time only from the one that leads.
func (p *poller) take(sentAt time.Time, r *messages.EntryPollResponse) {
	now := timekeeper.Now()
	p.leader = r.GetLeader()
	p.learn(r.GetControls())
	changed := p.adopt(r.GetDeclaration())
	for _, m := range p.upstreamsOf(r) {
		if p.table.Follow(now, m) {
			changed = true
			p.gateway.logUpstream(m)
		}
	}
	p.world.rollouts = p.world.rollouts.next(sentAt, r)
	p.gateway.evidence.Recall(now, p.gateway.quarantine.follow(r.GetQuarantines()))
	if r.GetLeads() {
		p.obey(now, sentAt, r)
	}
	p.more = r.GetMore()
	p.stale = p.stale || changed
	if p.stale && !p.more || p.world.fleet == nil {
		p.stale = false
		p.world.fleet, p.world.leaving = p.upstreams.fleet(now, p.table, p.gateway.placer)
		p.gateway.placer.Retain(p.world.fleet, p.world.leaving)
	}
	next := p.world
	p.gateway.world.Store(&next)
	if r.GetLeads() && next.table != nil {
		p.gateway.opening.open()
	}
}

// upstreamsOf returns the changes of the table that an answer brings. A page that cannot be
// read leaves the table as it is, and the next whole one mends it.
func (p *poller) upstreamsOf(r *messages.EntryPollResponse) []*messages.RegisteredUpstream {
	changes := r.GetUpstreams()
	for _, page := range r.GetPages() {
		read, err := governor.DecodePage(page)
		if err != nil {
			p.gateway.Log.Error().Err(err).Str("leader", r.GetLeader()).Msg("upstreams-unreadable")
			p.exchange(r.GetLeader()).cursor = 0
			continue
		}
		changes = append(changes, read...)
	}
	return changes
}

func (p *poller) obey(now, sentAt time.Time, r *messages.EntryPollResponse) {
	// The lease counts from the sending: what the leader knew then it may have
	// changed by the time its answer arrives.
	p.world.lease = sentAt.Add(time.Duration(leaseUse * float64(p.gateway.Settings.Revocation)))
	p.world.trueOffset = time.Unix(0, r.GetTrueTimeNs()).Sub(now)
	p.followSuspects(now, r)
	p.world.entries = countOf(p.world.entries, r)
	p.gateway.budget.SetEntries(p.world.entries)
	p.pace.follow(now, sentAt, &p.gateway.gate, r, p.world.entries)
	p.gateway.placer.SetPeerLoads(&placer.PeerLoads{
		At:    now,
		Loads: placer.Subtract(governor.DecodeLoads(r.GetUnderWay()), p.told[placer.ReportNumber(r.GetCounted())]),
	})
	if p.declared == nil {
		return
	}
	for _, share := range r.GetShares() {
		account := p.declared.Account(units.Account(share.GetAccount()))
		if account != nil && account.Rate > 0 {
			p.gateway.quota.SetShare(now, account, share.GetPart(), share.GetLevel())
		}
	}
}

// countOf returns how many entries there are.
//
// A new leader hears them one after another. Each entry that took its first count for
// all would use the whole fleet's retry budget, and connections of the others.
func countOf(known int, r *messages.EntryPollResponse) int {
	told := max(1, int(r.GetEntries()))
	if r.GetSettled() {
		return told
	}
	return max(known, told)
}

// learn remembers control instances, those of the settings first: they may be
// gone, and may be all that is left after the others are.
func (p *poller) learn(controls []string) {
	if len(controls) == 0 {
		return
	}
	known := slices.Clone(*p.gateway.seeds.Load())
	for _, address := range controls {
		if !slices.Contains(known, address) {
			known = append(known, address)
		}
	}
	p.controls = known
	for address := range p.exchanges {
		if !slices.Contains(known, address) {
			delete(p.exchanges, address)
		}
	}
}

// adopt takes over a newer configuration; one that cannot be read leaves the last
// in force.
func (p *poller) adopt(d *messages.Declaration) bool {
	version := units.Version(d.GetVersion())
	if d == nil || version <= p.version {
		return false
	}
	document, err := governor.DecompressConfiguration(d)
	if err != nil {
		p.gateway.Log.Error().Err(err).Uint64("version", uint64(version)).Msg("configuration-unreadable")
		return false
	}
	declaration, err := p.gateway.Decode(document)
	if err != nil {
		p.gateway.Log.Error().Err(err).Uint64("version", uint64(version)).Msg("configuration-unreadable")
		return false
	}
	p.version = version
	p.declared = matcher.NewTable(declaration)
	p.world.table = p.declared
	p.gateway.quota.UpdateLimits(timekeeper.Now(), p.declared)
	p.gateway.Log.Info().
		Uint64("version", uint64(version)).
		Int("routes", len(declaration.Routes)).
		Int("accounts", len(declaration.Accounts)).
		Msg("configuration-in-force")
	return true
}

func (p *poller) regained(address string) {
	if p.lost {
		p.gateway.Log.Info().Str("control", address).Msg("control-regained")
	}
	p.lost = false
}

func (p *poller) lose() {
	if !p.lost {
		p.gateway.Log.Warn().
			Str("controls", fmt.Sprint(p.controls)).
			Msg("control-lost")
		p.lostAt = timekeeper.Now()
	}
	p.lost = true
}
