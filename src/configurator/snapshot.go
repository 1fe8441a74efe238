package configurator

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Snapshot returns the encoded state, including the retained outcomes.
func (s *State) Snapshot() ([]byte, error) {
	state := &messages.ConfigurationState{
		Version:  uint64(s.version),
		Document: s.document,
	}
	for _, version := range s.acceptedOrder {
		earlier := s.accepted[version]
		state.Outcomes = append(state.Outcomes, &messages.AcceptedOutcome{
			Version:     uint64(version),
			ContentHash: earlier.hash,
			Operator:    earlier.operator,
		})
	}
	content, err := proto.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("encode the configuration's state: %w", err)
	}
	return content, nil
}

// Restore replaces the state by one that Snapshot returned.
func (s *State) Restore(content []byte) error {
	state := &messages.ConfigurationState{}
	if err := proto.Unmarshal(content, state); err != nil {
		return fmt.Errorf("decode the configuration's state: %w", err)
	}
	*s = State{
		version:  units.Version(state.GetVersion()),
		document: state.GetDocument(),
		accepted: make(map[units.Version]acceptedOutcome),
	}
	for _, earlier := range state.GetOutcomes() {
		version := units.Version(earlier.GetVersion())
		s.acceptedOrder = append(s.acceptedOrder, version)
		s.accepted[version] = acceptedOutcome{
			hash:     earlier.GetContentHash(),
			operator: earlier.GetOperator(),
		}
	}
	return nil
}
