package pathfinder

import (
	"context"
	"time"

	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// probeInterval is how often due probes are started.
const probeInterval = 100 * time.Millisecond

// Prober attempts connections to upstreams that this entry could not connect to.
type Prober struct {
	Pathfinder *Pathfinder
	// Connect attempts a connection, records its outcome in the pathfinder, and returns why none was
	// made.
	Connect func(ctx context.Context, service units.Service, id units.IncarnationID) error
	// OnChange is called when a partition that was reported has ended without an attempt to connect.
	OnChange func(reach Reach)
}

// Run starts the probes that are due until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := timekeeper.Now()
			for _, reach := range p.Pathfinder.Settle(now) {
				p.OnChange(reach)
			}
			for _, probe := range p.Pathfinder.DueProbes(now) {
				go p.probe(ctx, probe)
			}
		}
	}
}

// probe attempts connections to upstreams of a service, the next one as soon as one is made.
func (p *Prober) probe(ctx context.Context, probe Probe) {
	for due := true; due; {
		if p.Connect(ctx, probe.Service, probe.Upstream) != nil {
			return
		}
		probe.Upstream, due = p.Pathfinder.DueProbe(timekeeper.Now(), probe.Service)
	}
}
