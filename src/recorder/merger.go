package recorder

import (
	"cmp"

	"github.com/rosecroft/rosecroft/src/messages"
)

// mergeRecords joins what two owners hold of a call, so that nothing that
// either may have helped to decide is lost.
func mergeRecords(mine, theirs *messages.CallRecord) *messages.CallRecord {
	merged := copyRecord(stronger(mine, theirs))
	merged.LeaseMs = max(mine.GetLeaseMs(), theirs.GetLeaseMs())
	merged.AgeMs = min(mine.GetAgeMs(), theirs.GetAgeMs())
	promised := merged.GetPromised()
	for _, other := range []*messages.Ballot{mine.GetPromised(), theirs.GetPromised()} {
		if other.GetRound() > 0 && compareBallots(other, promised) > 0 {
			promised = other
		}
	}
	merged.Promised = promised
	return merged
}

func stronger(mine, theirs *messages.CallRecord) *messages.CallRecord {
	answered := messages.CallState_CALL_STATE_ANSWERED
	switch {
	case mine.GetState() == answered || rank(theirs.GetState()) == 0:
		return mine
	case theirs.GetState() == answered || rank(mine.GetState()) == 0:
		return theirs
	}
	order := compareBallots(mine.GetAccepted(), theirs.GetAccepted())
	if order == 0 {
		order = cmp.Compare(rank(mine.GetState()), rank(theirs.GetState()))
	} else if mine.GetAccepted().GetRound() == 0 && theirs.GetAccepted().GetRound() == 0 {
		return strongerFirst(mine, theirs)
	}
	if order >= 0 {
		return mine
	}
	return theirs
}

// strongerFirst joins two proposals of round 0, where either may stand at a
// majority. Keeping one of two that may have run would forget a run, so that
// the call counts as unknown.
func strongerFirst(mine, theirs *messages.CallRecord) *messages.CallRecord {
	switch {
	case mayHaveRun(mine) && mayHaveRun(theirs):
		unknown := copyRecord(mine)
		unknown.State = messages.CallState_CALL_STATE_UNKNOWN
		unknown.Accepted = &messages.Ballot{}
		unknown.Promised = &messages.Ballot{}
		return unknown
	case mayHaveRun(theirs):
		return theirs
	default:
		return mine
	}
}
