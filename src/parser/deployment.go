package parser

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// PlatformSettings is the settings of one process on a managed platform, where upstreams
// announce themselves to control and control instances discover each other through seeds.
type PlatformSettings struct {
	Name       units.Instance   `yaml:"name"`
	Address    string           `yaml:"address"`
	DataCentre units.DataCentre `yaml:"data-centre"`
	// Callers and Readiness are the addresses at which an entry accepts calls and
	// answers the readiness checks of the platform's load balancer.
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	// Operators is the address at which control receives configurations and heartbeats.
	Operators  string `yaml:"operators"`
	DataFolder string `yaml:"data-folder"`
	// PeerPorts are the first and the last port for connections between the system's
	// own processes, the same on all instances.
	PeerPorts []int `yaml:"peer-ports"`
	// Seeds are addresses of some control instances.
	Seeds []string `yaml:"seeds"`
	// FirstStart reports that the whole system starts for the first time.
	FirstStart bool `yaml:"first-start"`
	// LostDisks is the number of simultaneous disk losses to tolerate.
	LostDisks int `yaml:"lost-disks"`
	// MemoryLimitMiB is the memory limit of a process in MiB.
	MemoryLimitMiB int `yaml:"memory"`
	Descriptors    int `yaml:"descriptors"`
	// LinkMbps is what the instance's link carries in each direction, in Mbit/s; 0 if unknown.
	LinkMbps          float64       `yaml:"link-mbps"`
	HeartbeatInterval time.Duration `yaml:"heartbeat-interval"`
	// ContactPeriod is how long an instance must be reachable before its guarantees apply again.
	ContactPeriod time.Duration `yaml:"contact"`
	// RevocationTimeout is the maximum time for which any entry may accept a key after its removal.
	RevocationTimeout time.Duration `yaml:"revocation"`
	// DrainTimeout is how long a process may continue after the signal to stop.
	DrainTimeout time.Duration `yaml:"drain"`
	Retries      Retries       `yaml:"retries"`
	Quota        Quota         `yaml:"quota"`
	Usage        Usage         `yaml:"usage"`
	// DutyLease is the period in which duties must not alternate between holders.
	DutyLease time.Duration `yaml:"duty-lease"`
	Rollouts  Rollouts      `yaml:"rollouts"`
	Cloud     Cloud         `yaml:"cloud"`
	// ClientLimits bounds what callers hold of an entry, and operators and upstreams of control.
	ClientLimits ClientLimits `yaml:"client-limits"`
	// OutlierEjection, Deferral and Reserve are decisions under load; each is off unless it is enabled.
	OutlierEjection OutlierEjection `yaml:"outlier-ejection"`
	Deferral        Deferral        `yaml:"deferral"`
	Reserve         Reserve         `yaml:"reserve"`
}

// OutlierEjection keeps calls from upstreams whose calls fail more often than those of their peers, by what all
// entries have seen.
type OutlierEjection struct {
	Enabled bool `yaml:"enabled"`
	// MaxShare is the largest share of a service's upstreams that may be ejected at once.
	MaxShare float64 `yaml:"max-share"`
}

// Deferral lets calls that cannot be on time any more give way to calls of the same rank that can.
type Deferral struct {
	Enabled bool `yaml:"enabled"`
}

// Reserve holds upstreams in reserve against reclaims, by how often they come.
type Reserve struct {
	Enabled bool `yaml:"enabled"`
	// ShortageCost is what an upstream that is missing costs callers, as a multiple of the price of an on-demand
	// one for the same time.
	ShortageCost float64 `yaml:"shortage-cost"`
	// MinLosses is how many data centres may always be lost. One suffices against reclaims; what is held for a second one
	// also carries bursts and crashes.
	MinLosses int `yaml:"min-losses"`
}

// Retries bounds the retries of all entries together: in any Window, their number is
// at most Ratio times the number of calls, plus Slack.
type Retries struct {
	Ratio  float64       `yaml:"ratio"`
	Window time.Duration `yaml:"window"`
	Slack  float64       `yaml:"slack"`
}

