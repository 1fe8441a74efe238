package replicator

import (
	"fmt"

	"github.com/rosecroft/rosecroft/src/units"
)

// ContradictionError reports that a leader's log contradicts a committed record.
type ContradictionError struct {
	Leader units.VoterID
	Index  units.Index
}

// Error returns the contradiction and its remedy.
func (e *ContradictionError) Error() string {
	return fmt.Sprintf("leader %s contradicts the committed record %d; stop both instances, compare their dumps and keep the one that holds the higher committed index",
		e.Leader, e.Index)
}
