package governor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/persister"
	"github.com/rosecroft/rosecroft/src/units"
)

// replicatedFleet is a simulated deployment whose control instances have a log of their own each, on a simulated disk and
// with a simulated clock. All messages between them are encoded and decoded.
type replicatedFleet struct {
	t       testing.TB
	now     time.Time
	members []*fleetMember
	entries []*followingEntry
	queue   []fleetMessage
	// isLost reports whether a message is lost on its way.
	isLost func(from, to *fleetMember) bool
	// isBatchLost is set where all batches of upstreams are lost, and the messages of the log are not.
	isBatchLost bool
	random      *rand.Rand
	// left holds the incarnations whose departure was acknowledged.
	left map[units.Upstream]units.Incarnation
}

// fleetMember is one control instance with its disk; it has no coordinator while its process does not run.
type fleetMember struct {
	fleet       *replicatedFleet
	settings    *parser.PlatformSettings
	disk        *memoryDisk
	coordinator *coordinator
	isCutOff    bool
	// isFrozen is set while the process stands still.
	isFrozen bool
}

// wallOffset is the time of day less the clock, on all instances.
const wallOffset = 1_000_000 * time.Hour

type fleetMessage struct {
	from, to *fleetMember
	content  peerMessage
}

// memoryDisk keeps the log of one voter in memory.
type memoryDisk struct {
	contents persister.Contents
}

func (d *memoryDisk) Save(state *messages.HardState, records []*messages.LogRecord) error {
	d.contents.State = state
	if len(records) == 0 {
		return nil
	}
	kept := d.contents.Records
	for len(kept) > 0 && kept[len(kept)-1].GetIndex() >= records[0].GetIndex() {
		kept = kept[:len(kept)-1]
	}
	d.contents.Records = append(append([]*messages.LogRecord(nil), kept...), records...)
	return nil
}

func (d *memoryDisk) SaveSnapshot(state *messages.HardState, snapshot *messages.LogSnapshot, base *messages.RecordsHeader, records []*messages.LogRecord) error {
	d.contents.State, d.contents.Snapshot, d.contents.Base = state, snapshot, base
	d.contents.Records = append([]*messages.LogRecord(nil), records...)
	return nil
}

// foundingTime is longer than instances that start together take until all of them vote.
const foundingTime = 4 * time.Second

// newReplicatedFleet starts control instances and waits until all of them vote.
func newReplicatedFleet(t testing.TB, instances int, random *rand.Rand) *replicatedFleet {
	t.Helper()
	f := startReplicatedFleet(t, instances, random)
	f.run(foundingTime)
	if f.leader() == nil {
		t.Fatal("leader after the start: got none")
	}
	return f
}

// startReplicatedFleet starts control instances, of which as many disks may be lost at once as leave a majority.
func startReplicatedFleet(t testing.TB, instances int, random *rand.Rand) *replicatedFleet {
	t.Helper()
	f := &replicatedFleet{
		t:      t,
		now:    time.Unix(1000, 0),
		isLost: func(_, _ *fleetMember) bool { return false },
		random: random,
		left:   make(map[units.Upstream]units.Incarnation),
	}
	var seeds []string
	for n := range min(3, instances) {
		seeds = append(seeds, fmt.Sprintf("10.0.1.%d:7000", n+1))
	}
	for n := range instances {
		address := fmt.Sprintf("10.0.1.%d", n+1)
		m := &fleetMember{
			fleet: f,
			settings: &parser.PlatformSettings{
				Name:              units.Instance(address),
				DataFolder:        filepath.Join(t.TempDir(), address),
				FirstStart:        true,
				Address:           address,
				DataCentre:        "dc",
				Seeds:             seeds,
				PeerPorts:         []int{7600, 7615},
				LostDisks:         (instances - 1) / 2,
				HeartbeatInterval: time.Second,
				RevocationTimeout: 5 * time.Second,
				Quota:             parser.Quota{Window: 8 * time.Second},
				Usage:             parser.Usage{Window: 5 * time.Second, MaxDelay: 10 * time.Second},
			},
		}
		f.members = append(f.members, m)
		m.replaceDisk()
		m.start()
	}
	f.addEntry()
	return f
}

