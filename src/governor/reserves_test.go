package governor

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/reserver"
	"github.com/rosecroft/rosecroft/src/scaler"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// soldOutCloud has no reclaimable upstreams to order.
type soldOutCloud struct{}

func (soldOutCloud) ReportUsage(context.Context, DutyHolder, aggregator.Report) error { return nil }

func (soldOutCloud) Scale(_ context.Context, _ DutyHolder, order Order) error {
	if order.Reclaimable {
		return &NoCapacityError{Order: order}
	}
	return nil
}

// newReservingLeader returns a leader that decides reserves for a service with four reclaimable upstreams in each of
// four data centres, and its log.
func newReservingLeader(t *testing.T) (*coordinator, *bytes.Buffer) {
	t.Helper()
	_, c := newLeader(t)
	log := &bytes.Buffer{}
	c.log = zerolog.New(log)
	c.settings.Reserve.Enabled = true
	c.settings.Reserve.ShortageCost = 4
	c.duties.cloud = soldOutCloud{}
	c.configuration = &matcher.Configuration{Services: []matcher.Service{{
		Name: "s",
		Scaling: &matcher.Scaling{
			Min:              1,
			Max:              20,
			BootTime:         4 * time.Second,
			ReclaimablePrice: 0.18,
			Prices:           map[units.DataCentre]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
		},
	}}}
	for _, centre := range []units.DataCentre{"a", "b", "c", "d"} {
		announceReclaimable(c, centre, enroller.Ready)
	}
	now := timekeeper.Now()
	c.isLeader(now)
	if err := c.reserves.tick(now); err != nil {
		t.Fatal(err)
	}
	return c, log
}

// announceReclaimable has the four reclaimable upstreams of a data centre announce a state.
func announceReclaimable(c *coordinator, centre units.DataCentre, state enroller.State) {
	for n := range 4 {
		id := units.Upstream(string(centre) + string(rune('0'+n)))
		c.table.Record(timekeeper.Now(), enroller.Registration{
			ID:          id,
			Service:     "s",
			Address:     string(id),
			DataCentre:  centre,
			State:       state,
			Incarnation: 1,
			Sequence:    uint64(state),
			Reclaimable: true,
		}, 0)
	}
}

// history returns what the log holds of the service's reclaims.
func committedHistory(c *coordinator) *messages.ReclaimHistory { return c.state.reclaimHistories["s"] }

// Guards against reclaims that are not recorded in the log, and against records in the log without a change or sooner
// than historyInterval.
func TestReclaimsAreRecordedInTheLog(t *testing.T) {
	c, log := newReservingLeader(t)
	now := timekeeper.Now()
	if committedHistory(c).GetObservedSinceNs() == 0 {
		t.Fatal("start of the observation: got none, want it recorded")
	}
	first := c.node.LastIndex()
	announceReclaimable(c, "a", enroller.Leaving)
	steps := []struct {
		name    string
		after   time.Duration
		change  func()
		records units.Index
		want    int
	}{
		{name: "soon after the last record", after: time.Second, records: 0, want: 0},
		{name: "after the interval", after: historyInterval, records: 1, want: 1},
		{name: "no change", after: 2 * historyInterval, records: 1, want: 1},
		{name: "a second reclaim", after: 3 * historyInterval, change: func() { announceReclaimable(c, "b", enroller.Leaving) }, records: 2, want: 2},
	}
	for _, step := range steps {
		if step.change != nil {
			step.change()
		}
		if err := c.reserves.tick(now.Add(step.after)); err != nil {
			t.Fatal(err)
		}
		if got := c.node.LastIndex() - first; got != step.records {
			t.Errorf("%s: records in the log: got %d, want %d", step.name, got, step.records)
		}
		if got := len(committedHistory(c).GetReclaims()); got != step.want {
			t.Errorf("%s: reclaims in the log: got %d, want %d", step.name, got, step.want)
		}
	}
	if got := committedHistory(c).GetReclaims()[0]; got.GetDataCentre() != "a" || got.GetUpstreams() != 4 {
		t.Errorf("reclaim in the log: got %v, want 4 upstreams of a", got)
	}
	if got := strings.Count(log.String(), "reclaim-observed"); got != 2 {
		t.Errorf("log lines of reclaims: got %d, want 2", got)
	}
}

