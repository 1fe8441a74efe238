package governor

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/persister"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against a next leader that does not know the entries of the last one, or lacks the counts of an entry that
// was lost together with it.
func TestUsageIsSharedBetweenControlInstances(t *testing.T) {
	_, leader := newLeader(t)
	_, next := newInstance(t)
	leader.duties.cloud, next.duties.cloud = soldOutCloud{}, soldOutCloud{}
	now := timekeeper.Now()
	trueTime := leader.trueTime(now)
	window := aggregator.WindowAt(trueTime, leader.settings.Usage.Window)
	usage := func(calls int64) []*messages.WindowUsage {
		return []*messages.WindowUsage{{Window: int64(window), Account: "a", Count: calls}}
	}
	leader.recordUsage(trueTime.Add(-3*time.Second), &messages.EntryPoll{Entry: "lost", Incarnation: 1, Usage: usage(7)})
	leader.recordUsage(trueTime, &messages.EntryPoll{Entry: "running", Incarnation: 1, Usage: usage(5)})

	// The queue has no goroutine that delivers its messages.
	const peer = "127.0.0.1:7001"
	queue := make(chan peerMessage, 8)
	leader.outbox = &outbox{queues: map[string]chan peerMessage{peer: queue}}
	leader.node.AddInstance(peer)
	leader.ticks = usageTicks
	leader.sendBatch(now)
	encoded, err := proto.Marshal((<-queue).batch)
	if err != nil {
		t.Fatal(err)
	}
	batch := &messages.UpstreamBatch{}
	if err := proto.Unmarshal(encoded, batch); err != nil {
		t.Fatal(err)
	}
	next.syncUpstreams(batch)

	report, due := next.state.ledger.Due(trueTime.Add(time.Minute))
	if got, want := report.Counts["a"], int64(7); !due || got != want {
		t.Errorf("calls at the next leader: got %d, due %t, want %d of the entry that is lost", got, due, want)
	}
	contacts := next.state.ledger.Contacts()
	if got, want := len(contacts), 2; got != want {
		t.Fatalf("entries known to the next leader: got %v, want %d", contacts, want)
	}
	for i, want := range []time.Time{trueTime.Add(-3 * time.Second), trueTime} {
		if off := contacts[i].At.Sub(want).Abs(); off > time.Second {
			t.Errorf("contact with %s: got %v, off by %v", contacts[i].Run.Entry, contacts[i].At, off)
		}
	}
	ofNext := &messages.UpstreamBatch{}
	next.shareUsage(now, ofNext)
	if got, want := len(ofNext.GetContacts()), 0; got != want {
		t.Errorf("contacts shared by an instance that does not lead: got %d, want %d", got, want)
	}
}

// Guards against memory and messages that grow forever where the platform offers no API: no window is ever committed.
func TestUsageIsNotKeptWithoutPlatform(t *testing.T) {
	_, c := newLeader(t)
	now := timekeeper.Now()
	trueTime := c.trueTime(now)
	for i := range 10 {
		c.recordUsage(trueTime.Add(time.Duration(i)*time.Minute), &messages.EntryPoll{
			Entry:       "e",
			Incarnation: uint64(i + 1),
			Usage:       []*messages.WindowUsage{{Window: int64(i + 1), Account: "a", Count: 1}},
		})
	}
	batch := &messages.UpstreamBatch{}
	c.shareUsage(now, batch)
	if got, want := len(batch.GetUsage()), 0; got != want {
		t.Errorf("runs whose counts are kept and forwarded: got %d, want %d", got, want)
	}
}

// usagePlatform takes reports of usage. Its answer may be lost, and the report with it.
type usagePlatform struct {
	soldOutCloud
	reportLost bool
	answerLost bool
	token      units.Term
	taken      map[aggregator.Window]map[units.Account]int64
	// answered counts the reports of a window that were answered, by the token of their sender.
	answered map[units.Term]map[aggregator.Window]int
	changed  error
}

var errAnswerLost = errors.New("no answer")

func (p *usagePlatform) ReportUsage(_ context.Context, holder DutyHolder, report aggregator.Report) error {
	if holder.FencingToken < p.token {
		return &FencedError{}
	}
	p.token = holder.FencingToken
	if p.reportLost {
		return errAnswerLost
	}
	if first, known := p.taken[report.Window]; known && !maps.Equal(first, report.Counts) {
		p.changed = fmt.Errorf("window %d: got %v after %v", report.Window, report.Counts, first)
	}
	p.taken[report.Window] = report.Counts
	if p.answerLost {
		return errAnswerLost
	}
	if p.answered[holder.FencingToken] == nil {
		p.answered[holder.FencingToken] = make(map[aggregator.Window]int)
	}
	p.answered[holder.FencingToken][report.Window]++
	return nil
}

