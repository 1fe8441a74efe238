package control

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Dump is a control process's state as `rosecroft dump` prints it.
type Dump struct {
	Name            units.Instance `yaml:"name"`
	Role            string         `yaml:"role"`
	Term            units.Term     `yaml:"term"`
	Leader          units.Instance `yaml:"leader"`
	Commit          units.Index    `yaml:"commit"`
	LastIndex       units.Index    `yaml:"last-index"`
	AcceptedVersion units.Version  `yaml:"accepted-version"`
	Entries         []EntryDump    `yaml:"entries"`
	View            ViewDump       `yaml:"view"`
	Upstreams       []FleetDump    `yaml:"upstreams"`
	Orders          []OrderDump    `yaml:"orders"`
}

// EntryDump is what the leader knows of one entry.
type EntryDump struct {
	Name           units.Instance `yaml:"name"`
	VersionInForce units.Version  `yaml:"version-in-force"`
	Fenced         bool           `yaml:"fenced"`
	Silence        time.Duration  `yaml:"silence"`
}

func (c *coordinator) dump() *Dump {
	dump := &Dump{
		Name:            c.settings.Name,
		Role:            c.node.CurrentRole().String(),
		Term:            c.node.Term(),
		Leader:          c.node.LeaderID(),
		Commit:          c.node.Commit(),
		LastIndex:       c.node.LastIndex(),
		AcceptedVersion: c.state.Version(),
		View:            c.registry.dump(),
		Upstreams:       c.fleet.dump(time.Now()),
		Orders:          c.orders.recent,
	}
	for name, entry := range c.entries {
		dump.Entries = append(dump.Entries, EntryDump{
			Name:           name,
			VersionInForce: units.Version(entry.heartbeat.GetVersionInForce()),
			Fenced:         entry.heartbeat.GetFenced(),
			Silence:        time.Since(entry.at),
		})
	}
	return dump
}
