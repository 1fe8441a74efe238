package governor

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/apportioner"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/keeper"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/tallier"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	boxSize = 1024
	// pollsSize is how many polls wait at most; more wait at their connections.
	pollsSize = 256
	// pollPatience is how long a poll is worth an answer: by then its entry asks again.
	pollPatience = 400 * time.Millisecond
	tickInterval = 20 * time.Millisecond
	// startGrace is how many more heartbeats an instance takes without a leader after its
	// start: fewer than it takes for an upstream that nobody hears to count as silent.
	startGrace = 1
	// spreadTicks is how many ticks gather heartbeats into one batch.
	spreadTicks = 2
	// heartbeat and election suit links of a few milliseconds and disks that sync
	// in tens of them; a lost leader is replaced within a second.
	heartbeat = 75 * time.Millisecond
	election  = 450 * time.Millisecond
	// repair is how long a voter may be gone before a spare takes its place, well
	// below the time after which another loss must be borne.
	repair = 2 * time.Second
	// snapshotRecords and snapshotBytes bound the log and the time of a restart.
	snapshotRecords = 256
	snapshotBytes   = 8 << 20
)

// coordinator owns the state of one control process.
type coordinator struct {
	settings *parser.Deployment
	log      zerolog.Logger
	decode   func([]byte) (*matcher.Declaration, error)
	keeper   *keeper.Keeper
	node     *replicator.Node
	state    *state
	outbox   *outbox
	box      chan event
	polls    chan polled
	// ctx ends what the coordinator sends on its own account.
	ctx context.Context

	table     *enroller.Table
	fresh     map[units.Upstream]bool
	ticks     int
	divider   *apportioner.Allocator
	estimator timekeeper.Estimator
	underWay  placer.LoadSum
	digest    *digest
	// declared is the configuration in force, packed its form for entries.
	declared  *matcher.Declaration
	packed    *messages.Declaration
	role      replicator.RoleChanged
	leadSince time.Time
	// followedAt is when there was a leader last.
	followedAt time.Time
	// leadUntil is until when this instance may act as the leader, in
	// nanoseconds, for goroutines that act for it.
	leadUntil atomic.Int64
	proposals map[uint64]chan<- declareReply
	pending   map[units.Index]pendingProposal
	nextToken uint64
	duties    *duties
	memory    *memory
	rollouts  *rollouts
	// quarantines keeps requests that end upstreams away from them.
	quarantines *quarantines
	pacing      *pacing
	pages       pages
}

type pendingProposal struct {
	term  units.Term
	reply chan<- declareReply
}

func newCoordinator(g *Governor, folder *keeper.Keeper, kept *keeper.Kept) (*coordinator, error) {
	c := &coordinator{
		settings: g.Settings,
		log:      g.Log,
		decode:   g.Decode,
		keeper:   folder,
		state: &state{
			ledger: &tallier.Ledger{
				Length:   g.Settings.Usage.Window,
				Patience: time.Duration(reportUse * float64(g.Settings.Usage.Lateness)),
				Serves:   g.Settings.Revocation,
			},
		},
		outbox: &outbox{client: g.Client},
		box:    g.box,
		polls:  g.polls,
		table: &enroller.Table{
			ID:       rand.Uint64(),
			Interval: g.Settings.HeartbeatInterval,
		},
		fresh: make(map[units.Upstream]bool),
		// All control instances may have started together.
		followedAt: timekeeper.Now().Add(startGrace * g.Settings.HeartbeatInterval),
		divider:    &apportioner.Allocator{},
		proposals:  make(map[uint64]chan<- declareReply),
		pending:    make(map[units.Index]pendingProposal),
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
	}
	c.pacing = &pacing{
		coordinator: c,
	}
	if err := c.restore(kept.Snapshot); err != nil {
		return nil, err
	}
	c.recall()
	c.node = replicator.New(timekeeper.Now(), c.options(kept), replicator.Stored{
		State:    kept.State,
		Snapshot: kept.Snapshot,
		Base:     kept.Base,
		Records:  kept.Records,
	})
	return c, nil
}

// recall puts the upstreams that were kept into the table; without them they come
// back by their heartbeats.
func (c *coordinator) recall() {
	c.memory = newMemory(c.settings.DataFolder)
	count, err := c.memory.load(timekeeper.Now(), c.table)
	if err != nil {
		c.log.Warn().Err(err).Msg("upstreams-not-recalled")
		return
	}
	c.log.Info().Int("upstreams", count).Msg("upstreams-recalled")
}

// options sets up the voter. Only the seeds of the very first start found a log:
// any other instance may have forgotten one, and waits to be taken in.
func (c *coordinator) options(kept *keeper.Kept) replicator.Options {
	seeds := c.settings.SeedPeers()
	own := c.settings.OwnPeerAddress()
	options := replicator.Options{
		ID:              kept.ID,
		DataCentre:      c.settings.DataCentre,
		Voters:          c.settings.Voters(),
		Heartbeat:       heartbeat,
		Election:        election,
		Repair:          repair,
		SnapshotRecords: snapshotRecords,
		SnapshotBytes:   snapshotBytes,
		Random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Joining:         !c.settings.FirstStart || !slices.Contains(seeds, own),
	}
	// All seeds must agree on the order, whatever order each was told.
	slices.Sort(seeds)
	for _, seed := range seeds {
		options.Instances = append(options.Instances, replicator.Place{Instance: units.Instance(seed)})
	}
	return options
}

