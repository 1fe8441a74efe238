package entry

import (
	"context"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// leaveLimit bounds a stop while control cannot commit the next view.
	leaveLimit = 5 * time.Second
	// unreadyFor is how long the balancer gets to learn of a stop.
	unreadyFor = time.Second
	// handover is how long the new owners get to read this entry's records.
	handover  = time.Second
	leavePoll = 20 * time.Millisecond
)

// leaveView waits until this entry has left the view and its records have had
// time to move. An entry that ended at once would count as a silent member, and
// the calls that it shares with a second lost one would end as unknown.
//
// It leaves only after its last call: a resend of one that still runs here would
// else find its entry gone from the view and be told "unknown".
func (e *Entry) leaveView(ctx context.Context) {
	e.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveLimit)
	defer cancel()
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for e.inView() {
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
	case <-time.After(handover):
	}
}

func (e *Entry) inView() bool {
	for _, member := range e.View().GetMembers() {
		if member.GetEntry() == string(e.Settings.Name) && units.Incarnation(member.GetIncarnation()) == e.incarnation {
			return true
		}
	}
	return false
}
