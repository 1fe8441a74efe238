package governor

import (
	"fmt"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/units"
)

func (c *coordinator) step(e replicator.Event) error {
	for _, action := range c.node.Step(c.now(), e) {
		if err := c.execute(action); err != nil {
			return err
		}
	}
	return nil
}

func (c *coordinator) execute(action replicator.Action) error {
	switch a := action.(type) {
	case replicator.Persist:
		// A voter that continued after a failed sync would acknowledge records that a crash
		// can undo. It restarts from the contents of its disk instead.
		if err := c.persister.Save(a.State, a.Records); err != nil {
			return fmt.Errorf("save log records: %w", err)
		}
	case replicator.PersistSnapshot:
		if err := c.persister.SaveSnapshot(a.State, a.Snapshot, a.Base, a.Records); err != nil {
			return fmt.Errorf("save a snapshot: %w", err)
		}
	case replicator.TakeSnapshot:
		return c.takeSnapshot(a)
	case replicator.Restore:
		return c.restore(a.Snapshot)
	case replicator.MembershipChanged:
		c.logMembership(a.Membership)
	case replicator.Halt:
		return a.Err
	case replicator.Send:
		c.outbox.enqueue(c.ctx, string(units.VoterID(a.Message.GetTo()).Instance()), peerMessage{log: a.Message})
	case replicator.Apply:
		c.apply(a.Records)
	case replicator.Appended:
		c.trackProposal(a)
	case replicator.Rejected:
		c.rejectProposal(a)
	case replicator.RoleChanged:
		c.handleRoleChange(a)
	}
	return nil
}

func (c *coordinator) trackProposal(a replicator.Appended) {
	replies, waiting := c.proposalsByToken[a.Token]
	if !waiting {
		return
	}
	delete(c.proposalsByToken, a.Token)
	c.proposalsByIndex[a.Index] = pendingProposal{
		term:    a.Term,
		replies: replies,
	}
}

func (c *coordinator) rejectProposal(a replicator.Rejected) {
	for _, reply := range c.proposalsByToken[a.Token] {
		reply <- declareReply{leader: string(a.Leader)}
	}
	delete(c.proposalsByToken, a.Token)
}

func (c *coordinator) handleRoleChange(a replicator.RoleChanged) {
	c.role = a
	c.log.Info().
		Stringer("new-role", a.Role).
		Uint64("term", uint64(a.Term)).
		Str("leader", string(a.Leader)).
		Msg("role-changed")
	if a.Role == replicator.Leader {
		return
	}
	for index, proposal := range c.proposalsByIndex {
		for _, reply := range proposal.replies {
			reply <- declareReply{leader: string(a.Leader)}
		}
		delete(c.proposalsByIndex, index)
	}
	c.departures.release(string(a.Leader))
	c.durability.release(string(a.Leader))
}

func (c *coordinator) apply(records []*messages.LogRecord) {
	before := c.state.configuration.GetVersion()
	for _, record := range records {
		c.state.apply(record.GetCommand())
		c.limits.committed(record.GetCommand().GetAccountBounds())
		c.departures.merge(c.now(), record.GetCommand().GetDepartures().GetDepartures())
	}
	c.releases.publish()
	// After a start all records are applied at once; of many configurations only the last is
	// worth the millisecond that decoding takes.
	if version := c.state.configuration.GetVersion(); version != before {
		c.loadConfiguration(version)
	}
	c.state.retainReclaimHistories(c.configuration)
	for _, record := range records {
		index := units.Index(record.GetIndex())
		proposal, waiting := c.proposalsByIndex[index]
		if !waiting {
			continue
		}
		delete(c.proposalsByIndex, index)
		for _, reply := range proposal.replies {
			if proposal.term != units.Term(record.GetTerm()) {
				reply <- declareReply{}
				continue
			}
			c.durability.accept(reply)
		}
	}
}

// loadConfiguration decodes and compresses the configuration that is now in force.
func (c *coordinator) loadConfiguration(version uint64) {
	configuration, err := c.decode(c.state.configuration.GetDocument())
	if err != nil {
		c.log.Error().Err(err).Uint64("version", version).Msg("configuration-unreadable")
		return
	}
	compressed, err := compressConfiguration(c.state.configuration)
	if err != nil {
		c.log.Error().Err(err).Uint64("version", version).Msg("configuration-not-packed")
		return
	}
	c.compressed = compressed
	c.configuration = configuration
	c.log.Info().
		Uint64("version", version).
		Int("bytes", len(c.state.configuration.GetDocument())).
		Msg("configuration-committed")
}

func (c *coordinator) takeSnapshot(a replicator.TakeSnapshot) error {
	content, err := c.state.snapshot()
	if err != nil {
		return err
	}
	c.log.Info().
		Uint64("index", uint64(a.Index)).
		Int("bytes", len(content)).
		Msg("snapshot-taken")
	return c.step(replicator.SnapshotTaken{
		Index:   a.Index,
		Content: content,
	})
}

func (c *coordinator) restore(snapshot *messages.LogSnapshot) error {
	if len(snapshot.GetContent()) == 0 {
		return nil
	}
	before := c.state.configuration.GetVersion()
	if err := c.state.restore(snapshot.GetContent()); err != nil {
		return err
	}
	if version := c.state.configuration.GetVersion(); version != before {
		c.loadConfiguration(version)
	}
	c.state.retainReclaimHistories(c.configuration)
	c.releases.publish()
	c.departures.merge(c.now(), c.state.departureList().GetDepartures())
	c.log.Info().
		Uint64("index", snapshot.GetIndex()).
		Msg("snapshot-restored")
	return nil
}

func (c *coordinator) logMembership(membership *messages.Membership) {
	var voters, learners []string
	for _, member := range membership.GetMembers() {
		if member.GetLearner() {
			learners = append(learners, member.GetId())
			continue
		}
		voters = append(voters, member.GetId())
	}
	c.log.Info().
		Uint64("number", membership.GetNumber()).
		Strs("voters", voters).
		Strs("learners", learners).
		Msg("membership-changed")
}
