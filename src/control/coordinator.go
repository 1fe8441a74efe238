package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/distributor"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/persister"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	eventQueueSize = 1024
	// snapshotRecords and snapshotBytes bound the size of the log and the duration of
	// a restart.
	snapshotRecords = 256
	snapshotBytes   = 8 << 20
	tickInterval    = 10 * time.Millisecond
	// entryExpiryPeriods is the number of fence periods without a heartbeat after which
	// an entry may be forgotten.
	entryExpiryPeriods = 2
)

// coordinator owns the state of one control process.
type coordinator struct {
	settings  *parser.Settings
	log       zerolog.Logger
	persister *persister.Persister
	node      *replicator.Node
	state     *configurationMachine
	// stateMachines hold the replicated state; each command is applied to all of them.
	stateMachines     []stateMachine
	leaderTasks       []leaderTask
	heartbeatHandlers []heartbeatHandler
	leading           bool
	// ctx bounds the requests that the coordinator itself sends.
	ctx       context.Context
	events    chan event
	outbox    *outbox
	proposals map[uint64]chan<- submitReply
	nextToken uint64
	// pending holds the proposals that are in the log and not committed yet.
	pending      map[units.Index]pendingProposal
	distribution *distribution
	role         replicator.RoleChanged
	registry     *registry
	fleet        *fleet
	orders       *orderSender
	purchases    *purchaser
}

type pendingProposal struct {
	term  units.Term
	reply chan<- submitReply
}

func newCoordinator(settings *parser.Settings, log zerolog.Logger, folder *persister.Persister,
	kept *persister.Contents, out *outbox,
) (*coordinator, error) {
	configuration := &configurationMachine{
		log: log,
	}
	registry := newRegistry(settings.Timing, log)
	entryDistribution := &distribution{
		state: configuration,
		pusher: &distributor.Pusher{
			Client: out.client,
		},
		proof: distributor.Proof{
			LeaseDuration: settings.Timing.FenceTimeout,
		},
		entries: make(map[units.Instance]*entryState),
	}
	fleet := &fleet{}
	events := make(chan event, eventQueueSize)
	orders := newOrderSender(settings, log, configuration, fleet, events)
	ledger := &purchaseLedger{}
	purchases := newPurchaser(log, ledger, orders, events)
	c := &coordinator{
		settings:          settings,
		log:               log,
		persister:         folder,
		state:             configuration,
		stateMachines:     []stateMachine{configuration, registry, entryDistribution, ledger},
		leaderTasks:       []leaderTask{registry, entryDistribution, fleet, orders, purchases},
		heartbeatHandlers: []heartbeatHandler{registry, fleet},
		events:            events,
		fleet:             fleet,
		orders:            orders,
		purchases:         purchases,
		outbox:            out,
		proposals:         make(map[uint64]chan<- submitReply),
		pending:           make(map[units.Index]pendingProposal),
		distribution:      entryDistribution,
		registry:          registry,
	}
	if err := c.restore(kept.Snapshot); err != nil {
		return nil, err
	}
	c.node = replicator.New(time.Now(), options(settings, kept.ID), replicator.StoredState{
		State:    kept.State,
		Snapshot: kept.Snapshot,
		Base:     kept.Base,
		Records:  kept.Records,
	})
	return c, nil
}

func options(settings *parser.Settings, id units.VoterID) replicator.Options {
	eligible := make([]replicator.EligibleInstance, 0, len(settings.Control))
	for _, instance := range settings.Control {
		eligible = append(eligible, replicator.EligibleInstance{
			Instance:   instance.Name,
			DataCentre: instance.DataCentre,
		})
	}
	return replicator.Options{
		ID:                id,
		DataCentre:        settings.DataCentre,
		Instances:         eligible,
		VoterCount:        settings.Voters,
		HeartbeatInterval: settings.Timing.HeartbeatInterval,
		ElectionTimeout:   settings.Timing.ElectionTimeout,
		RepairTimeout:     settings.Timing.ReplacementDelay,
		SnapshotRecords:   snapshotRecords,
		SnapshotBytes:     snapshotBytes,
		Random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// run handles events until ctx ends or the disk fails.
func (c *coordinator) run(ctx context.Context) error {
	c.ctx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			err = c.tick()
		case e := <-c.events:
			err = c.handleEvent(e)
		}
		if err != nil {
			return err
		}
	}
}

func (c *coordinator) tick() error {
	if err := c.step(replicator.Ticked{}); err != nil {
		return err
	}
	return c.runLeaderTasks(time.Now())
}

// runLeaderTasks runs the leader tasks while this instance leads, and stops them once
// when it no longer does.
func (c *coordinator) runLeaderTasks(now time.Time) error {
	isLeader := c.node.IsConfirmedLeader(now)
	if !isLeader && c.leading {
		for _, d := range c.leaderTasks {
			d.StopLeading()
		}
	}
	c.leading = isLeader
	if !isLeader {
		return nil
	}
	for _, d := range c.leaderTasks {
		if err := c.proposeAll(d.Lead(now, c.node.Term())); err != nil {
			return err
		}
	}
	return nil
}

func (c *coordinator) proposeAll(commands []*messages.Command) error {
	for _, command := range commands {
		if err := c.step(replicator.Proposed{Command: command}); err != nil {
			return err
		}
	}
	return nil
}

func (c *coordinator) handleEvent(e event) error {
	switch e := e.(type) {
	case logMessageReceived:
		return c.step(replicator.MessageReceived{Message: e.message})
	case commandSubmitted:
		return c.propose(e)
	case heartbeatReceived:
		e.reply <- c.handleHeartbeat(e.heartbeat)
	case statusRequested:
		e.reply <- c.status()
	case reportReceived:
		c.report(e)
	case orderAnswered:
		c.orders.answer(e)
	case cloudAnswered:
		return c.proposeAll(c.purchases.answer(e))
	case dumpRequested:
		e.reply <- c.dump()
	}
	return nil
}