// replaceDisk gives an instance an empty disk.
func (m *fleetMember) replaceDisk() {
	m.disk = &memoryDisk{contents: persister.Contents{ID: units.VoterID(fmt.Sprintf("%s#%x", m.settings.OwnPeerAddress(), m.fleet.random.Uint64()))}}
	if err := os.RemoveAll(m.settings.DataFolder); err != nil {
		m.fleet.t.Fatal(err)
	}
	if err := os.MkdirAll(m.settings.DataFolder, 0o755); err != nil {
		m.fleet.t.Fatal(err)
	}
}

// start starts an instance's process with what is on its disk.
func (m *fleetMember) start() {
	g := &Governor{
		Settings: m.settings,
		Log:      zerolog.Nop(),
		Client:   &connector.Client{},
		Clock:    func() time.Time { return m.fleet.now },
		Wall:     func() time.Time { return m.fleet.now.Add(wallOffset) },
		Decode: func([]byte) (*matcher.Configuration, error) {
			return &matcher.Configuration{Services: []matcher.Service{{Name: "s"}}}, nil
		},
	}
	g.Prepare()
	contents := m.disk.contents
	c, err := newCoordinator(g, m.disk, &contents)
	if err != nil {
		m.fleet.t.Fatal(err)
	}
	c.ctx = m.fleet.t.Context()
	c.outbox = m
	c.configuration = &matcher.Configuration{Services: []matcher.Service{{Name: "s"}}}
	c.table.IsWithheld = nil
	m.settings.FirstStart = false
	m.coordinator = c
}

// kill ends an instance's process.
func (m *fleetMember) kill() { m.coordinator = nil }

// loseDisk starts an instance again without what was on its disk.
func (m *fleetMember) loseDisk() {
	m.kill()
	m.replaceDisk()
	m.start()
}

// enqueue sends a message to another instance.
func (m *fleetMember) enqueue(_ context.Context, address string, p peerMessage) {
	for _, to := range m.fleet.members {
		if to.settings.OwnPeerAddress() == address && to != m {
			m.fleet.queue = append(m.fleet.queue, fleetMessage{
				from:    m,
				to:      to,
				content: p,
			})
		}
	}
}

// handle lets an instance handle an event.
func (m *fleetMember) handle(e event) {
	if err := m.coordinator.handleEvent(e); err != nil {
		m.fleet.t.Fatal(err)
	}
}

// run lets time pass, with a tick of each instance in each interval.
func (f *replicatedFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); {
		f.now = f.now.Add(tickInterval)
		for _, m := range f.members {
			if m.coordinator != nil && !m.isFrozen {
				m.handle(ticked{})
				m.awaitSaved()
			}
		}
		f.deliver()
	}
}

// awaitSaved waits until a table that is being saved is on disk, so that a run with the same seed is the same.
func (m *fleetMember) awaitSaved() {
	if saving := m.coordinator.tableFile.saving; saving != nil {
		err := <-saving
		m.coordinator.tableFile.saving = make(chan error, 1)
		m.coordinator.tableFile.saving <- err
	}
}

// deliver delivers the messages under way, and those that they cause.
func (f *replicatedFleet) deliver() {
	for len(f.queue) > 0 {
		next := f.queue[0]
		f.queue = f.queue[1:]
		if !f.reaches(next.from, next.to) || f.isBatchLost && next.content.batch != nil {
			continue
		}
		if next.content.log != nil {
			next.to.handle(logMessageReceived{message: copyOf(f.t, next.content.log)})
			continue
		}
		next.to.handle(upstreamBatchReceived{
			batch: copyOf(f.t, next.content.batch),
			reply: make(chan *messages.UpstreamBatchResponse, 1),
		})
	}
}

// reaches reports whether a message between two instances arrives.
func (f *replicatedFleet) reaches(from, to *fleetMember) bool {
	return from.coordinator != nil && to.coordinator != nil && !from.isCutOff && !to.isCutOff && !to.isFrozen && !f.isLost(from, to)
}

// copyOf returns what arrives of a message.
func copyOf[M proto.Message](t testing.TB, m M) M {
	content, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	decoded := m.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(content, decoded); err != nil {
		t.Fatal(err)
	}
	return decoded.(M)
}