// Quota defines how the token limits of client accounts are judged: the tokens admitted
// in any Window may exceed what rate and burst allow by the fraction Overage, plus Slack tokens.
type Quota struct {
	Window  time.Duration `yaml:"window"`
	Overage float64       `yaml:"overage"`
	Slack   float64       `yaml:"slack"`
	// ByUrgency lets an account's more urgent calls go first while it asks for more than its limit.
	ByUrgency bool `yaml:"by-urgency"`
}

// Rollouts bounds how many calls a faulty version may receive during its roll-out.
type Rollouts struct {
	// ExposureShare is a fraction of the service's calls within the roll-out's time limit;
	// ExposureSlack is a number of calls allowed in addition.
	ExposureShare float64 `yaml:"exposure-share"`
	ExposureSlack float64 `yaml:"exposure-slack"`
	// ResendPeriod is the period after an order in which an identical one is taken for a resend of it.
	ResendPeriod time.Duration `yaml:"resend"`
}

// Usage configures usage reports: the calls are counted per Window, and a window is reported
// at most MaxDelay after its end.
type Usage struct {
	Window   time.Duration `yaml:"window"`
	MaxDelay time.Duration `yaml:"lateness"`
}

// Cloud is the platform's API for usage reports and orders; an empty address means that there is none.
type Cloud struct {
	Address        string  `yaml:"address"`
	CallsPerSecond float64 `yaml:"calls-per-second"`
}

// Defaults for omitted settings.
const (
	defaultHeartbeatInterval = time.Second
	defaultContact           = 3 * time.Second
	defaultRevocation        = 5 * time.Second
	defaultDeploymentDrain   = 8 * time.Second
	defaultWindow            = 10 * time.Second
	defaultUsageWindow       = 5 * time.Second
	defaultDutyLease         = 3 * time.Second
	defaultMemory            = 256
	defaultExposureShare     = 0.1
	defaultResend            = 5 * time.Second
	defaultMaxEjectedShare   = 0.3
	defaultShortageCost      = 4
	defaultMinLosses         = 1
	// maxEjectedShare bounds the setting: the rest of the upstreams must carry the calls.
	maxEjectedShare = 0.5
	maxShortageCost = 1000
	maxMinLosses    = 3
	// minPeerPorts is the number of ports that the processes of one instance listen on.
	minPeerPorts = 3
)

// ParsePlatformSettings returns the complete, valid settings of a process, or an error of type Problems.
func ParsePlatformSettings(file string, content []byte, role Role) (*PlatformSettings, error) {
	s := &PlatformSettings{}
	d := decode(file, content, s)
	if !d.unreadable {
		d.validateDeployment(s, role)
	}
	if err := d.problems.err(); err != nil {
		return nil, err
	}
	s.fillDefaults()
	return s, nil
}

func (s *PlatformSettings) fillDefaults() {
	s.HeartbeatInterval = orDefault(s.HeartbeatInterval, defaultHeartbeatInterval)
	s.ContactPeriod = orDefault(s.ContactPeriod, defaultContact)
	s.RevocationTimeout = orDefault(s.RevocationTimeout, defaultRevocation)
	s.DrainTimeout = orDefault(s.DrainTimeout, defaultDeploymentDrain)
	s.Retries.Window = orDefault(s.Retries.Window, defaultWindow)
	s.Quota.Window = orDefault(s.Quota.Window, defaultWindow)
	s.Usage.Window = orDefault(s.Usage.Window, defaultUsageWindow)
	s.DutyLease = orDefault(s.DutyLease, defaultDutyLease)
	s.Rollouts.ResendPeriod = orDefault(s.Rollouts.ResendPeriod, defaultResend)
	if s.Rollouts.ExposureShare == 0 {
		s.Rollouts.ExposureShare = defaultExposureShare
	}
	if s.MemoryLimitMiB == 0 {
		s.MemoryLimitMiB = defaultMemory
	}
	if s.OutlierEjection.MaxShare == 0 {
		s.OutlierEjection.MaxShare = defaultMaxEjectedShare
	}
	if s.Reserve.ShortageCost == 0 {
		s.Reserve.ShortageCost = defaultShortageCost
	}
	if s.Reserve.MinLosses == 0 {
		s.Reserve.MinLosses = defaultMinLosses
	}
}