// Guards against a history that is never recorded because its first record was not committed.
func TestUncommittedHistoryIsProposedWithItsNextChange(t *testing.T) {
	c, _ := newReservingLeader(t)
	now := timekeeper.Now()
	announceReclaimable(c, "a", enroller.Leaving)
	if err := c.reserves.tick(now.Add(historyInterval)); err != nil {
		t.Fatal(err)
	}
	// The record of the first reclaim is lost.
	c.state.reclaimHistories = nil
	announceReclaimable(c, "b", enroller.Leaving)
	if err := c.reserves.tick(now.Add(2 * historyInterval)); err != nil {
		t.Fatal(err)
	}
	if got := len(committedHistory(c).GetReclaims()); got != 2 {
		t.Errorf("reclaims in the log: got %d, want 2", got)
	}
}

// Guards against a new leader that forgets what the one before has recorded.
func TestNewLeadershipContinuesWithTheHistory(t *testing.T) {
	c, _ := newReservingLeader(t)
	now := timekeeper.Now()
	announceReclaimable(c, "a", enroller.Leaving)
	announceReclaimable(c, "b", enroller.Leaving)
	if err := c.reserves.tick(now.Add(historyInterval)); err != nil {
		t.Fatal(err)
	}
	ready := readyUpstreams(c.table, "s", "")
	service := &c.configuration.Services[0]
	want := c.reserves.of("s").Reserve(now.Add(historyInterval), service, 12, ready, nil)
	c.reserves.startLeadership()
	if got := c.reserves.of("s").Reserve(now.Add(historyInterval), service, 12, ready, nil); got != want {
		t.Errorf("reserve of the next leader: got %+v, want %+v", got, want)
	}
	c.state.reclaimHistories = nil
	c.reserves.startLeadership()
	got := c.reserves.of("s").Reserve(now.Add(historyInterval), service, 12, ready, nil)
	if prior := (scaler.Reserve{Losses: 1}); got != prior || got == want {
		t.Errorf("reserve of a leader without history: got %+v, want %+v", got, prior)
	}
}

// Guards against a reserve whose changes cannot be explained from the log, and against one line for each plan.
func TestReserveChangesAreLogged(t *testing.T) {
	c, log := newReservingLeader(t)
	service := &c.configuration.Services[0]
	now := timekeeper.Now()
	for range 3 {
		c.reserves.of("s").Reserve(now, service, 12, readyUpstreams(c.table, "s", ""), nil)
	}
	if got := strings.Count(log.String(), "reserve-changed"); got != 1 {
		t.Fatalf("log lines for one reserve: got %d, want 1", got)
	}
	announceReclaimable(c, "a", enroller.Leaving)
	if err := c.reserves.tick(now.Add(historyInterval)); err != nil {
		t.Fatal(err)
	}
	c.reserves.of("s").Reserve(now.Add(historyInterval), service, 12, readyUpstreams(c.table, "s", ""), nil)
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	last := lines[len(lines)-1]
	for _, want := range []string{"reserve-changed", `"losses":`, `"extra":`, `"needed":12`, `"reclaims":1`, `"reclaims-per-minute":`, `"unavailable-ms":10000`} {
		if !strings.Contains(last, want) {
			t.Errorf("log line after a reclaim: got %s, want %s in it", last, want)
		}
	}
}

