package governor

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/allocator"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/persister"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// newInstance returns a governor and its coordinator, which has not ticked yet.
func newInstance(t testing.TB) (*Governor, *coordinator) {
	t.Helper()
	g := &Governor{
		Settings: &parser.PlatformSettings{
			Name:              "c1",
			DataFolder:        t.TempDir(),
			FirstStart:        true,
			Address:           "127.0.0.1",
			DataCentre:        "dc",
			Seeds:             []string{"127.0.0.1:7000"},
			PeerPorts:         []int{7600, 7615},
			RevocationTimeout: 5 * time.Second,
			Quota: parser.Quota{
				Window: 8 * time.Second,
			},
			Usage: parser.Usage{
				Window:   5 * time.Second,
				MaxDelay: 10 * time.Second,
			},
		},
		Log:    zerolog.Nop(),
		Client: &connector.Client{},
	}
	g.Prepare()
	storage, stored, err := persister.OpenWithoutInodeCheck(g.Settings.DataFolder, units.Instance(g.Settings.OwnPeerAddress()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = storage.Close() })
	c, err := newCoordinator(g, storage, stored)
	if err != nil {
		t.Fatal(err)
	}
	c.ctx = t.Context()
	return g, c
}

// newLeader returns a governor and its coordinator, which has just won its election and has
// not ticked since.
func newLeader(t testing.TB) (*Governor, *coordinator) {
	t.Helper()
	g, c := newInstance(t)
	// The voter's clock is advanced by hand, past the election timeout.
	now := timekeeper.Now()
	for range 500 {
		if c.node.IsConfirmedLeader(now) {
			break
		}
		now = now.Add(tickInterval)
		for _, action := range c.node.Step(now, replicator.Ticked{}) {
			if err := c.execute(action); err != nil {
				t.Fatal(err)
			}
		}
	}
	if !c.node.IsConfirmedLeader(now) {
		t.Fatal("single voter: got no leader after 10 s")
	}
	return g, c
}

// A leader is elected, and an entry polls it before any other event. The limits that the
// leader could send date from before its leadership or have no basis at all: an entry that
// applies them admits all calls of an account that exceeds its rate.
func TestFirstPollAfterElectionGetsNoLimits(t *testing.T) {
	_, c := newLeader(t)
	c.configuration = &matcher.Configuration{
		Accounts: []matcher.Account{{Name: "hot", Rate: 1000, Burst: 1000}},
	}
	c.allocator = &allocator.Allocator{}
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
		t.Errorf("shares of limits: got %v, want none before all entries have polled", got)
	}
}

// The very first leader has no predecessor whose orders may still be in flight, and each
// second that it waits costs a whole fleet at the full price. Later leaders wait.
func TestOnlyFirstLeaderSkipsDutyDelay(t *testing.T) {
	const lease = 3 * time.Second
	_, c := newLeader(t)
	cases := map[string]struct {
		term units.Term
		want time.Duration
	}{
		"the first leader":    {term: c.node.Term()},
		"its successor":       {term: c.node.Term() + 1, want: lease},
		"a much later leader": {term: 40, want: lease},
	}
	for name, test := range cases {
		if got := dutyDelay(test.term, lease); got != test.want {
			t.Errorf("duty delay of %s: got %s, want %s", name, got, test.want)
		}
	}
}

// The leader is lost, and an entry is killed before another is elected. What the entry
// counted since its last report is lost with both, and its callers' usage is reported too
// low, unless the other instances that it polled meanwhile have recorded it.
func TestUsageIsRecordedWithoutLeader(t *testing.T) {
	g, c := newInstance(t)
	c.duties.cloud = soldOutCloud{}
	window := aggregator.WindowAt(time.Now(), g.Settings.Usage.Window)
	response := c.poll(&messages.EntryPoll{
		Entry:       "e1",
		Incarnation: 1,
		Usage: []*messages.WindowUsage{{
			Window:  int64(window),
			Account: "a",
			Count:   7,
		}},
	})
	if response.GetLeads() {
		t.Fatal("leads: got true, want false")
	}
	report, due := c.state.ledger.Due(time.Now().Add(time.Minute))
	if got, want := report.Counts["a"], int64(7); !due || got != want {
		t.Errorf("calls in the window: got %d, due %t, want %d", got, due, want)
	}
}

// Guards against a configuration that is acknowledged while too few disks hold it to survive the loss of
// as many as are tolerated.
func TestAcknowledgementsWaitForAllVoters(t *testing.T) {
	cases := map[string]struct {
		voters int
		// deposed is set where another instance leads before the reply is due.
		deposed      bool
		want         bool
		wantAccepted bool
	}{
		"all voters":            {voters: 1, want: true, wantAccepted: true},
		"one fewer than wanted": {voters: 2, want: true, wantAccepted: true},
		"too few voters":        {voters: 3},
		"far too few voters":    {voters: 5},
		"leadership lost":       {voters: 5, deposed: true, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, leader := newLeader(t)
			leader.durability.voters = c.voters
			leader.decode = func([]byte) (*matcher.Configuration, error) { return &matcher.Configuration{}, nil }
			reply := make(chan declareReply, 1)
			if err := leader.handleDeclare(declareRequested{declaration: &messages.Declaration{Version: 7}, reply: reply}); err != nil {
				t.Fatal(err)
			}
			if c.deposed {
				leader.durability.release("c2")
			}
			leader.now = func() time.Time { return timekeeper.Now().Add(time.Hour) } // However much later.
			leader.durability.tick()
			select {
			case got := <-reply:
				if !c.want || got.accepted != c.wantAccepted {
					t.Errorf("reply: got accepted %t, want a reply %t that says %t", got.accepted, c.want, c.wantAccepted)
				}
			default:
				if c.want {
					t.Error("reply: got none, want the configuration accepted")
				}
			}
		})
	}
}