// leader returns the instance that leads, nil for none.
func (f *replicatedFleet) leader() *fleetMember {
	for _, m := range f.members {
		if m.coordinator != nil && !m.isFrozen && m.coordinator.isLeader(f.now) {
			return m
		}
	}
	return nil
}

// followers returns the instances that do not lead.
func (f *replicatedFleet) followers() []*fleetMember {
	leader := f.leader()
	return slices.DeleteFunc(slices.Clone(f.members), func(m *fleetMember) bool { return m == leader })
}

// startAll starts the instances whose processes do not run.
func (f *replicatedFleet) startAll() {
	for _, m := range f.members {
		if m.coordinator == nil {
			m.start()
		}
	}
}

// killAll kills all instances at the same moment, and starts them again.
func (f *replicatedFleet) killAll() {
	for _, m := range f.members {
		m.kill()
	}
	f.queue = nil
	f.startAll()
}

// heal ends all cuts.
func (f *replicatedFleet) heal() {
	for _, m := range f.members {
		m.isCutOff = false
	}
}

// awaitLeader lets time pass until an instance leads.
func (f *replicatedFleet) awaitLeader() {
	for range 500 {
		if f.leader() != nil {
			return
		}
		f.run(tickInterval)
	}
	f.t.Fatal("leader within 10 s: got none")
}

// announce sends an announcement to an instance, and reports whether it is acknowledged within the time of a call.
func (f *replicatedFleet) announce(at *fleetMember, r enroller.Registration) bool {
	if at.coordinator == nil {
		return false
	}
	reply := at.coordinator.handleAnnouncement(announcementReceived{registration: r})
	if reply.unrecorded || reply.departs == nil {
		return !reply.unrecorded
	}
	committed := reply.committed
	if committed == nil {
		leader := f.memberAt(reply.leader)
		if leader == nil || leader == at || !f.reaches(at, leader) {
			return false
		}
		forwarded := copyOf(f.t, reply.departs)
		committed = leader.coordinator.handleAnnouncement(announcementReceived{registration: enroller.FromMessage(forwarded)}).committed
		if committed == nil || f.isLost(leader, at) {
			return false
		}
	}
	for end := f.now.Add(callTimeout); f.now.Before(end); f.run(tickInterval) {
		select {
		case outcome := <-committed:
			return outcome.accepted
		default:
		}
	}
	return false
}

func (f *replicatedFleet) memberAt(address string) *fleetMember {
	for _, m := range f.members {
		if m.settings.OwnPeerAddress() == address {
			return m
		}
	}
	return nil
}

func (f *replicatedFleet) addEntry() {
	f.entries = append(f.entries, &followingEntry{table: &enroller.Table{ID: uint64(len(f.entries) + 1), Interval: time.Second}})
}

// pollAll lets all entries poll the leader, if there is one, until they have its whole table.
func (f *replicatedFleet) pollAll() error {
	leader := f.leader()
	if leader == nil {
		return nil
	}
	for n, e := range f.entries {
		if err := e.follow(f.now, leader.coordinator, fmt.Sprint(n)); err != nil {
			return err
		}
	}
	return nil
}

// usedAfterDeparture lets all entries poll, and returns an upstream that one of them uses though its departure was
// acknowledged, "" for none.
func (f *replicatedFleet) usedAfterDeparture() (string, error) {
	if err := f.pollAll(); err != nil {
		return "", err
	}
	for n, e := range f.entries {
		for _, u := range e.table.Upstreams() {
			if left, hasLeft := f.left[u.ID]; hasLeft && u.State == enroller.Ready && u.Incarnation <= left {
				return fmt.Sprintf("entry %d uses upstream %q of %d", n, u.ID, u.Incarnation), nil
			}
		}
	}
	return "", nil
}

// announceState sends an engine's next heartbeat, or its deregistration, and records an acknowledged departure. An engine
// that has said that it leaves does not take that back.
func (f *replicatedFleet) announceState(at *fleetMember, e *soundEngine, state enroller.State) bool {
	acknowledged := f.announce(at, e.next(state))
	if acknowledged && e.registration.State != enroller.Ready {
		f.left[e.registration.ID] = e.registration.Incarnation
	}
	return acknowledged
}
