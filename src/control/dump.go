package control

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Dump is a control process's state as `rosecroft dump` prints it.
type Dump struct {
	Name            units.Instance `yaml:"name"`
	Voter           units.VoterID  `yaml:"voter"`
	Log             string         `yaml:"log"`
	Role            string         `yaml:"role"`
	Term            units.Term     `yaml:"term"`
	Leader          units.Instance `yaml:"leader"`
	Commit          units.Index    `yaml:"commit"`
	LastIndex       units.Index    `yaml:"last-index"`
	SnapshotIndex   units.Index    `yaml:"snapshot-index"`
	Membership      uint64         `yaml:"membership"`
	Members         []MemberDump   `yaml:"members"`
	AcceptedVersion units.Version  `yaml:"accepted-version"`
	Entries         []EntryDump    `yaml:"entries"`
	View            ViewDump       `yaml:"view"`
	Upstreams       []FleetDump    `yaml:"upstreams"`
	Orders          []OrderDump    `yaml:"orders"`
	Purchases       []PurchaseDump `yaml:"purchases"`
}

// MemberDump is one voter or learner of the log.
type MemberDump struct {
	ID         units.VoterID    `yaml:"id"`
	DataCentre units.DataCentre `yaml:"data-centre"`
	Learner    bool             `yaml:"learner"`
}

// EntryDump is the leader's state of one entry.
type EntryDump struct {
	Name           units.Instance `yaml:"name"`
	VersionInForce units.Version  `yaml:"version-in-force"`
	Fenced         bool           `yaml:"fenced"`
	// Direct reports that the entry sends its heartbeats without a relay.
	Direct  bool          `yaml:"direct"`
	Silence time.Duration `yaml:"silence"`
}

func (c *coordinator) dump() *Dump {
	dump := &Dump{
		Name:            c.settings.Name,
		Voter:           c.node.VoterID(),
		Log:             c.node.LogID(),
		Role:            c.node.CurrentRole().String(),
		Term:            c.node.Term(),
		Leader:          c.node.LeaderID(),
		Commit:          c.node.Commit(),
		LastIndex:       c.node.LastIndex(),
		SnapshotIndex:   c.node.SnapshotIndex(),
		Membership:      c.node.Membership().GetNumber(),
		AcceptedVersion: c.state.Version(),
		View:            c.registry.dump(),
		Upstreams:       c.fleet.dump(time.Now()),
		Orders:          c.orders.recent,
		Purchases:       c.purchases.recent,
	}
	for _, member := range c.node.Membership().GetMembers() {
		dump.Members = append(dump.Members, MemberDump{
			ID:         units.VoterID(member.GetId()),
			DataCentre: units.DataCentre(member.GetDataCentre()),
			Learner:    member.GetLearner(),
		})
	}
	for name, entry := range c.distribution.entries {
		dump.Entries = append(dump.Entries, EntryDump{
			Name:           name,
			VersionInForce: units.Version(entry.heartbeat.GetVersionInForce()),
			Fenced:         !entry.fencedSince.IsZero(),
			Direct:         time.Since(entry.directAt) < directExpiry,
			Silence:        time.Since(entry.lastHeartbeatAt),
		})
	}
	return dump
}
