package distributor

import "github.com/rosecroft/rosecroft/src/messages"

const (
	// maxFailures is how many heartbeats in a row may fail at relays.
	maxFailures = 2
	// directHeartbeats is how many heartbeats are sent to control before the relays are tried
	// again.
	directHeartbeats = 25
)

// RelaySelector chooses where an entry reports: to its relays in turn, or to control while the
// relays are down or cut off. The entry's lease therefore does not expire because of its relays.
type RelaySelector struct {
	next       int
	failures   int
	directLeft int
}

// Target returns the relay for the next heartbeat, nil for control itself.
func (r *RelaySelector) Target(relays []*messages.EntryMember) *messages.EntryMember {
	if len(relays) == 0 {
		return nil
	}
	if r.directLeft > 0 {
		r.directLeft--
		return nil
	}
	return relays[r.next%len(relays)]
}

// RecordResult records whether a relay was in contact with control.
func (r *RelaySelector) RecordResult(inContact bool) {
	if inContact {
		r.failures = 0
		return
	}
	r.next++
	r.failures++
	if r.failures < maxFailures {
		return
	}
	r.failures = 0
	r.directLeft = directHeartbeats
}
