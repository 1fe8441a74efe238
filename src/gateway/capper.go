package gateway

import (
	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/connector"
)

// prepareCapper creates the bound on all buffered answers, and bounds what control and other entries send.
func (g *Gateway) prepareCapper() {
	total := int64(capper.TotalFraction * float64(g.Settings.MemoryLimitMiB) * (1 << 20))
	g.capper = &capper.Capper{
		MaxTotal: total,
		Log:      g.Log,
	}
	if g.Meter != nil {
		g.capper.Scope = g.Meter.Scope
	}
	g.Client.Bounds = connector.Bounds{
		MaxMessageBytes: total,
		Capper:          g.capper,
	}
}
