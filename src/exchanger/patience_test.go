package exchanger

import (
	"testing"
	"time"
)

// An upstream goes dark: packets to it vanish. A call that goes there waits for a
// connection until the entry gives it up and sends it elsewhere. That must be soon where
// connections are usually made at once, and not before it where the network is slow.
func TestPatienceFollowsTheNetwork(t *testing.T) {
	cases := map[string]struct {
		dials []time.Duration
		want  time.Duration
	}{
		"nothing known":     {want: mostDial},
		"one data centre":   {dials: []time.Duration{time.Millisecond, 2 * time.Millisecond}, want: leastDial},
		"far away":          {dials: []time.Duration{10 * time.Millisecond}, want: 200 * time.Millisecond},
		"another continent": {dials: []time.Duration{150 * time.Millisecond}, want: mostDial},
		"one slow set-up":   {dials: []time.Duration{2 * time.Millisecond, 2 * time.Millisecond, 42 * time.Millisecond}, want: 120 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Pool{}
			for _, took := range c.dials {
				p.learn(took)
			}
			if got := p.patience(); got != c.want {
				t.Errorf("patience: got %v, want %v", got, c.want)
			}
		})
	}
}