func (d *document) validateDeployment(s *PlatformSettings, role Role) {
	if s.Name == "" {
		d.report("name", "", "a name", "name the instance")
	}
	if _, err := netip.ParseAddr(s.Address); err != nil {
		d.report("address", s.Address, "an IP address", "give the address that other instances reach this one at")
	}
	if len(s.PeerPorts) != 2 || s.PeerPorts[1]-s.PeerPorts[0]+1 < minPeerPorts {
		d.report("peer-ports", fmt.Sprint(s.PeerPorts), fmt.Sprintf("the first and last of at least %d ports", minPeerPorts),
			"give a free range that is the same on all instances")
	}
	if len(s.Seeds) == 0 {
		d.report("seeds", "", "at least one address", "name some control instances")
	}
	if share := s.Rollouts.ExposureShare; share < 0 || share > 1 || s.Rollouts.ExposureSlack < 0 {
		d.report("rollouts", fmt.Sprint(s.Rollouts), "an exposure-share from 0 to 1 and an exposure-slack of 0 or more",
			"give what a bad version may get of a service's calls")
	}
	d.validateLoadDecisions(s)
	d.validateClientLimits(s.ClientLimits)
	for i, seed := range s.Seeds {
		d.checkAddrPort(fmt.Sprintf("seeds[%d]", i), seed)
	}
	switch role {
	case Entry:
		d.checkAddrPort("callers", s.Callers)
		d.checkAddrPort("readiness", s.Readiness)
	case Control:
		d.checkAddrPort("operators", s.Operators)
		if s.DataFolder == "" {
			d.report("data-folder", "", "a folder on a disk", "name the folder that control may write to")
		}
	}
}

func (d *document) validateLoadDecisions(s *PlatformSettings) {
	if share := s.OutlierEjection.MaxShare; !(share >= 0 && share <= maxEjectedShare) {
		d.report("outlier-ejection.max-share", fmt.Sprint(share), fmt.Sprintf("a share from 0 to %v", maxEjectedShare),
			"give the largest share of a service's upstreams that may be ejected at once")
	}
	if cost := s.Reserve.ShortageCost; !(cost >= 0 && cost <= maxShortageCost) {
		d.report("reserve.shortage-cost", fmt.Sprint(cost), fmt.Sprintf("a multiple from 0 to %d", maxShortageCost),
			"give what a missing upstream costs, as a multiple of the price of an on-demand one")
	}
	if losses := s.Reserve.MinLosses; losses < 0 || losses > maxMinLosses {
		d.report("reserve.min-losses", fmt.Sprint(losses), fmt.Sprintf("a number from 1 to %d", maxMinLosses),
			"give how many data centres may always be lost, or leave it out")
	}
}

func (d *document) checkAddrPort(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.report(path, value, "an IP address and a port", "write it as 10.0.0.1:8080")
	}
}

// PeerAddress returns the address at which the control process on a host serves other processes.
func (s *PlatformSettings) PeerAddress(host string) string {
	return fmt.Sprintf("%s:%d", host, s.PeerPorts[0])
}

// OwnPeerAddress returns the address at which this process serves other processes.
func (s *PlatformSettings) OwnPeerAddress() string { return s.PeerAddress(s.Address) }

// RelayAddress returns the address at which this process carries calls of other entries.
func (s *PlatformSettings) RelayAddress() string {
	return fmt.Sprintf("%s:%d", s.Address, s.PeerPorts[0]+1)
}

// MetricsAddress returns the address at which this process serves its metrics and its dump.
func (s *PlatformSettings) MetricsAddress() string {
	return fmt.Sprintf("%s:%d", s.Address, s.PeerPorts[0]+2)
}

// SeedPeers returns the addresses at which the seeds serve other processes, in the order of the settings.
func (s *PlatformSettings) SeedPeers() []string {
	peers := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if address, err := netip.ParseAddrPort(seed); err == nil {
			peers = append(peers, s.PeerAddress(address.Addr().String()))
		}
	}
	return peers
}

// Voters returns the number of control instances that vote in the replicated log:
// the smallest of which a majority remains after the loss of LostDisks disks.
func (s *PlatformSettings) Voters() int { return 2*s.LostDisks + 1 }
