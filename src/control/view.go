package control

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/registrar"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// viewInterval is how often the leader checks whether the view must change.
	viewInterval = 100 * time.Millisecond
	// fenceMargin is how much longer than the fence period a silent entry stays in the
	// view, so that it has fenced itself before its records get new owners.
	fenceMargin = time.Second
	// steadyPeriod is how long an entry must send heartbeats without a gap of more than
	// maxHeartbeatGap before it joins the view.
	steadyPeriod    = 600 * time.Millisecond
	maxHeartbeatGap = 1500 * time.Millisecond
	// viewSettlePeriod is how long a change waits for others to be included in the same view.
	viewSettlePeriod = 200 * time.Millisecond
	minViewInterval  = time.Second
	// majorityHoldPeriod is how long silent entries stay in the view if half of it or more is silent.
	majorityHoldPeriod = 30 * time.Second
	maxRecentChanges   = 32
)

// registry is the replicated entry view and, at the leader, the registrar that
// proposes its changes.
type registry struct {
	log       zerolog.Logger
	view      *messages.EntryView
	registrar *registrar.Registrar
	tickedAt  time.Time
	leading   bool
	// registrarView is the number of the last view that was passed to the registrar.
	registrarView uint64
	// changes are the last proposed changes with their reasons, newest last.
	changes []ViewChange
}

// ViewDump is the entry view as `rosecroft dump` prints it.
type ViewDump struct {
	Number  uint64       `yaml:"number"`
	Members []string     `yaml:"members"`
	Changes []ViewChange `yaml:"changes"`
}

// ViewChange is why this leader proposed that an entry joins or leaves.
type ViewChange struct {
	Number uint64           `yaml:"number"`
	Entry  units.Instance   `yaml:"entry"`
	Reason registrar.Reason `yaml:"reason"`
}

func newRegistry(timing parser.Timing, log zerolog.Logger) *registry {
	return &registry{
		log: log,
		registrar: &registrar.Registrar{
			Options: registrar.Options{
				SuspicionTimeout: timing.FenceTimeout + fenceMargin,
				SteadyPeriod:     steadyPeriod,
				MaxHeartbeatGap:  maxHeartbeatGap,
				SettlePeriod:     viewSettlePeriod,
				MinViewInterval:  minViewInterval,
				HoldPeriod:       majorityHoldPeriod,
			},
		},
	}
}

// Name returns the view's key in snapshots.
func (r *registry) Name() string { return "entry-view" }

// Apply stores a committed view. One whose number is not the next changes nothing, so
// that a repeated proposal has no further effect.
func (r *registry) Apply(_ units.Index, command *messages.Command) proto.Message {
	view := command.GetEntryView()
	if view == nil || view.GetNumber() != r.view.GetNumber()+1 {
		return nil
	}
	r.view = view
	r.log.Info().
		Uint64("number", view.GetNumber()).
		Int("members", len(view.GetMembers())).
		Msg("entry-view-applied")
	return nil
}

// Snapshot returns the encoded view.
func (r *registry) Snapshot() ([]byte, error) {
	return proto.Marshal(r.view)
}

// Restore replaces the view.
func (r *registry) Restore(content []byte) error {
	view := &messages.EntryView{}
	if err := proto.Unmarshal(content, view); err != nil {
		return fmt.Errorf("decode the entry view of a snapshot: %w", err)
	}
	r.view = view
	return nil
}

// HandleHeartbeat reports an entry to the registrar and sends the entry a newer view
// if there is one.
func (r *registry) HandleHeartbeat(now time.Time, heartbeat *messages.EntryHeartbeat, response *messages.EntryHeartbeatResponse) {
	r.updateRegistrar(now)
	r.registrar.Step(now, registrar.HeartbeatReceived{
		Member: &messages.EntryMember{
			Entry:       heartbeat.GetEntry(),
			DataCentre:  heartbeat.GetDataCentre(),
			PeerAddress: heartbeat.GetPeerAddress(),
			Incarnation: heartbeat.GetIncarnation(),
		},
		Stopping: heartbeat.GetStopping(),
	})
	if heartbeat.GetViewNumber() < r.view.GetNumber() {
		response.View = r.view
	}
}

// Lead returns the proposal for the next view when one is due.
func (r *registry) Lead(now time.Time, _ units.Term) []*messages.Command {
	if now.Sub(r.tickedAt) < viewInterval {
		return nil
	}
	r.tickedAt = now
	r.updateRegistrar(now)
	var commands []*messages.Command
	for _, action := range r.registrar.Step(now, registrar.Ticked{}) {
		switch a := action.(type) {
		case registrar.Propose:
			commands = append(commands, r.propose(a))
		case registrar.RemovalHeld:
			r.log.Warn().
				Int("silent", a.Silent).
				Int("members", a.Members).
				Msg("entry-view-held")
		}
	}
	return commands
}

// StopLeading notifies the registrar that the leadership has ended.
func (r *registry) StopLeading() {
	r.leading = false
	r.registrar.Step(time.Time{}, registrar.LeadershipLost{})
}

// updateRegistrar notifies the registrar of a new leadership or a newly applied view.
func (r *registry) updateRegistrar(now time.Time) {
	switch {
	case !r.leading:
		r.registrar.Step(now, registrar.LeadershipGained{View: r.view})
	case r.view.GetNumber() != r.registrarView:
		r.registrar.Step(now, registrar.ViewCommitted{View: r.view})
	}
	r.leading = true
	r.registrarView = r.view.GetNumber()
}

func (r *registry) propose(proposal registrar.Propose) *messages.Command {
	for _, change := range proposal.Changes {
		r.changes = append(r.changes, ViewChange{
			Number: proposal.View.GetNumber(),
			Entry:  change.Entry,
			Reason: change.Reason,
		})
		r.log.Info().
			Uint64("number", proposal.View.GetNumber()).
			Str("entry", string(change.Entry)).
			Str("reason", string(change.Reason)).
			Msg("entry-view-proposed")
	}
	r.changes = r.changes[max(0, len(r.changes)-maxRecentChanges):]
	return &messages.Command{
		Change: &messages.Command_EntryView{
			EntryView: proposal.View,
		},
	}
}

func (r *registry) dump() ViewDump {
	dump := ViewDump{
		Number:  r.view.GetNumber(),
		Changes: r.changes,
	}
	for _, member := range r.view.GetMembers() {
		dump.Members = append(dump.Members, member.GetEntry())
	}
	return dump
}
