package control

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/registrar"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// viewTick is how often the leader looks for a change of the view.
	viewTick = 100 * time.Millisecond
	// afterFence is how much longer than the fence a silent entry stays in the
	// view: it has fenced itself before its records get new owners.
	afterFence    = time.Second
	steadyFor     = 600 * time.Millisecond
	steadyGap     = 1500 * time.Millisecond
	viewSettle    = 200 * time.Millisecond
	betweenViews  = time.Second
	holdMajority  = 30 * time.Second
	viewsRetained = 8
)

// registry is the entry view of the log and, at the leader, its registrar.
type registry struct {
	view      *messages.EntryView
	registrar *registrar.Registrar
	tickedAt  time.Time
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

func newRegistry(timing parser.Timing) registry {
	return registry{
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

// applyView takes a committed view; one whose number is not the next changes
// nothing, so that a proposal made twice counts once.
func (c *coordinator) applyView(view *messages.EntryView) {
	if view.GetNumber() != c.registry.view.GetNumber()+1 {
		return
	}
	c.registry.view = view
	c.registry.registrar.Step(time.Now(), registrar.Applied{View: view})
	c.log.Info().
		Uint64("number", view.GetNumber()).
		Int("members", len(view.GetMembers())).
		Msg("entry-view-applied")
}

func (c *coordinator) leadRegistry(now time.Time, leads bool) {
	if leads {
		c.registry.registrar.Step(now, registrar.Led{View: c.registry.view})
		return
	}
	c.registry.registrar.Step(now, registrar.Lost{})
}

func (c *coordinator) hearMember(now time.Time, heartbeat *messages.EntryHeartbeat) {
	c.registry.registrar.Step(now, registrar.Heard{
		Member: &messages.EntryMember{
			Entry:       heartbeat.GetEntry(),
			DataCentre:  heartbeat.GetDataCentre(),
			PeerAddress: heartbeat.GetPeerAddress(),
			Incarnation: heartbeat.GetIncarnation(),
		},
		Stopping: heartbeat.GetStopping(),
	})
}

func (c *coordinator) tickRegistry(now time.Time) error {
	if now.Sub(c.registry.tickedAt) < viewTick || !c.node.Lead(now) {
		return nil
	}
	c.registry.tickedAt = now
	for _, action := range c.registry.registrar.Step(now, registrar.Ticked{}) {
		switch a := action.(type) {
		case registrar.Propose:
			if err := c.proposeView(a); err != nil {
				return err
			}
		case registrar.Held:
			c.log.Warn().
				Int("silent", a.Silent).
				Int("members", a.Members).
				Msg("entry-view-held")
		}
	}
	return nil
}

func (c *coordinator) proposeView(proposal registrar.Propose) error {
	for _, change := range proposal.Changes {
		c.registry.changes = append(c.registry.changes, ViewChange{
			Number: proposal.View.GetNumber(),
			Entry:  change.Entry,
			Reason: change.Reason,
		})
		c.log.Info().
			Uint64("number", proposal.View.GetNumber()).
			Str("entry", string(change.Entry)).
			Str("reason", string(change.Reason)).
			Msg("entry-view-proposed")
	}
	c.registry.changes = c.registry.changes[max(0, len(c.registry.changes)-viewsRetained):]
	return c.step(replicator.Proposed{
		Command: &messages.Command{
			Change: &messages.Command_EntryView{
				EntryView: proposal.View,
			},
		},
		Token: c.silentToken(),
	})
}

// silentToken returns a token for a proposal whose outcome shows in the log alone.
func (c *coordinator) silentToken() uint64 {
	c.nextToken++
	c.proposals[c.nextToken] = make(chan submitReply, 1)
	return c.nextToken
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
