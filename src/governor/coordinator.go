package governor

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/allocator"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/persister"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	eventQueueSize = 1024
	// pollQueueSize is the maximum number of queued polls; more wait at their connections.
	pollQueueSize = 256
	// pollTimeout is how long a poll is worth answering: after that its entry polls again.
	pollTimeout  = 400 * time.Millisecond
	tickInterval = 20 * time.Millisecond
	// startGraceHeartbeats is how many additional heartbeat intervals an instance accepts
	// heartbeats without a leader after its start. It must be less than the number of
	// intervals after which an upstream whose heartbeats no one receives counts as silent.
	startGraceHeartbeats = 1
	// batchTicks is how many ticks of heartbeats are sent in one batch.
	batchTicks = 2
	// heartbeatInterval and electionTimeout suit links with latencies of a few milliseconds
	// and disks that sync in tens of milliseconds; a lost leader is replaced within a second.
	heartbeatInterval = 75 * time.Millisecond
	electionTimeout   = 450 * time.Millisecond
	// repairDelay is how long a voter may be unreachable before a spare replaces it, well
	// below the interval after which another loss must be tolerated.
	repairDelay = 2 * time.Second
	// snapshotRecords and snapshotBytes bound the size of the log and the time of a restart.
	snapshotRecords = 256
	snapshotBytes   = 8 << 20
)

// coordinator owns the state of one control process.
type coordinator struct {
	settings  *parser.PlatformSettings
	log       zerolog.Logger
	decode    func([]byte) (*matcher.Configuration, error)
	now       func() time.Time
	wall      func() time.Time
	persister logStorage
	node      *replicator.Node
	state     *state
	outbox    messageSender
	events    chan event
	polls     chan pollReceived
	// ctx ends the calls that the coordinator itself starts.
	ctx context.Context

	table *enroller.Table
	// unsent are the upstreams whose changes were not sent to the other control instances yet.
	unsent      map[units.Upstream]bool
	departures  *departures
	ticks       int
	allocator   *allocator.Allocator
	estimator   timekeeper.Estimator
	inFlight    placer.LoadSum
	pollSummary *pollSummary
	// configuration is the decoded configuration in force, compressed the form that is sent
	// to entries.
	configuration *matcher.Configuration
	compressed    *messages.Declaration
	role          replicator.RoleChanged
	leaderSince   time.Time
	// leaderSeenAt is when a leader was last known.
	leaderSeenAt time.Time
	// leaderUntil is when this instance's right to act as the leader ends, in nanoseconds of
	// Unix time. Goroutines that act for the leader read it.
	leaderUntil atomic.Int64
	// proposalsByToken holds proposals that have no log index yet, proposalsByIndex those
	// that are not committed yet.
	proposalsByToken map[uint64][]chan<- declareReply
	proposalsByIndex map[units.Index]pendingProposal
	nextToken        uint64
	duties           *duties
	tableFile        *tableFile
	rollouts         *rollouts
	// quarantines blocks requests that terminate upstreams from reaching further ones.
	quarantines *quarantines
	rateLimits  *rateLimits
	backoffs    *backoffs
	slowdowns   *slowdowns
	ejections   *ejections
	reaches     *reaches
	brittleness *brittleness
	durability  *durability
	origins     *origins
	releases    *releases
	reserves    *reserves
	limits      *limits
	pages       pages
	// pagesFault and fileFault are what keeps the table from entries, and from the disk.
	pagesFault standingFault
	fileFault  standingFault
}

// logStorage keeps the replicated log of one voter.
type logStorage interface {
	// Save syncs the state and records, which replace all stored ones from the first one's index on.
	Save(state *messages.HardState, records []*messages.LogRecord) error
	// SaveSnapshot syncs a snapshot, and the records that follow it in place of all stored ones.
	SaveSnapshot(state *messages.HardState, snapshot *messages.LogSnapshot, base *messages.RecordsHeader, records []*messages.LogRecord) error
}

type pendingProposal struct {
	term    units.Term
	replies []chan<- declareReply
}

