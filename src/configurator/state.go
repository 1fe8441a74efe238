package configurator

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// retainedOutcomes bounds the accepted versions whose outcome is retained to answer
// resends.
const retainedOutcomes = 4096

// State is the accepted configuration and the outcomes of earlier submissions.
type State struct {
	version  units.Version
	document []byte
	accepted map[units.Version]acceptedOutcome
	// acceptedOrder holds the versions in accepted, oldest first.
	acceptedOrder []units.Version
}

// acceptedOutcome is what is retained of one accepted submission.
type acceptedOutcome struct {
	hash     []byte
	operator string
}

// Hash returns the content hash of a document.
func Hash(document []byte) []byte {
	sum := sha256.Sum256(document)
	return sum[:]
}

// Version returns the accepted version, 0 before the first.
func (s *State) Version() units.Version { return s.version }

// Document returns the accepted configuration as it was submitted.
func (s *State) Document() []byte { return s.document }

// Submit applies one submission and returns its outcome.
//
// A resend of an accepted submission gets its first outcome again, so that an
// operator who lost the answer can get it by submitting once more.
func (s *State) Submit(submission *messages.Submission) *messages.SubmissionResult {
	version := units.Version(submission.GetVersion())
	earlier, known := s.accepted[version]
	switch {
	case known && bytes.Equal(earlier.hash, submission.GetContentHash()):
		return s.result(messages.Outcome_OUTCOME_ACCEPTED, version, earlier.operator, "accepted earlier")
	case known:
		return s.result(messages.Outcome_OUTCOME_CONFLICT, version, earlier.operator,
			fmt.Sprintf("version %d is taken by other content; submit yours with a version above %d", version, s.version))
	case version <= s.version:
		return s.result(messages.Outcome_OUTCOME_STALE, version, "",
			fmt.Sprintf("version %d is accepted already; submit with a higher one", s.version))
	}
	s.accept(version, submission)
	return s.result(messages.Outcome_OUTCOME_ACCEPTED, version, submission.GetOperator(), "accepted")
}

func (s *State) accept(version units.Version, submission *messages.Submission) {
	if s.accepted == nil {
		s.accepted = make(map[units.Version]acceptedOutcome)
	}
	s.version = version
	s.document = submission.GetDocument()
	s.accepted[version] = acceptedOutcome{
		hash:     submission.GetContentHash(),
		operator: submission.GetOperator(),
	}
	s.acceptedOrder = append(s.acceptedOrder, version)
	if len(s.acceptedOrder) > retainedOutcomes {
		delete(s.accepted, s.acceptedOrder[0])
		s.acceptedOrder = s.acceptedOrder[1:]
	}
}

func (s *State) result(kind messages.Outcome, version units.Version, winner, detail string) *messages.SubmissionResult {
	return &messages.SubmissionResult{
		Outcome:         kind,
		Version:         uint64(version),
		AcceptedVersion: uint64(s.version),
		Winner:          winner,
		Detail:          detail,
	}
}
