package governor

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// BenchmarkHeartbeat measures what one heartbeat of an upstream costs a coordinator, whether it
// comes from the upstream or in a batch from another control instance.
func BenchmarkHeartbeat(b *testing.B) {
	for _, upstreams := range []int{100, 1000, 3000, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			f := fleet{
				upstreams: upstreams,
			}
			_, c := newLeader(b)
			f.populate(c)
			n := 0
			for b.Loop() {
				n++
				c.handleAnnouncement(announcementReceived{
					registration: enroller.Registration{
						ID:          units.Upstream(fmt.Sprintf("i-%08d", n%upstreams)),
						Service:     "s",
						Address:     fmt.Sprintf("10.1.0.%d:8080", n%upstreams),
						Slots:       12,
						State:       enroller.Ready,
						Incarnation: 1,
						Sequence:    uint64(2 + n),
					},
				})
			}
			_ = timekeeper.Now()
		})
	}
}

// Guards against long elections: if heartbeats are refused as soon as there is no leader,
// every upstream tries all instances in turn and keeps them busy.
func TestHeartbeatsDuringAnElection(t *testing.T) {
	cases := map[string]struct {
		silence time.Duration
		// started says that the instance has just started.
		started bool
		state   enroller.State
		taken   bool
	}{
		"right after the start":         {started: true, state: enroller.Ready, taken: true},
		"leaving, after the start":      {started: true, state: enroller.Leaving},
		"leader lost just now":          {silence: 500 * time.Millisecond, state: enroller.Ready, taken: true},
		"leader lost long ago":          {silence: 3 * time.Second, state: enroller.Ready},
		"leaving, leader lost just now": {silence: 500 * time.Millisecond, state: enroller.Leaving},
		"leaving, leader lost long ago": {silence: 3 * time.Second, state: enroller.Leaving},
		"never had a leader":            {silence: 24 * time.Hour, state: enroller.Ready},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, coordinator := newInstance(t)
			g.Settings.HeartbeatInterval = 1200 * time.Millisecond
			g.Settings.LostDisks = 1
			if !c.started {
				coordinator.leaderSeenAt = timekeeper.Now().Add(-c.silence)
			}
			go func() { _ = coordinator.handleEvent((<-g.events).(announcementReceived)) }()
			err := g.Announce(t.Context(), enroller.Registration{
				ID:          "u",
				Service:     "s",
				Address:     "10.1.0.1:80",
				Slots:       1,
				State:       c.state,
				Incarnation: 1,
				Sequence:    1,
			})
			if got := err == nil; got != c.taken {
				t.Errorf("accepted: got %t (%v), want %t", got, err, c.taken)
			}
		})
	}
}
