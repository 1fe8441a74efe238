package entry

import (
	"context"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// leaveTimeout bounds a stop while control cannot commit the next view.
	leaveTimeout = 5 * time.Second
	// unreadyFor is how long the load balancer has to notice that this entry stops.
	unreadyFor = time.Second
	// handoverDelay is how long the new owners have to read this entry's records.
	handoverDelay     = time.Second
	leavePollInterval = 20 * time.Millisecond
)

// leaveView waits until this entry has left the view and its records have had time to move. An
// entry that ended at once would count as a silent member, and the calls whose records it shares
// with a second lost entry would end as unknown.
//
// The entry leaves only after its last call. Otherwise a resend of a call that still runs here
// would find this entry gone from the view and be answered with "unknown".
func (e *Entry) leaveView(ctx context.Context) {
	e.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for e.isInView() {
		select {
		case <-ctx.Done():
			e.Log.Warn().Msg("left-without-handover")
			return
		case <-ticker.C:
		}
	}
	if len(e.View().GetMembers()) == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(handoverDelay):
	}
}

func (e *Entry) isInView() bool {
	for _, member := range e.View().GetMembers() {
		if member.GetEntry() == string(e.Settings.Name) && units.Incarnation(member.GetIncarnation()) == e.incarnation {
			return true
		}
	}
	return false
}
