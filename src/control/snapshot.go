package control

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/replicator"
)

// takeSnapshot passes the encoded state of all state machines to the log.
func (c *coordinator) takeSnapshot(a replicator.TakeSnapshot) error {
	states := &messages.MachineStates{
		States: make(map[string][]byte),
	}
	for _, m := range c.stateMachines {
		content, err := m.Snapshot()
		if err != nil {
			return fmt.Errorf("take a snapshot of %s: %w", m.Name(), err)
		}
		states.States[m.Name()] = content
	}
	content, err := proto.Marshal(states)
	if err != nil {
		return fmt.Errorf("encode a snapshot: %w", err)
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

// restore replaces the state of all state machines. One that is not in the snapshot
// keeps its empty state, since it did not exist when the snapshot was taken.
func (c *coordinator) restore(snapshot *messages.LogSnapshot) error {
	if len(snapshot.GetContent()) == 0 {
		return nil
	}
	states := &messages.MachineStates{}
	if err := proto.Unmarshal(snapshot.GetContent(), states); err != nil {
		return fmt.Errorf("decode a snapshot: %w; run the same version on every control instance", err)
	}
	for _, m := range c.stateMachines {
		content, known := states.GetStates()[m.Name()]
		if !known {
			continue
		}
		if err := m.Restore(content); err != nil {
			return fmt.Errorf("restore %s: %w; run the same version on every control instance", m.Name(), err)
		}
	}
	c.distribution.updateSource()
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
		Str("voters", strings.Join(voters, ",")).
		Str("learners", strings.Join(learners, ",")).
		Msg("membership-changed")
}
