package gateway

import (
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/tallier"
)

// exchange is how far an entry and one control instance know of each other. Without it,
// entries that look for a leader would get all upstreams from each instance that they
// ask, twenty times a second, and tell it all counts.
type exchange struct {
	tableID uint64
	cursor  uint64
	// whole says that the last answer brought the whole table.
	whole bool
	usage tallier.DeltaReporter
	// counts are those of the poll under way, fresh the ones that it told.
	counts []tallier.Count
	fresh  []tallier.Count
}

// take notes an answer. A table with another id is that of another life of the process,
// which has forgotten what it heard; one without an id has no voter at the moment.
func (e *exchange) take(r *messages.EntryPollResponse) {
	if r.GetTableId() == 0 {
		return
	}
	known := r.GetTableId() == e.tableID
	e.whole = !known || e.cursor == 0
	if known {
		e.usage.Acknowledge(e.fresh, e.counts)
	} else {
		e.usage.Reset()
	}
	e.tableID = r.GetTableId()
	e.cursor = r.GetTableCursor()
}

// follow makes the next answer bring the whole table, unless the last one did. What the
// leader before believed of an upstream and this one does not, such as its silence,
// stands in no change of this one's table: the entry would believe it for ever.
func (e *exchange) follow() {
	if !e.whole {
		e.cursor = 0
	}
}
