package gateway

import (
	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/messages"
)

// controlSession is the state of the exchange between this entry and one control instance: what
// each of them already has of the other's data. Without it, an entry that searches for a leader
// would receive all upstreams from each instance that it polls, twenty times a second, and
// report all usage counts to it.
type controlSession struct {
	tableID uint64
	cursor  uint64
	// fullTable reports that the last response contained the whole table.
	fullTable     bool
	usageReporter aggregator.DeltaReporter
	// counts are the usage counts at the poll in flight, unreported those of them that the poll
	// contains.
	counts     []aggregator.Count
	unreported []aggregator.Count
}

// handleResponse records a response. A different table id means that the control process has
// restarted and lost what was reported to it; a response without an id comes from an instance
// that has no voter at the moment.
func (c *controlSession) handleResponse(r *messages.EntryPollResponse) {
	if r.GetTableId() == 0 {
		return
	}
	known := r.GetTableId() == c.tableID
	c.fullTable = !known || c.cursor == 0
	if known {
		c.usageReporter.Acknowledge(c.unreported, c.counts)
	} else {
		c.usageReporter.Reset()
	}
	c.tableID = r.GetTableId()
	c.cursor = r.GetTableCursor()
}

// requestFullTable makes the next response contain the whole table, unless the last one did. If
// the previous leader held something of an upstream that the new leader does not, such as that
// it is silent, no change of the new leader's table says so, and the entry would keep it
// forever.
func (c *controlSession) requestFullTable() {
	if !c.fullTable {
		c.cursor = 0
	}
}
