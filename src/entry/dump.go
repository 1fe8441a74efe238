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
	// Fenced says that the lease to serve has ended, so that calls are refused.
	Fenced bool `yaml:"fenced"`
	// View is the number of the entry view, 0 before the first.
	View      uint64         `yaml:"view"`
	Upstreams []UpstreamDump `yaml:"upstreams"`
	Record    recorder.Dump  `yaml:"record"`
}

// UpstreamDump is what the entry knows of one upstream.
type UpstreamDump struct {
	Name         units.Upstream     `yaml:"name"`
	Service      units.Service      `yaml:"service"`
	DataCentre   units.DataCentre   `yaml:"data-centre"`
	ModelVersion units.ModelVersion `yaml:"model-version"`
	Leaving      bool               `yaml:"leaving"`
	InFlight     int64              `yaml:"in-flight"`
	Silence      time.Duration      `yaml:"silence"`
}

func (c *coordinator) dump() *Dump {
	dump := &Dump{
		Name:           c.settings.Name,
		VersionInForce: units.Version(c.inForce.Load()),
	}
	for _, upstream := range c.tracker.All() {
		dump.Upstreams = append(dump.Upstreams, UpstreamDump{
			Name:         upstream.Name,
			Service:      upstream.Service,
			DataCentre:   upstream.DataCentre,
			ModelVersion: upstream.ModelVersion,
			Leaving:      upstream.Leaving,
			InFlight:     upstream.Live.InFlight.Load(),
			Silence:      time.Since(upstream.HeardAt),
		})
	}
	return dump
}
