package exchanger

import (
	"testing"
	"time"
)

// Packets to an upstream are dropped silently. A call that is sent there waits until the
// dial timeout before it is sent elsewhere. The timeout must be short where connections
// are usually opened at once, and long enough where the network is slow.
func TestDialTimeoutFollowsMeasuredTimes(t *testing.T) {
	cases := map[string]struct {
		dials []time.Duration
		want  time.Duration
	}{
		"nothing measured":  {want: maxDialTimeout},
		"one data centre":   {dials: []time.Duration{time.Millisecond, 2 * time.Millisecond}, want: minDialTimeout},
		"far away":          {dials: []time.Duration{10 * time.Millisecond}, want: 200 * time.Millisecond},
		"another continent": {dials: []time.Duration{150 * time.Millisecond}, want: maxDialTimeout},
		"one slow dial":     {dials: []time.Duration{2 * time.Millisecond, 2 * time.Millisecond, 42 * time.Millisecond}, want: 120 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Pool{}
			for _, dialTime := range c.dials {
				p.recordDialTime(dialTime)
			}
			if got := p.dialTimeout(); got != c.want {
				t.Errorf("dial timeout: got %v, want %v", got, c.want)
			}
		})
	}
}