// usageLeader drives the duties of a control instance that loses power and returns with what its disk holds.
type usageLeader struct {
	t         *rapid.T
	governor  *Governor
	platform  *usagePlatform
	storage   *persister.Persister
	leader    *coordinator
	now       time.Time
	snapshots [][]byte
	// losesPower is set where the leader may lose its power.
	losesPower bool
	// running are the current runs of the entries, counts those of each run, and counted the calls of all.
	running []usageRun
	counts  map[usageRun]map[aggregator.Window]int64
	counted map[aggregator.Window]int64
}

type usageRun struct {
	entry       string
	incarnation uint64
}

// Guards against a closed window that changes, is reported twice to the platform by a leader that got an answer, or is
// never reported, whatever is lost: reports, answers, and the leader's power before, during and after its writes.
func TestReportedUsageNeverChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		u := &usageLeader{
			t: rt,
			governor: &Governor{
				Settings: &parser.PlatformSettings{
					Name:              "c1",
					DataFolder:        t.TempDir(),
					FirstStart:        true,
					Address:           "127.0.0.1",
					DataCentre:        "dc",
					Seeds:             []string{"127.0.0.1:7000"},
					PeerPorts:         []int{7600, 7615},
					RevocationTimeout: 5 * time.Second,
					Usage:             parser.Usage{Window: 5 * time.Second, MaxDelay: 10 * time.Second},
				},
				Log:    zerolog.Nop(),
				Client: &connector.Client{},
			},
			platform: &usagePlatform{
				taken:    make(map[aggregator.Window]map[units.Account]int64),
				answered: make(map[units.Term]map[aggregator.Window]int),
			},
			now:        timekeeper.Now().Add(time.Minute),
			losesPower: rapid.Bool().Draw(rt, "leader loses power"),
			running:    []usageRun{{"e0", 1}, {"e1", 1}},
			counts:     make(map[usageRun]map[aggregator.Window]int64),
			counted:    make(map[aggregator.Window]int64),
		}
		u.governor.Cloud = u.platform
		u.governor.Prepare()
		u.start(rt)
		defer func() { _ = u.storage.Close() }()
		u.run()
	})
}

// start opens the folder and makes the instance lead.
func (u *usageLeader) start(t *rapid.T) {
	storage, stored, err := persister.OpenWithoutInodeCheck(u.governor.Settings.DataFolder, units.Instance(u.governor.Settings.OwnPeerAddress()))
	if err != nil {
		t.Fatal(err)
	}
	u.storage = storage
	if u.leader, err = newCoordinator(u.governor, storage, stored); err != nil {
		t.Fatal(err)
	}
	u.leader.ctx = context.Background()
	for at := timekeeper.Now(); !u.leader.isLeader(at); at = at.Add(tickInterval) {
		for _, action := range u.leader.node.Step(at, replicator.Ticked{}) {
			if err := u.leader.execute(action); err != nil {
				t.Fatal(err)
			}
		}
	}
	// The leadership outlasts the run.
	u.leader.leaderUntil.Store(timekeeper.Now().Add(time.Hour).UnixNano())
}

// restart loses the power and returns.
func (u *usageLeader) restart() {
	if err := u.storage.Close(); err != nil {
		u.t.Fatal(err)
	}
	u.start(u.t)
}

// pass advances the time, on which three other instances agree.
func (u *usageLeader) pass(by time.Duration) time.Time {
	u.now = u.now.Add(by)
	wall := time.Unix(1_700_000_000, 0).Add(u.now.Sub(time.Unix(0, 0)))
	for _, other := range []units.Instance{"o1", "o2", "o3"} {
		u.leader.estimator.Record(u.now, other, wall)
	}
	return u.leader.trueTime(u.now)
}

// report lets the leader's duty run until a report fails or there is nothing to report.
func (u *usageLeader) report() {
	duties := u.leader.duties
	for !duties.fenced {
		duties.report(u.leader.ctx, u.now)
		if !duties.reporting {
			return
		}
		ended, isReport := (<-u.leader.events).(usageReportEnded)
		if !isReport {
			u.t.Fatal("event: got another one, want the end of a report")
		}
		duties.handleReportResult(ended)
		// The retry is due by the clock of the process, which is behind the test's.
		if ended.err != nil {
			return
		}
	}
}

// proposeTorn proposes the window that is due, and loses power after a drawn number of the log's actions.
func (u *usageLeader) proposeTorn(trueTime time.Time) {
	report, due := u.leader.state.ledger.Due(trueTime)
	if !due {
		return
	}
	actions := u.leader.node.Step(timekeeper.Now(), replicator.Proposed{
		Command: &messages.Command{Change: &messages.Command_UsageReport{UsageReport: reportMessage(report)}},
	})
	for _, action := range actions[:rapid.IntRange(0, len(actions)).Draw(u.t, "actions done")] {
		if err := u.leader.execute(action); err != nil {
			u.t.Fatal(err)
		}
	}
	u.restart()
}

