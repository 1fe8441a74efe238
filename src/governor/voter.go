package governor

import (
	"fmt"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

func (c *coordinator) step(e replicator.Event) error {
	for _, action := range c.node.Step(timekeeper.Now(), e) {
		if err := c.carryOut(action); err != nil {
			return err
		}
	}
	return nil
}

func (c *coordinator) carryOut(action replicator.Action) error {
	switch a := action.(type) {
	case replicator.Persist:
		// A voter that goes on after a failed sync would acknowledge what a
		// crash takes back; it begins again from what its disk holds.
		if err := c.keeper.Save(a.State, a.Records); err != nil {
			return fmt.Errorf("keep log records: %w", err)
		}
	case replicator.PersistSnapshot:
		if err := c.keeper.SaveSnapshot(a.State, a.Snapshot, a.Base, a.Records); err != nil {
			return fmt.Errorf("keep a snapshot: %w", err)
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
		c.outbox.post(c.ctx, string(units.VoterID(a.Message.GetTo()).Instance()), parcel{log: a.Message})
	case replicator.Apply:
		c.apply(a.Records)
	case replicator.Appended:
		c.await(a)
	case replicator.Rejected:
		c.reject(a)
	case replicator.RoleChanged:
		c.changeRole(a)
	}
	return nil
}

func (c *coordinator) await(a replicator.Appended) {
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
	reply <- declareReply{leader: string(a.Leader)}
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
		proposal.reply <- declareReply{leader: string(a.Leader)}
		delete(c.pending, index)
	}
}

func (c *coordinator) apply(records []*messages.LogRecord) {
	before := c.state.declaration.GetVersion()
	for _, record := range records {
		c.state.apply(record.GetCommand())
	}
	// After a start all records come at once; only the last of many
	// configurations is worth the millisecond that it takes to read.
	if version := c.state.declaration.GetVersion(); version != before {
		c.adopt(version)
	}
	for _, record := range records {
		index := units.Index(record.GetIndex())
		proposal, waiting := c.pending[index]
		if !waiting {
			continue
		}
		delete(c.pending, index)
		proposal.reply <- declareReply{accepted: proposal.term == units.Term(record.GetTerm())}
	}
}

// adopt reads the configuration that is in force now, for limits and orders.
func (c *coordinator) adopt(version uint64) {
	declaration, err := c.decode(c.state.declaration.GetDocument())
	if err != nil {
		c.log.Error().Err(err).Uint64("version", version).Msg("configuration-unreadable")
		return
	}
	packed, err := pack(c.state.declaration)
	if err != nil {
		c.log.Error().Err(err).Uint64("version", version).Msg("configuration-not-packed")
		return
	}
	c.packed = packed
	c.declared = declaration
	c.log.Info().
		Uint64("version", version).
		Int("bytes", len(c.state.declaration.GetDocument())).
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
	before := c.state.declaration.GetVersion()
	if err := c.state.restore(snapshot.GetContent()); err != nil {
		return err
	}
	if version := c.state.declaration.GetVersion(); version != before {
		c.adopt(version)
	}
	c.log.Info().
		Uint64("index", snapshot.GetIndex()).
		Msg("snapshot-restored")
	return nil
}

func (c *coordinator) reportMembership(membership *messages.Membership) {
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
