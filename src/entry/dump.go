package entry

import (
	"time"

	"github.com/rosecroft/rosecroft/src/recorder"
	"github.com/rosecroft/rosecroft/src/units"
)

// Dump is an entry's state as `rosecroft dump` prints it.
type Dump struct {
	Name           units.Instance `yaml:"name"`
	VersionInForce units.Version  `yaml:"version-in-force"`
	// Fenced is set if the lease to serve has expired, so that calls are refused.
	Fenced bool `yaml:"fenced"`
	// View is the number of the entry view, 0 before the first.
	View      uint64         `yaml:"view"`
	Upstreams []UpstreamDump `yaml:"upstreams"`
	Record    recorder.Dump  `yaml:"record"`
	// Patience is the factor by which the timeouts for suspecting silent upstreams are
	// multiplied.
	Patience int        `yaml:"patience"`
	Gossip   GossipDump `yaml:"gossip"`
}

// GossipDump counts the entries that receive rumours about this entry's upstreams.
type GossipDump struct {
	Keepers    int `yaml:"keepers"`
	Relays     int `yaml:"relays"`
	Neighbours int `yaml:"neighbours"`
}

// UpstreamDump is what the entry knows of one upstream.
type UpstreamDump struct {
	Name         units.Upstream     `yaml:"name"`
	Address      string             `yaml:"address"`
	Service      units.Service      `yaml:"service"`
	DataCentre   units.DataCentre   `yaml:"data-centre"`
	ModelVersion units.ModelVersion `yaml:"model-version"`
	Loading      units.ModelVersion `yaml:"loading"`
	Leaving      bool               `yaml:"leaving"`
	Suspected    bool               `yaml:"suspected"`
	// Direct is set if the upstream announces itself to this entry.
	Direct      bool              `yaml:"direct"`
	Incarnation units.Incarnation `yaml:"incarnation"`
	InFlight    int64             `yaml:"in-flight"`
	Silence     time.Duration     `yaml:"silence"`
}

func (c *coordinator) dump() *Dump {
	dump := &Dump{
		Name:           c.settings.Name,
		VersionInForce: units.Version(c.versionInForce.Load()),
		Patience:       c.tracker.HealthMultiplier(),
	}
	dump.Gossip.Keepers, dump.Gossip.Relays, dump.Gossip.Neighbours = c.informer.Gossiper.Counts()
	for _, upstream := range c.tracker.All() {
		dump.Upstreams = append(dump.Upstreams, UpstreamDump{
			Name:         upstream.Name,
			Address:      upstream.Address,
			Service:      upstream.Service,
			DataCentre:   upstream.DataCentre,
			ModelVersion: upstream.ModelVersion,
			Loading:      upstream.LoadingVersion,
			Leaving:      upstream.Leaving,
			Suspected:    upstream.Suspected,
			Direct:       upstream.Direct,
			Incarnation:  upstream.Incarnation,
			InFlight:     upstream.Local.InFlight.Load(),
			Silence:      time.Since(upstream.AnnouncedAt),
		})
	}
	return dump
}