func newCoordinator(g *Governor, storage logStorage, stored *persister.Contents) (*coordinator, error) {
	c := &coordinator{
		settings:  g.Settings,
		log:       g.Log,
		decode:    g.Decode,
		now:       g.Clock,
		wall:      g.Wall,
		persister: storage,
		state: &state{
			ledger: &aggregator.Ledger{
				WindowLength: g.Settings.Usage.Window,
				MaxWait:      time.Duration(reportWaitFraction * float64(g.Settings.Usage.MaxDelay)),
				MaxServing:   g.Settings.RevocationTimeout,
			},
		},
		outbox: &outbox{
			client: g.Client,
			log:    g.Log,
		},
		events: g.events,
		polls:  g.polls,
		table: &enroller.Table{
			ID:       rand.Uint64(),
			Interval: g.Settings.HeartbeatInterval,
		},
		unsent: make(map[units.Upstream]bool),
		// All control instances may have started at the same time, so there may be no leader
		// yet.
		leaderSeenAt:     g.Clock().Add(startGraceHeartbeats * g.Settings.HeartbeatInterval),
		allocator:        &allocator.Allocator{},
		proposalsByToken: make(map[uint64][]chan<- declareReply),
		proposalsByIndex: make(map[units.Index]pendingProposal),
	}
	c.duties = &duties{
		coordinator: c,
		cloud:       g.Cloud,
	}
	c.rollouts = &rollouts{
		coordinator: c,
	}
	c.quarantines = &quarantines{
		coordinator: c,
		evidence:    storedEvidence{coordinator: c},
	}
	c.rateLimits = &rateLimits{
		coordinator: c,
	}
	c.slowdowns = &slowdowns{
		coordinator: c,
	}
	c.ejections = &ejections{
		coordinator: c,
	}
	if g.Meter != nil {
		c.ejections.scope = g.Meter.Scope
	}
	c.backoffs = &backoffs{
		coordinator: c,
	}
	c.reaches = &reaches{
		coordinator: c,
	}
	c.brittleness = &brittleness{
		coordinator: c,
	}
	c.origins = &origins{
		coordinator: c,
	}
	c.releases = &releases{
		coordinator: c,
	}
	c.departures = &departures{
		coordinator: c,
	}
	c.table.IsWithheld = c.releases.isWithheld
	c.table.IsNamed = c.namesService
	c.reserves = newReserves(c, g.Meter)
	c.limits = &limits{
		coordinator: c,
	}
	if err := c.restore(stored.Snapshot); err != nil {
		return nil, err
	}
	c.loadTable()
	c.node = replicator.New(c.now(), c.options(stored), replicator.StoredState{
		State:    stored.State,
		Snapshot: stored.Snapshot,
		Base:     stored.Base,
		Records:  stored.Records,
	})
	c.durability = &durability{
		node:   c.node,
		log:    c.log,
		voters: c.settings.Voters(),
	}
	return c, nil
}

// loadTable restores the upstreams saved on disk. Without them the table fills up again with
// the heartbeats of the upstreams.
func (c *coordinator) loadTable() {
	c.tableFile = newTableFile(c.settings.DataFolder)
	loaded, departed, err := c.tableFile.load(c.now(), c.table)
	if err != nil {
		c.log.Warn().Err(err).Msg("upstreams-not-recalled")
		return
	}
	c.log.Info().
		Int("upstreams", loaded).
		Int("departed", departed).
		Msg("upstreams-recalled")
}

// options configures the voter. Only the seeds may create a log, and only at the very first
// start: any other instance may have lost a log that it had, and waits to be added to one.
func (c *coordinator) options(stored *persister.Contents) replicator.Options {
	seeds := c.settings.SeedPeers()
	own := c.settings.OwnPeerAddress()
	options := replicator.Options{
		ID:                stored.ID,
		DataCentre:        c.settings.DataCentre,
		VoterCount:        c.settings.Voters(),
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		RepairTimeout:     repairDelay,
		SnapshotRecords:   snapshotRecords,
		SnapshotBytes:     snapshotBytes,
		Random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		JoinOnly:          !c.settings.FirstStart || !slices.Contains(seeds, own),
	}
	// All seeds must agree on the order, in whatever order their settings list them.
	slices.Sort(seeds)
	for _, seed := range seeds {
		options.Instances = append(options.Instances, replicator.EligibleInstance{Instance: units.Instance(seed)})
	}
	return options
}