func (u *usageLeader) run() {
	for range rapid.IntRange(1, 60).Draw(u.t, "steps") {
		trueTime := u.pass(time.Duration(rapid.IntRange(0, 1500).Draw(u.t, "passes")) * time.Millisecond)
		u.platform.reportLost, u.platform.answerLost = false, false
		u.stepEntry(trueTime)
		u.stepControl(trueTime)
		u.pollAll(u.pass(0))
		u.report()
		if err := u.leader.duties.proposeUsage(u.now); err != nil {
			u.t.Fatal(err)
		}
		u.check()
	}
	u.platform.reportLost, u.platform.answerLost = false, false
	for range 30 {
		u.pollAll(u.pass(time.Second))
		if err := u.leader.duties.proposeUsage(u.now); err != nil {
			u.t.Fatal(err)
		}
		u.report()
	}
	u.check()
	u.checkEnd()
}

// stepEntry lets an entry count a call, lose power, or repeat a poll of an earlier run.
func (u *usageLeader) stepEntry(trueTime time.Time) {
	r := &u.running[rapid.IntRange(0, len(u.running)-1).Draw(u.t, "entry")]
	switch rapid.SampledFrom([]string{"calls", "calls", "entry loses power", "late copy", "nothing"}).Draw(u.t, "what an entry does") {
	case "calls":
		window := aggregator.WindowAt(trueTime, u.governor.Settings.Usage.Window)
		if u.counts[*r] == nil {
			u.counts[*r] = make(map[aggregator.Window]int64)
		}
		u.counts[*r][window]++
		u.counted[window]++
	case "entry loses power":
		r.incarnation++
	case "late copy":
		u.poll(trueTime, usageRun{
			entry:       r.entry,
			incarnation: rapid.Uint64Range(1, r.incarnation).Draw(u.t, "run"),
		})
	}
}

// stepControl lets reports or answers get lost, and the leader lose power or restore an earlier snapshot.
func (u *usageLeader) stepControl(trueTime time.Time) {
	kinds := []string{"nothing", "report lost", "answer lost", "snapshot", "restore"}
	if u.losesPower {
		kinds = append(kinds, "answer lost, leader loses power", "leader loses power", "torn write")
	}
	switch rapid.SampledFrom(kinds).Draw(u.t, "what control does") {
	case "report lost":
		u.platform.reportLost = true
	case "answer lost":
		u.platform.answerLost = true
	case "answer lost, leader loses power":
		u.platform.answerLost = true
		u.report()
		u.restart()
	case "leader loses power":
		u.restart()
	case "torn write":
		u.proposeTorn(trueTime)
	case "snapshot":
		content, err := u.leader.state.snapshot()
		if err != nil {
			u.t.Fatal(err)
		}
		u.snapshots = append(u.snapshots, content)
	case "restore":
		if len(u.snapshots) == 0 {
			return
		}
		if err := u.leader.state.restore(rapid.SampledFrom(u.snapshots).Draw(u.t, "snapshot")); err != nil {
			u.t.Fatal(err)
		}
	}
}

func (u *usageLeader) poll(trueTime time.Time, r usageRun) {
	m := &messages.EntryPoll{Entry: r.entry, Incarnation: r.incarnation}
	for window, calls := range u.counts[r] {
		m.Usage = append(m.Usage, &messages.WindowUsage{Window: int64(window), Account: "a", Count: calls})
	}
	u.leader.recordUsage(trueTime, m)
}

func (u *usageLeader) pollAll(trueTime time.Time) {
	for _, r := range u.running {
		u.poll(trueTime, r)
	}
}

// checkEnd checks that the platform has all committed windows, and, of a leader that never lost its power, all calls:
// each run has reported its calls to it before it ended.
func (u *usageLeader) checkEnd() {
	for _, committed := range u.leader.state.ledger.Committed() {
		if taken, known := u.platform.taken[committed.Window]; !known || !maps.Equal(taken, committed.Counts) {
			u.t.Fatalf("window %d at the platform: got %v, %t, want %v", committed.Window, taken, known, committed.Counts)
		}
	}
	if u.losesPower {
		return
	}
	for window, calls := range u.counted {
		if got := u.platform.taken[window]["a"]; got != calls {
			u.t.Fatalf("calls in window %d: got %d, want %d", window, got, calls)
		}
	}
}

func (u *usageLeader) check() {
	if u.platform.changed != nil {
		u.t.Fatal(u.platform.changed)
	}
	for window, taken := range u.platform.taken {
		if got, most := taken["a"], u.counted[window]; got > most {
			u.t.Fatalf("calls in window %d: got %d, want at most %d", window, got, most)
		}
	}
	for term, windows := range u.platform.answered {
		for window, times := range windows {
			if times > 1 {
				u.t.Fatalf("answered reports of window %d by the leader of term %d: got %d, want 1", window, term, times)
			}
		}
	}
}
