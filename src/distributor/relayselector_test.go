package distributor

import (
	"slices"
	"testing"

	"github.com/rosecroft/rosecroft/src/messages"
)

// Guards against an entry whose lease expires although it reaches control, because it only
// contacts relays that are frozen or cut off from control. It must try each relay in turn, then
// control, and later return to the relays.
func TestRelaySelectorFailsOver(t *testing.T) {
	relays := []*messages.EntryMember{{Entry: "r1"}, {Entry: "r2"}}
	cases := map[string]struct {
		relays    []*messages.EntryMember
		inContact []string
		want      []string
	}{
		"no relay":           {want: []string{"", "", ""}},
		"one in contact":     {relays: relays, inContact: []string{"r1"}, want: []string{"r1", "r1", "r1"}},
		"first of two fails": {relays: relays, inContact: []string{"r2"}, want: []string{"r1", "r2", "r2"}},
		"both fail":          {relays: relays, want: []string{"r1", "r2", "", ""}},
		"only relay fails":   {relays: relays[:1], want: []string{"r1", "r1", "", ""}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			selector := &RelaySelector{}
			var got []string
			for range c.want {
				got = append(got, sendHeartbeat(selector, c.relays, c.inContact))
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("targets: got %v, want %v", got, c.want)
			}
			returned := len(c.relays) == 0
			for range directHeartbeats {
				returned = sendHeartbeat(selector, c.relays, c.inContact) != "" || returned
			}
			if !returned {
				t.Errorf("relay tried again within %d heartbeats: got no, want yes", directHeartbeats)
			}
		})
	}
}

func sendHeartbeat(selector *RelaySelector, relays []*messages.EntryMember, inContact []string) string {
	target := selector.Target(relays)
	if target == nil {
		return ""
	}
	selector.RecordResult(slices.Contains(inContact, target.GetEntry()))
	return target.GetEntry()
}
