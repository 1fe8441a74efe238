package governor

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/apportioner"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/keeper"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// newLeader returns a coordinator that has just won its election and has not
// ticked since.
func newLeader(t *testing.T) *coordinator {
	t.Helper()
	g := &Governor{
		Settings: &parser.Deployment{
			Name:       "c1",
			DataFolder: t.TempDir(),
			FirstStart: true,
			Address:    "127.0.0.1",
			DataCentre: "dc",
			Seeds:      []string{"127.0.0.1:7000"},
			PeerPorts:  []int{7600, 7615},
			Revocation: 5 * time.Second,
			Quota: parser.Quota{
				Window: 8 * time.Second,
			},
		},
		Log:    zerolog.Nop(),
		Client: &connector.Client{},
	}
	folder, kept, err := keeper.OpenUnnumbered(g.Settings.DataFolder, units.Instance(g.Settings.OwnPeerAddress()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = folder.Close() })
	c, err := newCoordinator(g, folder, kept, make(chan event, boxSize))
	if err != nil {
		t.Fatal(err)
	}
	c.ctx = t.Context()
	for end := time.Now().Add(5 * time.Second); !c.node.Lead(timekeeper.Now()); {
		if time.Now().After(end) {
			t.Fatal("a single voter does not lead after 5 s")
		}
		if err := c.step(replicator.Ticked{}); err != nil {
			t.Fatal(err)
		}
		// The voter's clock is the machine's; an election takes half a second of it.
		time.Sleep(5 * time.Millisecond)
	}
	return c
}

// A leader is elected, and an entry polls it before anything else happens there.
// What the leader would say of limits is from before its time, or from nowhere: an
// entry that takes it over admits all calls of an account that sends too many.
func TestFirstPollAfterAnElectionTellsNoLimits(t *testing.T) {
	c := newLeader(t)
	c.declared = &matcher.Declaration{
		Accounts: []matcher.Account{{Name: "hot", Rate: 1000, Burst: 1000}},
	}
	c.divider = &apportioner.Divider{}
	response := c.poll(&messages.EntryPoll{
		Entry:   "e1",
		Serving: true,
		Demand: []*messages.AccountDemand{{
			Account:         "hot",
			TokensPerSecond: 5000,
			Spent:           5000,
		}},
	})
	if !response.GetLeads() {
		t.Error("leads: got false, want true")
	}
	if got := response.GetShares(); len(got) > 0 {
		t.Errorf("shares of limits: got %v, want none before all entries were heard", got)
	}
}
