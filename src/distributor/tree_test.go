package distributor

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// For any number of entries in any number of data centres: every entry must have a relay in its
// own data centre that reports to control itself, no relay may have more children than its limit,
// and only a small part of the fleet may report to the leader.
func TestRelayTreeIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := &messages.EntryView{}
		size := rapid.IntRange(1, 400).Draw(t, "size")
		dataCentres := rapid.IntRange(1, 19).Draw(t, "centres")
		dataCentreByEntry := make(map[string]string)
		for i := range size {
			member := &messages.EntryMember{
				Entry:      fmt.Sprintf("e%d", i),
				DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
			}
			dataCentreByEntry[member.GetEntry()] = member.GetDataCentre()
			view.Members = append(view.Members, member)
		}
		direct := 0
		load := make(map[string]int)
		for _, member := range view.GetMembers() {
			relays := Relays(view, units.Instance(member.GetEntry()))
			if len(relays) == 0 {
				direct++
				continue
			}
			load[relays[0].GetEntry()]++
			for _, relay := range relays {
				if len(Relays(view, units.Instance(relay.GetEntry()))) > 0 {
					t.Fatalf("relay %s of %s reports to a relay itself", relay.GetEntry(), member.GetEntry())
				}
				if got, want := dataCentreByEntry[relay.GetEntry()], member.GetDataCentre(); got != want {
					t.Fatalf("data centre of the relay of %s: got %s, want %s", member.GetEntry(), got, want)
				}
			}
		}
		if maxDirect := size/(maxChildren+1) + dataCentres; direct > maxDirect {
			t.Fatalf("entries that report to control: got %d of %d, want at most %d", direct, size, maxDirect)
		}
		for relay, children := range load {
			if children > maxChildren {
				t.Fatalf("children of %s: got %d, want at most %d", relay, children, maxChildren)
			}
		}
	})
}