// run takes events until ctx ends or the disk fails.
func (c *coordinator) run(ctx context.Context) error {
	c.ctx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		e := c.next(ctx, ticker.C)
		if e == nil {
			return nil
		}
		if err := c.take(e); err != nil {
			return err
		}
	}
}

// next returns what is to be done next, nil once ctx ends. Polls go last.
//
// With one box for all, the polls of two hundred entries stood before the voters'
// messages: the leader sent its heartbeats late, lost its majority on a day without
// faults, and all entries asked all the others who leads. Polls that wait a little longer
// cost nothing that an election does not cost many times.
func (c *coordinator) next(ctx context.Context, ticks <-chan time.Time) event {
	select {
	case <-ctx.Done():
		return nil
	case <-ticks:
		return ticked{}
	case e := <-c.box:
		return e
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case <-ticks:
		return ticked{}
	case e := <-c.box:
		return e
	case p := <-c.polls:
		return p
	}
}

func (c *coordinator) tick(ctx context.Context) error {
	if err := c.step(replicator.Ticked{}); err != nil {
		return err
	}
	now := timekeeper.Now()
	if c.node.LeaderID() != "" {
		c.followedAt = now
	}
	c.table.Expire(now)
	if err := c.memory.keep(now, c.table); err != nil {
		c.log.Warn().Err(err).Msg("upstreams-not-kept")
	}
	if c.ticks++; c.ticks%spreadTicks == 0 {
		c.spreadFresh(now)
	}
	return c.lead(ctx, now)
}

// lead keeps the duties while this instance leads.
func (c *coordinator) lead(ctx context.Context, now time.Time) error {
	if c.leads(now) {
		c.pacing.work(now)
		if err := errors.Join(c.rollouts.work(now), c.quarantines.work(now)); err != nil {
			return err
		}
	}
	// The holder before may still act: its calls under way arrive late. Holders
	// that took turns within the span would contradict each other.
	if !c.leads(now) || now.Sub(c.leadSince) < dutyWait(c.node.Term(), c.settings.DutyLease) {
		return nil
	}
	return c.duties.work(ctx, now)
}

// firstTerm is the term of the first leader that a log can have.
const firstTerm units.Term = 1

// dutyWait returns how long a leader leaves what it does for all alone: the one before
// may have sent something that is still on its way. Nobody was before the first, and
// each second that it waits a whole fleet stands at the full price.
func dutyWait(term units.Term, lease time.Duration) time.Duration {
	if term == firstTerm {
		return 0
	}
	return lease
}

// leads reports whether this instance leads, and makes anew what a leader keeps of
// the entries.
//
// Whoever asks first after the election must find it made: answered from before,
// entries took an account's limit from a bucket of no known size, and admitted all
// its calls for a second.
func (c *coordinator) leads(now time.Time) bool {
	end := c.node.LeaseEnd(now)
	if end.IsZero() {
		c.leadUntil.Store(0)
		c.leadSince = time.Time{}
		return false
	}
	c.leadUntil.Store(end.UnixNano())
	if c.leadSince.IsZero() {
		c.leadSince = now
		c.divider = &apportioner.Allocator{
			Lease:  c.settings.Revocation,
			Window: apportioner.NewWindow(c.settings.Quota),
			Since:  now,
		}
		// The last digest has the entries of an earlier leadership.
		c.digest = nil
		c.duties.begin()
		c.rollouts.begin()
		c.quarantines.begin()
		c.pacing.begin()
	}
	return true
}

func (c *coordinator) take(e event) error {
	switch e := e.(type) {
	case arrived:
		return c.step(replicator.Received{Message: e.message})
	case declared:
		return c.declare(e)
	case asked:
		e.reply <- c.read()
	case ticked:
		return c.tick(c.ctx)
	case polled:
		return c.answer(e)
	case announced:
		e.reply <- c.announce(e)
	case spread:
		e.reply <- c.spread(e.batch)
	case rolloutAsked:
		return c.rollouts.start(e)
	case rolloutRead:
		e.reply <- c.rollouts.read(e.service)
	case reportEnded:
		c.duties.reported(e)
	case orderEnded:
		c.duties.orders.ended(e, c.duties)
	case reloaded:
		for _, seed := range e.settings.SeedPeers() {
			c.node.Meet(units.Instance(seed))
		}
	case dumpAsked:
		e.reply <- c.dump()
	}
	return nil
}

// declare proposes a configuration, or answers at once where this instance leads
// and a higher one is in force: that one is committed, so that the answer stands.
func (c *coordinator) declare(e declared) error {
	if !c.node.Lead(timekeeper.Now()) {
		e.reply <- declareReply{leader: string(c.node.LeaderID())}
		return nil
	}
	if e.declaration.GetVersion() <= c.state.declaration.GetVersion() {
		e.reply <- declareReply{accepted: true}
		return nil
	}
	c.nextToken++
	c.proposals[c.nextToken] = e.reply
	return c.step(replicator.Proposed{
		Command: &messages.Command{
			Change: &messages.Command_Declaration{
				Declaration: e.declaration,
			},
		},
		Token: c.nextToken,
	})
}

// read answers from the state while the lease shows that no later leader has
// changed it.
func (c *coordinator) read() readReply {
	if !c.node.Lead(timekeeper.Now()) {
		return readReply{leader: string(c.node.LeaderID())}
	}
	return readReply{
		sure:        true,
		declaration: c.state.declaration,
	}
}

// controls returns the addresses of all control instances that are known.
func (c *coordinator) controls() []string {
	addresses := []string{c.settings.OwnPeerAddress()}
	for _, instance := range c.node.Acquaintances() {
		addresses = append(addresses, string(instance))
	}
	return addresses
}
