package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/configurator"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// configurationMachine is the state machine of submitted configurations.
type configurationMachine struct {
	configurator.State
	log zerolog.Logger
}

// Name returns the state machine's key in snapshots.
func (*configurationMachine) Name() string { return "configuration" }

// Apply applies a submission and returns its outcome.
func (m *configurationMachine) Apply(_ units.Index, command *messages.Command) proto.Message {
	submission := command.GetSubmission()
	if submission == nil {
		return nil
	}
	result := m.Submit(submission)
	m.log.Info().
		Uint64("version", submission.GetVersion()).
		Str("operator", submission.GetOperator()).
		Stringer("outcome", result.GetOutcome()).
		Msg("submission-applied")
	return result
}