// run handles events until ctx ends or the disk fails.
func (c *coordinator) run(ctx context.Context) error {
	c.ctx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		e := c.nextEvent(ctx, ticker.C)
		if e == nil {
			return nil
		}
		if err := c.handleEvent(e); err != nil {
			return err
		}
	}
}

// nextEvent returns the next event, nil once ctx ends. Polls have the lowest priority.
//
// With a single queue, the polls of two hundred entries were handled before the voters'
// messages: the leader sent its heartbeats late, lost its majority without any fault, and all
// entries polled every control instance to find the leader. Polls that wait a little longer
// cost far less than an election.
func (c *coordinator) nextEvent(ctx context.Context, ticks <-chan time.Time) event {
	select {
	case <-ctx.Done():
		return nil
	case <-ticks:
		return ticked{}
	case e := <-c.events:
		return e
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case <-ticks:
		return ticked{}
	case e := <-c.events:
		return e
	case p := <-c.polls:
		return p
	}
}

func (c *coordinator) tick(ctx context.Context) error {
	if err := c.step(replicator.Ticked{}); err != nil {
		return err
	}
	now := c.now()
	c.durability.tick()
	if c.node.LeaderID() != "" {
		c.leaderSeenAt = now
	}
	c.table.Expire(now)
	c.fileFault.record(c.log, "upstreams-not-kept", c.tableFile.save(now, c.table))
	if c.ticks++; c.ticks%batchTicks == 0 {
		c.sendBatch(now)
	}
	return c.tickLeader(ctx, now)
}

// tickLeader does the leader's periodic work while this instance leads.
func (c *coordinator) tickLeader(ctx context.Context, now time.Time) error {
	if c.isLeader(now) {
		c.rateLimits.tick(now)
		c.slowdowns.tick(now)
		c.ejections.tick(now)
		c.brittleness.tick(now)
		c.origins.tick()
		if err := errors.Join(c.departures.tick(), c.rollouts.tick(now), c.releases.tick(now), c.quarantines.tick(now), c.reserves.tick(now), c.limits.tick(now)); err != nil {
			return err
		}
	} else {
		c.ejections.endLeadership()
	}
	// The previous holder may still act: its calls in flight arrive late. Holders that
	// alternate within the lease would contradict each other.
	if !c.isLeader(now) || now.Sub(c.leaderSince) < dutyDelay(c.node.Term(), c.settings.DutyLease) {
		return nil
	}
	return c.duties.tick(ctx, now)
}

// firstTerm is the lowest term in which a log can have a leader.
const firstTerm units.Term = 1

// dutyDelay returns how long a new leader waits before it acts on the duties: its predecessor
// may have sent something that is still on its way. The first leader has no predecessor, and
// each second that it waited would be paid for a whole fleet at the full price.
func dutyDelay(term units.Term, lease time.Duration) time.Duration {
	if term == firstTerm {
		return 0
	}
	return lease
}