func (c *coordinator) propose(e commandSubmitted) error {
	c.nextToken++
	c.proposals[c.nextToken] = e.reply
	return c.step(replicator.Proposed{
		Command: e.command,
		Token:   c.nextToken,
	})
}

func (c *coordinator) step(e replicator.Event) error {
	for _, action := range c.node.Step(time.Now(), e) {
		if err := c.carryOut(action); err != nil {
			return err
		}
	}
	return nil
}

func (c *coordinator) carryOut(action replicator.Action) error {
	switch a := action.(type) {
	case replicator.Persist:
		// A voter that continued after a failed sync would acknowledge records that
		// a crash could lose. It stops instead, and the majority continues.
		if err := c.persister.Save(a.State, a.Records); err != nil {
			return fmt.Errorf("store log records: %w", err)
		}
	case replicator.PersistSnapshot:
		if err := c.persister.SaveSnapshot(a.State, a.Snapshot, a.Base, a.Records); err != nil {
			return fmt.Errorf("store a snapshot: %w", err)
		}
	case replicator.TakeSnapshot:
		return c.takeSnapshot(a)
	case replicator.Restore:
		return c.restore(a.Snapshot)
	case replicator.MembershipChanged:
		c.reportMembership(a.Membership)
	case replicator.Halt:
		return a.Err
	case replicator.Send:
		c.outbox.enqueue(a.Message)
	case replicator.Apply:
		c.apply(a.Records)
	case replicator.Appended:
		c.trackProposal(a)
	case replicator.Rejected:
		c.reject(a)
	case replicator.RoleChanged:
		c.changeRole(a)
	}
	return nil
}

// trackProposal keeps the reply channel of an appended proposal until it is
// committed. A leader task's proposal has none.
func (c *coordinator) trackProposal(a replicator.Appended) {
	reply, waiting := c.proposals[a.Token]
	if !waiting {
		return
	}
	delete(c.proposals, a.Token)
	c.pending[a.Index] = pendingProposal{
		term:  a.Term,
		reply: reply,
	}
}

func (c *coordinator) reject(a replicator.Rejected) {
	reply, waiting := c.proposals[a.Token]
	if !waiting {
		return
	}
	delete(c.proposals, a.Token)
	reply <- submitReply{err: &NotLeaderError{Leader: a.Leader}}
}

func (c *coordinator) changeRole(a replicator.RoleChanged) {
	c.role = a
	c.log.Info().
		Stringer("new-role", a.Role).
		Uint64("term", uint64(a.Term)).
		Str("leader", string(a.Leader)).
		Msg("role-changed")
	if a.Role == replicator.Leader {
		return
	}
	for index, proposal := range c.pending {
		proposal.reply <- submitReply{err: &LostLeadershipError{}}
		delete(c.pending, index)
	}
}

func (c *coordinator) apply(records []*messages.LogRecord) {
	for _, record := range records {
		index := units.Index(record.GetIndex())
		result := c.applyCommand(index, record.GetCommand())
		proposal, waiting := c.pending[index]
		if !waiting {
			continue
		}
		delete(c.pending, index)
		if proposal.term != units.Term(record.GetTerm()) {
			proposal.reply <- submitReply{err: &LostLeadershipError{}}
			continue
		}
		proposal.reply <- submitReply{result: result}
	}
	before := c.distribution.source.Version()
	c.distribution.updateSource()
	if c.leading && c.distribution.source.Version() > before {
		c.distribution.push(c.ctx, time.Now())
	}
}

func (c *coordinator) applyCommand(index units.Index, command *messages.Command) proto.Message {
	var outcome proto.Message
	for _, m := range c.stateMachines {
		if result := m.Apply(index, command); result != nil {
			outcome = result
		}
	}
	return outcome
}

func (c *coordinator) handleHeartbeat(heartbeat *messages.EntryHeartbeat) *messages.EntryHeartbeatResponse {
	now := time.Now()
	response := &messages.EntryHeartbeatResponse{
		Leader: string(c.node.LeaderID()),
	}
	if !c.node.IsConfirmedLeader(now) {
		return response
	}
	response.IsLeader = true
	response.AcceptedVersion = uint64(c.state.Version())
	response.Update = c.distribution.source.Update(units.Version(heartbeat.GetVersionInForce()))
	c.recordHeartbeat(now, heartbeat, response)
	for _, relayed := range heartbeat.GetRelayed() {
		c.recordHeartbeat(now, relayed, nil)
	}
	return response
}

// recordHeartbeat records one entry's heartbeat. The response is nil for a relayed
// heartbeat, since the relay itself responds to the entry.
func (c *coordinator) recordHeartbeat(now time.Time, heartbeat *messages.EntryHeartbeat, response *messages.EntryHeartbeatResponse) {
	c.distribution.recordHeartbeat(now, heartbeat, response != nil)
	if response == nil {
		response = &messages.EntryHeartbeatResponse{}
	}
	for _, h := range c.heartbeatHandlers {
		h.HandleHeartbeat(now, heartbeat, response)
	}
}

func (c *coordinator) status() statusReply {
	now := time.Now()
	if !c.node.IsConfirmedLeader(now) {
		return statusReply{err: &NotLeaderError{Leader: c.node.LeaderID()}}
	}
	status := &messages.Status{
		Leader:          string(c.settings.Name),
		Term:            uint64(c.node.Term()),
		AcceptedVersion: uint64(c.state.Version()),
	}
	c.distribution.addToStatus(now, status)
	return statusReply{status: status}
}