// Guards against a platform's answer that is taken for its contrary, and against an order for fewer upstreams that is
// taken for a proof that there are some.
func TestAnswersOfThePlatformShowWhetherThereAreReclaimableUpstreams(t *testing.T) {
	cases := map[string]struct {
		order scaler.Order
		ready int
		err   error
		// soldOut is whether none can be ordered according to the answer.
		soldOut bool
	}{
		"refused":           {order: scaler.Order{Pool: scaler.Pool{DataCentre: "a", Reclaimable: true}, Count: 5}, ready: 4, err: &NoCapacityError{}, soldOut: true},
		"accepted":          {order: scaler.Order{Pool: scaler.Pool{DataCentre: "a", Reclaimable: true}, Count: 5}, ready: 4},
		"fewer, no answer":  {order: scaler.Order{Pool: scaler.Pool{DataCentre: "a", Reclaimable: true}, Count: 3}, ready: 4, err: &NoCapacityError{}},
		"unknown":           {order: scaler.Order{Pool: scaler.Pool{DataCentre: "a", Reclaimable: true}, Count: 5}, ready: 4, err: context.DeadlineExceeded},
		"on demand refused": {order: scaler.Order{Pool: scaler.Pool{DataCentre: "a"}, Count: 5}, ready: 4, err: &NoCapacityError{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c, _ := newReservingLeader(t)
			now := timekeeper.Now()
			c.reserves.recordResult(now, orderEnded{
				order: Order{Service: "s", Order: test.order},
				placement: placement{
					at:    now,
					ready: test.ready,
				},
				err: test.err,
			})
			// All that is ready is needed, so that upstreams are held on demand if none can be ordered.
			got := c.reserves.of("s").Reserve(now, &c.configuration.Services[0], 16, readyUpstreams(c.table, "s", ""), nil)
			if (got.OnDemand > 0) != test.soldOut {
				t.Errorf("reserve: got %+v, want on-demand upstreams: %t", got, test.soldOut)
			}
		})
	}
}

// Guards against a reserve that is decided, recorded or used though the settings do not enable it.
func TestReserveIsOffByDefault(t *testing.T) {
	c, _ := newReservingLeader(t)
	c.settings.Reserve.Enabled = false
	first := c.node.LastIndex()
	now := timekeeper.Now()
	announceReclaimable(c, "a", enroller.Leaving)
	for _, after := range []time.Duration{historyInterval, 2 * historyInterval} {
		if err := c.reserves.tick(now.Add(after)); err != nil {
			t.Fatal(err)
		}
	}
	if got := c.node.LastIndex(); got != first {
		t.Errorf("records in the log: got %d, want none", got-first)
	}
	c.duties.orders.tick(t.Context(), now.Add(historyInterval), c.duties)
	if got := c.duties.orders.scalers["s"].Reserver; got != nil {
		t.Errorf("reserver of the plan: got %v, want none", got)
	}
	c.settings.Reserve.Enabled = true
	c.duties.orders.startLeadership()
	c.duties.orders.tick(t.Context(), now.Add(2*historyInterval), c.duties)
	if got := c.duties.orders.scalers["s"].Reserver; got == nil {
		t.Error("reserver of the plan when it is enabled: got none")
	}
}

// Guards against a history that is lost or mixed up with a snapshot or a restart, and against one that grows without
// bound.
func TestReclaimHistoriesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, restored := newState(), newState()
		at := int64(0)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			m := &messages.ReclaimHistory{
				Service:         rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "service"),
				ObservedSinceNs: 1,
			}
			for range rapid.IntRange(0, 2*reserver.MaxReclaims).Draw(t, "reclaims") {
				at++
				m.Reclaims = append(m.Reclaims, &messages.Reclaim{DataCentre: "a", AtNs: at, Upstreams: 3})
			}
			command := &messages.Command{Change: &messages.Command_ReclaimHistory{ReclaimHistory: m}}
			direct.apply(command)
			restored.apply(command)
			if rapid.Bool().Draw(t, "snapshot") {
				content, err := restored.snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored = newState()
				if err := restored.restore(content); err != nil {
					t.Fatal(err)
				}
			}
		}
		if got, want := len(restored.reclaimHistories), len(direct.reclaimHistories); got != want {
			t.Fatalf("services: got %d, want %d", got, want)
		}
		for service, want := range direct.reclaimHistories {
			if got := restored.reclaimHistories[service]; !proto.Equal(got, want) {
				t.Fatalf("history of %s: got %v, want %v", service, got, want)
			}
			if got := len(want.GetReclaims()); got > reserver.MaxReclaims {
				t.Fatalf("reclaims of %s: got %d, want at most %d", service, got, reserver.MaxReclaims)
			}
		}
	})
}

