package recorder

import (
	"cmp"

	"github.com/rosecroft/rosecroft/src/messages"
)

// compareBallots orders proposals by round, then by call.
func compareBallots(a, b *messages.Ballot) int {
	return cmp.Or(
		cmp.Compare(a.GetRound(), b.GetRound()),
		cmp.Compare(a.GetCall(), b.GetCall()),
	)
}

// stateRank returns the position of a state in the order in which one proposer sets them, 0
// for none.
func stateRank(state messages.CallState) int {
	switch state {
	case messages.CallState_CALL_STATE_ADMITTED:
		return 1
	case messages.CallState_CALL_STATE_DISPATCHING:
		return 2
	case messages.CallState_CALL_STATE_NOT_RUN:
		return 3
	case messages.CallState_CALL_STATE_UNKNOWN:
		return 4
	case messages.CallState_CALL_STATE_ANSWERED:
		return 5
	default:
		return 0
	}
}

// mayHaveRun reports whether a record's call may have reached an upstream.
func mayHaveRun(record *messages.CallRecord) bool {
	state := record.GetState()
	return state == messages.CallState_CALL_STATE_DISPATCHING || state == messages.CallState_CALL_STATE_UNKNOWN
}

// isEnded reports whether a call in this state is no longer being run by any entry.
func isEnded(state messages.CallState) bool {
	return stateRank(state) >= stateRank(messages.CallState_CALL_STATE_NOT_RUN)
}
