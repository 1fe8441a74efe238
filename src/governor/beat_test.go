package governor

import (
	"fmt"
	"testing"

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