// isLeader reports whether this instance leads. The first call of a leadership resets what
// the leader has received from entries.
//
// The reset must precede the first answer to a poll. With the state of an earlier leadership,
// entries took an account's limit from a bucket of unknown size and admitted all its calls
// for a second.
func (c *coordinator) isLeader(now time.Time) bool {
	end := c.node.LeaseEnd(now)
	if end.IsZero() {
		c.leaderUntil.Store(0)
		c.leaderSince = time.Time{}
		return false
	}
	c.leaderUntil.Store(end.UnixNano())
	if c.leaderSince.IsZero() {
		c.leaderSince = now
		c.allocator = &allocator.Allocator{
			Lease:  c.settings.RevocationTimeout,
			Window: allocator.NewWindow(c.settings.Quota),
			Since:  now,
		}
		// The cached summary counts the entries of an earlier leadership.
		c.pollSummary = nil
		c.limits.startLeadership(now)
		c.duties.startLeadership()
		c.reserves.startLeadership()
		c.rollouts.startLeadership()
		c.quarantines.startLeadership()
		c.rateLimits.startLeadership()
		c.backoffs.startLeadership()
		c.slowdowns.startLeadership()
		c.ejections.startLeadership()
		c.reaches.startLeadership()
		c.brittleness.startLeadership()
		c.origins.startLeadership()
		c.releases.startLeadership()
	}
	return true
}

func (c *coordinator) handleEvent(e event) error {
	switch e := e.(type) {
	case logMessageReceived:
		return c.step(replicator.MessageReceived{Message: e.message})
	case declareRequested:
		return c.handleDeclare(e)
	case readRequested:
		e.reply <- c.read()
	case ticked:
		return c.tick(c.ctx)
	case pollReceived, announcementReceived, findStreamRequested, upstreamBatchReceived:
		return c.handleFleetEvent(e)
	case rolloutRequested:
		return c.rollouts.start(e)
	case rolloutReadRequested:
		e.reply <- c.rollouts.read(e.service)
	case usageReportEnded:
		c.duties.handleReportResult(e)
	case orderEnded:
		c.duties.orders.handleResult(e, c.duties)
	case settingsReloaded:
		for _, seed := range e.settings.SeedPeers() {
			c.node.AddInstance(units.Instance(seed))
		}
	case dumpRequested:
		e.reply <- c.dump()
	}
	return nil
}

// handleFleetEvent handles an event of entries or upstreams.
func (c *coordinator) handleFleetEvent(e event) error {
	switch e := e.(type) {
	case pollReceived:
		return c.handlePoll(e)
	case announcementReceived:
		e.reply <- c.handleAnnouncement(e)
	case findStreamRequested:
		e.reply <- c.origins.find(c.now(), e.request)
	case upstreamBatchReceived:
		e.reply <- c.syncUpstreams(e.batch)
	}
	return nil
}

// handleDeclare proposes a configuration. It replies at once where this instance leads and
// the same or a higher version is in force: that one is committed, so the reply is final.
func (c *coordinator) handleDeclare(e declareRequested) error {
	if !c.node.IsConfirmedLeader(c.now()) {
		e.reply <- declareReply{leader: string(c.node.LeaderID())}
		return nil
	}
	if e.declaration.GetVersion() <= c.state.configuration.GetVersion() {
		c.durability.accept(e.reply)
		return nil
	}
	c.nextToken++
	c.proposalsByToken[c.nextToken] = []chan<- declareReply{e.reply}
	return c.step(replicator.Proposed{
		Command: &messages.Command{
			Change: &messages.Command_Declaration{
				Declaration: e.declaration,
			},
		},
		Token: c.nextToken,
	})
}

// read replies from the state while the lease guarantees that no later leader has changed it.
func (c *coordinator) read() readReply {
	if !c.node.IsConfirmedLeader(c.now()) {
		return readReply{leader: string(c.node.LeaderID())}
	}
	return readReply{
		authoritative: true,
		declaration:   c.state.configuration,
	}
}

// namesService reports whether the configuration in force names a service. An instance that has none yet may hold the
// upstreams of a fleet already, and must not let one of them take the place of another.
func (c *coordinator) namesService(service units.Service) bool {
	return c.configuration != nil && slices.ContainsFunc(c.configuration.Services, func(s matcher.Service) bool { return s.Name == service })
}

// controls returns the addresses of all known control instances.
func (c *coordinator) controls() []string {
	addresses := []string{c.settings.OwnPeerAddress()}
	for _, instance := range c.node.OtherInstances() {
		addresses = append(addresses, string(instance))
	}
	return addresses
}