// Guards against a log and snapshots that grow with each service that was ever configured, and against a service that is
// removed and comes back without what is known of its reclaims.
func TestHistoriesOfRemovedServicesAreRemoved(t *testing.T) {
	c, _ := newReservingLeader(t)
	with := c.configuration
	configurations := map[string]*matcher.Configuration{
		"with": with,
		"without": {Services: []matcher.Service{{
			Name:    "other",
			Scaling: with.Services[0].Scaling,
		}}},
	}
	c.decode = func(document []byte) (*matcher.Configuration, error) { return configurations[string(document)], nil }
	now := timekeeper.Now()
	announceReclaimable(c, "a", enroller.Leaving)
	version := uint64(0)
	steps := []struct {
		configuration string
		reclaims      int
	}{
		{configuration: "with", reclaims: 1},
		{configuration: "without"},
		{configuration: "with", reclaims: 1},
	}
	for _, step := range steps {
		version++
		if err := c.step(replicator.Proposed{Command: declaration(version, step.configuration)}); err != nil {
			t.Fatal(err)
		}
		for range 4 {
			now = now.Add(historyInterval)
			if err := c.reserves.tick(now); err != nil {
				t.Fatal(err)
			}
		}
		if got := len(committedHistory(c).GetReclaims()); got != step.reclaims {
			t.Errorf("reclaims in the log of a configuration %s the service: got %d, want %d", step.configuration, got, step.reclaims)
		}
		if got, want := len(c.state.reclaimHistories), len(c.configuration.Services); got != want {
			t.Errorf("histories of a configuration %s the service: got %d, want %d", step.configuration, got, want)
		}
	}
	// A history of a removed service may be committed after the configuration that removes it, also in a snapshot.
	stray := &messages.Command{Change: &messages.Command_ReclaimHistory{ReclaimHistory: &messages.ReclaimHistory{Service: "stray"}}}
	if err := c.step(replicator.Proposed{Command: stray}); err != nil {
		t.Fatal(err)
	}
	if c.state.reclaimHistories["stray"] != nil {
		t.Error("history of a service that is not configured: got one, want none")
	}
	c.state.apply(stray)
	content, err := c.state.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.restore(&messages.LogSnapshot{Content: content}); err != nil {
		t.Fatal(err)
	}
	if c.state.reclaimHistories["stray"] != nil || committedHistory(c) == nil {
		t.Errorf("restored histories: got %v, want that of the configured service alone", c.state.reclaimHistories)
	}
}

// Guards against a voter that keeps an outdated history because its last reclaim has a later time, or one that the log
// has removed, and so decides other reserves than the other voters when it leads.
func TestSnapshotReplacesReclaimHistories(t *testing.T) {
	history := func(service string, atNs ...int64) *messages.Command {
		m := &messages.ReclaimHistory{Service: service}
		for _, at := range atNs {
			m.Reclaims = append(m.Reclaims, &messages.Reclaim{DataCentre: "a", AtNs: at})
		}
		return &messages.Command{Change: &messages.Command_ReclaimHistory{ReclaimHistory: m}}
	}
	behind, ahead := newState(), newState()
	behind.apply(history("s", 100, 200))
	behind.apply(history("removed", 100))
	behind.apply(history("quiet", 300))
	// The next leader's clock is behind, and it no longer counts a reclaim that was too old.
	ahead.apply(history("s", 150))
	ahead.apply(history("quiet"))
	content, err := ahead.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := behind.restore(content); err != nil {
		t.Fatal(err)
	}
	if got, want := len(behind.reclaimHistories), len(ahead.reclaimHistories); got != want {
		t.Errorf("services: got %d, want %d", got, want)
	}
	for service, want := range ahead.reclaimHistories {
		if got := behind.reclaimHistories[service]; !proto.Equal(got, want) {
			t.Errorf("history of %s: got %v, want %v", service, got, want)
		}
	}
}

