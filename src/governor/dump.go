package governor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/units"
)

// Dump is the state of a control process in the form shown to operators.
type Dump struct {
	Voter     string         `yaml:"voter"`
	Role      string         `yaml:"role"`
	Term      uint64         `yaml:"term"`
	Leader    string         `yaml:"leader"`
	Commit    uint64         `yaml:"commit"`
	Last      uint64         `yaml:"last"`
	Snapshot  uint64         `yaml:"snapshot"`
	Version   uint64         `yaml:"version"`
	Clients   admitter.State `yaml:"clients"`
	Members   []string       `yaml:"members"`
	Entries   int            `yaml:"entries"`
	Upstreams []UpstreamDump `yaml:"upstreams"`
	// Quarantines are the requests that are or were quarantined.
	Quarantines []QuarantineDump `yaml:"quarantines"`
}

// QuarantineDump is one quarantined request in a dump.
type QuarantineDump struct {
	Fingerprint string `yaml:"fingerprint"`
	// Parts are the parts of prompts that are quarantined together, none for a single request.
	Parts     []string `yaml:"parts,omitempty"`
	Strikes   uint32   `yaml:"strikes"`
	Upstreams uint32   `yaml:"upstreams"`
	// RemainingMs is the remaining time of the quarantine, negative once it is over.
	RemainingMs int64 `yaml:"left-ms"`
}

// UpstreamDump is one upstream in a dump.
type UpstreamDump struct {
	Name           string `yaml:"name"`
	Service        string `yaml:"service"`
	State          string `yaml:"state"`
	Silent         bool   `yaml:"silent"`
	HeartbeatAgeMs int64  `yaml:"heard-ms"`
	// InFlight and PrefillTokens are the calls that all entries have in flight there and the prompt
	// tokens of these calls that are not prefilled yet; only the leader knows them.
	InFlight      int64 `yaml:"in-flight"`
	PrefillTokens int64 `yaml:"unread"`
	// DeferredTokens is how many of these tokens are of deferred calls.
	DeferredTokens int64 `yaml:"deferred,omitempty"`
	// Limit is the rate limit that the upstream states, in calls per second, nil for none.
	Limit *float64 `yaml:"limit,omitempty"`
	// Slowdown is how many times as long as usual work takes there, by the statements to all
	// entries; 0 if it has made too few.
	Slowdown float64 `yaml:"slowdown,omitempty"`
	// Weight is the fraction of its calls that it gets because calls fail there, nil if it is not restricted.
	Weight *float64 `yaml:"weight,omitempty"`
}

func (c *coordinator) dump() *Dump {
	now := c.now()
	d := &Dump{
		Voter:    string(c.node.VoterID()),
		Role:     c.node.CurrentRole().String(),
		Term:     uint64(c.node.Term()),
		Leader:   string(c.node.LeaderID()),
		Commit:   uint64(c.node.Commit()),
		Last:     uint64(c.node.LastIndex()),
		Snapshot: uint64(c.node.SnapshotIndex()),
		Version:  c.state.configuration.GetVersion(),
		Entries:  c.allocator.CountEntries(now),
	}
	for _, member := range c.node.Membership().GetMembers() {
		d.Members = append(d.Members, member.GetId())
	}
	trueNow := c.trueTime(now)
	for _, m := range c.state.quarantineList().GetRequests() {
		d.Quarantines = append(d.Quarantines, QuarantineDump{
			Fingerprint: units.Fingerprint(m.GetRequest()).String(),
			Parts:       textsOf(decodeParts(m.GetParts())),
			Strikes:     m.GetStrikes(),
			Upstreams:   m.GetUpstreams(),
			RemainingMs: time.Unix(0, m.GetUntilNs()).Sub(trueNow).Milliseconds(),
		})
	}
	inFlight := c.inFlight.Total()
	limits := c.rateLimits.limits()
	for _, e := range c.table.Upstreams() {
		load := inFlight[placer.HashOf(e.ID)]
		d.Upstreams = append(d.Upstreams, UpstreamDump{
			Name:           string(e.ID),
			Service:        string(e.Service),
			State:          e.State.String(),
			Silent:         e.Silent,
			HeartbeatAgeMs: now.Sub(e.HeartbeatAt).Milliseconds(),
			InFlight:       load.Calls,
			PrefillTokens:  load.PrefillTokens,
			DeferredTokens: load.DeferredTokens,
			Limit:          limits[units.NewIncarnationID(e.ID, e.Incarnation)],
			Slowdown:       c.slowdowns.pool.Reported(units.NewIncarnationID(e.ID, e.Incarnation)),
			Weight:         c.ejections.weight(units.NewIncarnationID(e.ID, e.Incarnation)),
		})
	}
	return d
}
