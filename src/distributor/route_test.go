package distributor

import (
	"slices"
	"testing"

	"github.com/rosecroft/rosecroft/src/messages"
)

// Relays freeze or are cut off from control, one or all. An entry that went on
// asking them alone would run out of its lease although it reaches control; it
// asks each in turn, then control, and comes back to the relays later.
func TestRouteLeavesUselessRelays(t *testing.T) {
	relays := []*messages.EntryMember{{Entry: "r1"}, {Entry: "r2"}}
	cases := map[string]struct {
		relays []*messages.EntryMember
		useful []string
		want   []string
	}{
		"no relay":        {want: []string{"", "", ""}},
		"useful relay":    {relays: relays, useful: []string{"r1"}, want: []string{"r1", "r1", "r1"}},
		"one of two":      {relays: relays, useful: []string{"r2"}, want: []string{"r1", "r2", "r2"}},
		"none is of use":  {relays: relays, want: []string{"r1", "r2", "", ""}},
		"the only one is": {relays: relays[:1], want: []string{"r1", "r1", "", ""}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			route := &Route{}
			var got []string
			for range c.want {
				got = append(got, beat(route, c.relays, c.useful))
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("targets: got %v, want %v", got, c.want)
			}
			back := len(c.relays) == 0
			for range orphanBeats {
				back = beat(route, c.relays, c.useful) != "" || back
			}
			if !back {
				t.Errorf("relay tried again within %d beats: got no, want yes", orphanBeats)
			}
		})
	}
}

func beat(route *Route, relays []*messages.EntryMember, useful []string) string {
	target := route.Target(relays)
	if target == nil {
		return ""
	}
	route.Tried(slices.Contains(useful, target.GetEntry()))
	return target.GetEntry()
}