// nextNumber returns the number of the next field of a message.
func nextNumber(m proto.Message) protowire.Number {
	next := protowire.Number(1)
	for fields, n := m.ProtoReflect().Descriptor().Fields(), 0; n < fields.Len(); n++ {
		next = max(next, fields.Get(n).Number()+1)
	}
	return next
}

// Guards against a voter of an earlier version that fails at a command or a snapshot entry that it does not know, and
// against one of this version that fails at a snapshot of an earlier one.
func TestReclaimHistoriesAcrossVersions(t *testing.T) {
	s := newState()
	s.apply(declaration(7, "x"))
	s.apply(&messages.Command{Change: &messages.Command_ReclaimHistory{ReclaimHistory: &messages.ReclaimHistory{
		Service:  "s",
		Reclaims: []*messages.Reclaim{{DataCentre: "a", AtNs: 5}},
	}}})
	// Such a voter finds a field of the command that it does not know, as this one does with the next number.
	unknown := &messages.Command{}
	later := protowire.AppendBytes(protowire.AppendTag(nil, nextNumber(unknown), protowire.BytesType), []byte{1})
	if err := proto.Unmarshal(later, unknown); err != nil {
		t.Fatalf("decode a command of a later version: got %v, want it ignored", err)
	}
	before, err := s.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s.apply(unknown)
	after, err := s.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if len(after) != len(before) || unknown.GetChange() != nil {
		t.Errorf("after an unknown command: got a state of %d bytes, want %d", len(after), len(before))
	}
	states := &messages.MachineStates{}
	if err := proto.Unmarshal(before, states); err != nil {
		t.Fatal(err)
	}
	delete(states.States, reclaimKeyPrefix+"s")
	states.States["later"] = []byte{1, 2, 3}
	earlier, err := proto.Marshal(states)
	if err != nil {
		t.Fatal(err)
	}
	restored := newState()
	if err := restored.restore(earlier); err != nil {
		t.Fatalf("restore a snapshot of another version: got %v, want no error", err)
	}
	if got, want := restored.configuration.GetVersion(), uint64(7); got != want || len(restored.reclaimHistories) != 0 {
		t.Errorf("restored: got version %d and %v, want %d and no history", got, restored.reclaimHistories, want)
	}
	if err := s.restore(earlier); err != nil || len(s.reclaimHistories) != 1 {
		t.Errorf("a snapshot without histories over a state with one: got %d (%v), want it kept", len(s.reclaimHistories), err)
	}
	states.States[reclaimKeyPrefix+"s"] = []byte("garbage")
	damaged, err := proto.Marshal(states)
	if err != nil {
		t.Fatal(err)
	}
	if err := newState().restore(damaged); err == nil {
		t.Error("a damaged history: got no error")
	}
}

// Guards against histories whose encoding loses what the plan depends on.
func TestReclaimHistoryIsEncodedWhole(t *testing.T) {
	want := reserver.History{
		ObservedSince: time.Unix(100, 5),
		Reclaims: []reserver.Reclaim{{
			DataCentre:  "a",
			At:          time.Unix(200, 7),
			Upstreams:   9,
			Unavailable: 13 * time.Second,
		}},
	}
	got := decodeHistory(encodeHistory("s", want))
	if !got.ObservedSince.Equal(want.ObservedSince) || len(got.Reclaims) != 1 || got.Reclaims[0] != want.Reclaims[0] {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := decodeHistory(&messages.ReclaimHistory{}); !got.ObservedSince.IsZero() {
		t.Errorf("start of an observation that is not known: got %v, want the zero time", got.ObservedSince)
	}
	largest := want
	for len(largest.Reclaims) < reserver.MaxReclaims {
		largest.Reclaims = append(largest.Reclaims, want.Reclaims[0])
	}
	t.Logf("bytes of a record: %d with one reclaim, %d with %d", proto.Size(encodeHistory("s", want)), proto.Size(encodeHistory("s", largest)), reserver.MaxReclaims)
}
