package governor

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// BenchmarkHeartbeat is what one heartbeat of an upstream costs the coordinator that it
// comes to, and what one costs that another control instance spreads.
func BenchmarkHeartbeat(b *testing.B) {
	for _, upstreams := range []int{100, 1000, 3000, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			f := crowd{
				upstreams: upstreams,
			}
			_, c := newLeader(b)
			f.declare(c)
			n := 0
			for b.Loop() {
				n++
				c.announce(announced{
					registration: enroller.Registration{
						ID:       units.Upstream(fmt.Sprintf("i-%08d", n%upstreams)),
						Service:  "s",
						Address:  fmt.Sprintf("10.1.0.%d:8080", n%upstreams),
						Slots:    12,
						State:    enroller.Ready,
						Born:     1,
						Sequence: uint64(2 + n),
					},
				})
			}
			_ = timekeeper.Now()
		})
	}
}

// Guards against elections that last: refused while there is no leader for a moment, every
// upstream tries all instances in turn and keeps them busy.
func TestHeartbeatsDuringAnElection(t *testing.T) {
	cases := map[string]struct {
		silence time.Duration
		// started says that the instance has just started.
		started bool
		state   enroller.State
		taken   bool
	}{
		"right after the start":          {started: true, state: enroller.Ready, taken: true},
		"one that leaves then":           {started: true, state: enroller.Leaving},
		"a leader a moment ago":          {silence: 500 * time.Millisecond, state: enroller.Ready, taken: true},
		"no leader for long":             {silence: 3 * time.Second, state: enroller.Ready},
		"one that leaves and no leader":  {silence: 500 * time.Millisecond, state: enroller.Leaving},
		"one that leaves, none for long": {silence: 3 * time.Second, state: enroller.Leaving},
		"never a leader":                 {silence: 24 * time.Hour, state: enroller.Ready},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, coordinator := newInstance(t)
			g.Settings.HeartbeatInterval = 1200 * time.Millisecond
			g.Settings.LostDisks = 1
			if !c.started {
				coordinator.followedAt = timekeeper.Now().Add(-c.silence)
			}
			go func() { _ = coordinator.take((<-g.box).(announced)) }()
			err := g.Announce(t.Context(), enroller.Registration{
				ID:       "u",
				Service:  "s",
				Address:  "10.1.0.1:80",
				Slots:    1,
				State:    c.state,
				Born:     1,
				Sequence: 1,
			})
			if got := err == nil; got != c.taken {
				t.Errorf("taken: got %t (%v), want %t", got, err, c.taken)
			}
		})
	}
}
