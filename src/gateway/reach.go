package gateway

import (
	"context"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/pathfinder"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// recordDial records the outcome of an attempt to connect to an upstream.
func (g *Gateway) recordDial(upstream *tracker.Upstream, startedAt time.Time, err error) {
	g.returns.recordDial(timekeeper.Now(), units.NewIncarnationID(upstream.Name, upstream.Incarnation), err != nil)
	reach, changed := g.pathfinder.RecordDial(pathfinder.Dial{
		Service:   upstream.Service,
		Upstream:  units.NewIncarnationID(upstream.Name, upstream.Incarnation),
		StartedAt: startedAt,
		Failed:    err != nil,
	})
	if changed {
		g.changeReach(reach)
	}
	if err == nil {
		g.placer.RecordReached(upstream)
		return
	}
	g.trafficStats.connectFailed(upstream)
	g.verifier.Verify(upstream.Service)
}

// changeReach applies that a service has become partitioned from this entry, or is so no longer.
func (g *Gateway) changeReach(reach pathfinder.Reach) {
	if reach.Partitioned {
		g.placer.RecordPartition(reach.Service)
	}
	g.logReach(reach)
}

// askPeers returns what other entries tell of an upstream.
func (g *Gateway) askPeers(ctx context.Context, service units.Service, id units.IncarnationID) pathfinder.Answer {
	return g.sender.Ask(ctx, g.upstream(service, id), g.Log)
}

// setPresent tells the pathfinder which upstreams are in use.
func (g *Gateway) setPresent(fleet placer.Fleet) {
	present := make(map[units.Service][]units.IncarnationID, len(fleet))
	for service, candidates := range fleet {
		for _, c := range candidates {
			present[service] = append(present[service], units.NewIncarnationID(c.Name, c.Incarnation))
		}
	}
	for _, reach := range g.pathfinder.SetPresent(timekeeper.Now(), present) {
		g.changeReach(reach)
	}
}

// logReach logs that a service is partitioned from this entry, or is no longer.
func (g *Gateway) logReach(reach pathfinder.Reach) {
	g.trafficStats.partitioned(reach)
	if !reach.Partitioned {
		g.Log.Info().
			Str("service", string(reach.Service)).
			Int("unreached", reach.Unreached).
			Int("down", reach.Down).
			Int("present", reach.Present).
			Msg("service-reached")
		return
	}
	ejected, silent := g.unusable(reach.Service)
	g.Log.Warn().
		Str("service", string(reach.Service)).
		Int("unreached", reach.Unreached).
		Int("down", reach.Down).
		Int("present", reach.Present).
		Int("ejected", ejected).
		Int("silent", silent).
		Int64("since-ms", timekeeper.Now().Sub(reach.Since).Milliseconds()).
		Msg("service-partitioned")
}

// unusable returns how many of a service's upstreams are ejected, and how many control receives no
// heartbeats from.
func (g *Gateway) unusable(service units.Service) (ejected, silent int) {
	for _, c := range g.fleet()[service] {
		if g.placer.Assess(c).Ejected {
			ejected++
		}
		if c.Silent {
			silent++
		}
	}
	return ejected, silent
}

func encodeReach(unreached []pathfinder.Reach) []*messages.ServiceReach {
	var encoded []*messages.ServiceReach
	for _, reach := range unreached {
		encoded = append(encoded, &messages.ServiceReach{
			Service:     string(reach.Service),
			Partitioned: reach.Partitioned,
			Unreached:   uint32(reach.Unreached),
			Present:     uint32(reach.Present),
		})
	}
	return encoded
}
