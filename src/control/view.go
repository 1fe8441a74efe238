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
	// viewTick is how often the leader looks for a change of the view.
	viewTick = 100 * time.Millisecond
	// afterFence is how much longer than the fence a silent entry stays in the
	// view: it has fenced itself before its records get new owners.
	afterFence      = time.Second
	steadyFor       = 600 * time.Millisecond
	steadyGap       = 1500 * time.Millisecond
	viewSettle      = 200 * time.Millisecond
	betweenViews    = time.Second
	holdMajority    = 30 * time.Second
	changesRetained = 32
)

// registry is the entry view of the log and, at the leader, its registrar.
type registry struct {
	log       zerolog.Logger
	view      *messages.EntryView
	registrar *registrar.Registrar
	tickedAt  time.Time
	leading   bool
	// told is the number of the view that the registrar knows.
	told uint64
	// changes are the last proposals with their reasons, the newest last.
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
				Suspicion: timing.Fence + afterFence,
				Steady:    steadyFor,
				Gap:       steadyGap,
				Settle:    viewSettle,
				Between:   betweenViews,
				Hold:      holdMajority,
			},
		},
	}
}

// Name is the view's key in snapshots.
func (r *registry) Name() string { return "entry-view" }

// Apply takes a committed view; one whose number is not the next changes
// nothing, so that a proposal made twice counts once.
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

// Snapshot returns the view.
func (r *registry) Snapshot() ([]byte, error) {
	return proto.Marshal(r.view)
}

// Restore replaces the view.
func (r *registry) Restore(content []byte) error {
	view := &messages.EntryView{}
	if err := proto.Unmarshal(content, view); err != nil {
		return fmt.Errorf("read the entry view of a snapshot: %w", err)
	}
	r.view = view
	return nil
}

// Hear tells the registrar of an entry and gives the entry a newer view.
func (r *registry) Hear(now time.Time, heartbeat *messages.EntryHeartbeat, response *messages.EntryHeartbeatResponse) {
	r.lead(now)
	r.registrar.Step(now, registrar.Heard{
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
	if now.Sub(r.tickedAt) < viewTick {
		return nil
	}
	r.tickedAt = now
	r.lead(now)
	var commands []*messages.Command
	for _, action := range r.registrar.Step(now, registrar.Ticked{}) {
		switch a := action.(type) {
		case registrar.Propose:
			commands = append(commands, r.propose(a))
		case registrar.Held:
			r.log.Warn().
				Int("silent", a.Silent).
				Int("members", a.Members).
				Msg("entry-view-held")
		}
	}
	return commands
}

// Rest ends the registrar's leadership.
func (r *registry) Rest() {
	r.leading = false
	r.registrar.Step(time.Time{}, registrar.Lost{})
}

// lead tells the registrar of a new leadership or a newly applied view.
func (r *registry) lead(now time.Time) {
	switch {
	case !r.leading:
		r.registrar.Step(now, registrar.Led{View: r.view})
	case r.view.GetNumber() != r.told:
		r.registrar.Step(now, registrar.Applied{View: r.view})
	}
	r.leading = true
	r.told = r.view.GetNumber()
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
	r.changes = r.changes[max(0, len(r.changes)-changesRetained):]
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
