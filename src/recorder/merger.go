package recorder

import (
	"cmp"

	"github.com/rosecroft/rosecroft/src/messages"
)

// mergeRecords merges the records that two owners hold of a call, so that no state is lost
// to whose majority either may have contributed.
func mergeRecords(mine, theirs *messages.CallRecord) *messages.CallRecord {
	merged := copyRecord(prevailing(mine, theirs))
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

// prevailing returns the record whose state the merged record takes.
func prevailing(mine, theirs *messages.CallRecord) *messages.CallRecord {
	answered := messages.CallState_CALL_STATE_ANSWERED
	switch {
	case mine.GetState() == answered || stateRank(theirs.GetState()) == 0:
		return mine
	case theirs.GetState() == answered || stateRank(mine.GetState()) == 0:
		return theirs
	}
	order := compareBallots(mine.GetAccepted(), theirs.GetAccepted())
	if order == 0 {
		order = cmp.Compare(stateRank(mine.GetState()), stateRank(theirs.GetState()))
	} else if mine.GetAccepted().GetRound() == 0 && theirs.GetAccepted().GetRound() == 0 {
		return mergeRoundZero(mine, theirs)
	}
	if order >= 0 {
		return mine
	}
	return theirs
}

// mergeRoundZero merges two proposals of round 0, either of which may be stored at a
// majority. If both calls may have run, keeping only one would lose a run, so the outcome
// becomes unknown.
func mergeRoundZero(mine, theirs *messages.CallRecord) *messages.CallRecord {
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
