package parser

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Deployment is what one process is told where upstreams announce themselves to
// control and control instances find each other from a few seeds.
type Deployment struct {
	Name       units.Instance   `yaml:"name"`
	Address    string           `yaml:"address"`
	DataCentre units.DataCentre `yaml:"data-centre"`
	// Callers and Readiness are where an entry takes calls and tells the platform's
	// balancer whether it wants any.
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	// Operators is where control takes configurations and heartbeats.
	Operators  string `yaml:"operators"`
	DataFolder string `yaml:"data-folder"`
	// PeerPorts are the first and the last port for the system's own processes,
	// the same on all instances.
	PeerPorts []int `yaml:"peer-ports"`
	// Seeds are addresses of some control instances.
	Seeds []string `yaml:"seeds"`
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool `yaml:"first-start"`
	// LostDisks is how many disks may be lost at the same time.
	LostDisks int `yaml:"lost-disks"`
	// Memory is what a process may use, in MiB.
	Memory            int           `yaml:"memory"`
	Descriptors       int           `yaml:"descriptors"`
	HeartbeatInterval time.Duration `yaml:"heartbeat-interval"`
	// Contact is how long an instance is in reach before its promises count again.
	Contact time.Duration `yaml:"contact"`
	// Revocation is how long after its removal a key may still be used anywhere.
	Revocation time.Duration `yaml:"revocation"`
	// Drain is how long a process may go on after it is told to stop.
	Drain   time.Duration `yaml:"drain"`
	Retries Retries       `yaml:"retries"`
	Quota   Quota         `yaml:"quota"`
	Usage   Usage         `yaml:"usage"`
	// DutyLease is the span in which duties may not go back and forth.
	DutyLease time.Duration `yaml:"duty-lease"`
	Rollouts  Rollouts      `yaml:"rollouts"`
	Cloud     Cloud         `yaml:"cloud"`
}

// Retries bounds the attempts beyond the first over all entries.
type Retries struct {
	Ratio  float64       `yaml:"ratio"`
	Window time.Duration `yaml:"window"`
	Slack  float64       `yaml:"slack"`
}

// Quota says how limits of client accounts are judged.
type Quota struct {
	Window  time.Duration `yaml:"window"`
	Overage float64       `yaml:"overage"`
	Slack   float64       `yaml:"slack"`
}

// Rollouts bounds what a bad version may get while calls move to it.
type Rollouts struct {
	// ExposureShare is a part of all calls of the service until the time limit, and
	// ExposureSlack a number of calls more.
	ExposureShare float64 `yaml:"exposure-share"`
	ExposureSlack float64 `yaml:"exposure-slack"`
	// Resend is how long after an order the same one counts as sent again.
	Resend time.Duration `yaml:"resend"`
}

// Usage says how usage is reported.
type Usage struct {
	Window   time.Duration `yaml:"window"`
	Lateness time.Duration `yaml:"lateness"`
}

// Cloud is the platform's interface for usage and orders; an empty address stands for none.
type Cloud struct {
	Address        string  `yaml:"address"`
	CallsPerSecond float64 `yaml:"calls-per-second"`
}

// Defaults for what a deployment's settings leave out.
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
	// peerPortsNeeded is how many ports the processes of one instance listen on.
	peerPortsNeeded = 3
)

// ParseDeployment reads a process's settings; its error is of type Problems.
func ParseDeployment(file string, content []byte, role Role) (*Deployment, error) {
	s := &Deployment{}
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

func (s *Deployment) fillDefaults() {
	s.HeartbeatInterval = orDefault(s.HeartbeatInterval, defaultHeartbeatInterval)
	s.Contact = orDefault(s.Contact, defaultContact)
	s.Revocation = orDefault(s.Revocation, defaultRevocation)
	s.Drain = orDefault(s.Drain, defaultDeploymentDrain)
	s.Retries.Window = orDefault(s.Retries.Window, defaultWindow)
	s.Quota.Window = orDefault(s.Quota.Window, defaultWindow)
	s.Usage.Window = orDefault(s.Usage.Window, defaultUsageWindow)
	s.DutyLease = orDefault(s.DutyLease, defaultDutyLease)
	s.Rollouts.Resend = orDefault(s.Rollouts.Resend, defaultResend)
	if s.Rollouts.ExposureShare == 0 {
		s.Rollouts.ExposureShare = defaultExposureShare
	}
	if s.Memory == 0 {
		s.Memory = defaultMemory
	}
}

func (d *document) validateDeployment(s *Deployment, role Role) {
	if s.Name == "" {
		d.report("name", "", "a name", "name the instance")
	}
	if _, err := netip.ParseAddr(s.Address); err != nil {
		d.report("address", s.Address, "an IP address", "give the address that other instances reach this one at")
	}
	if len(s.PeerPorts) != 2 || s.PeerPorts[1]-s.PeerPorts[0]+1 < peerPortsNeeded {
		d.report("peer-ports", fmt.Sprint(s.PeerPorts), fmt.Sprintf("the first and last of at least %d ports", peerPortsNeeded),
			"give a free range that is the same on all instances")
	}
	if len(s.Seeds) == 0 {
		d.report("seeds", "", "at least one address", "name some control instances")
	}
	if share := s.Rollouts.ExposureShare; share < 0 || share > 1 || s.Rollouts.ExposureSlack < 0 {
		d.report("rollouts", fmt.Sprint(s.Rollouts), "an exposure-share from 0 to 1 and an exposure-slack of 0 or more",
			"give what a bad version may get of a service's calls")
	}
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

func (d *document) checkAddrPort(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.report(path, value, "an IP address and a port", "write it as 10.0.0.1:8080")
	}
}

// PeerAddress returns where the control process at a host answers other processes.
func (s *Deployment) PeerAddress(host string) string {
	return fmt.Sprintf("%s:%d", host, s.PeerPorts[0])
}

// OwnPeerAddress returns where this process answers other processes.
func (s *Deployment) OwnPeerAddress() string { return s.PeerAddress(s.Address) }

// MetricsAddress returns where this process serves its metrics and its dump.
func (s *Deployment) MetricsAddress() string {
	return fmt.Sprintf("%s:%d", s.Address, s.PeerPorts[0]+2)
}

// SeedPeers returns where the seeds answer other processes, in the order of the settings.
func (s *Deployment) SeedPeers() []string {
	peers := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if address, err := netip.ParseAddrPort(seed); err == nil {
			peers = append(peers, s.PeerAddress(address.Addr().String()))
		}
	}
	return peers
}

// Voters returns how many control instances carry the log, so that a majority
// is left when as many disks are lost as may be.
func (s *Deployment) Voters() int { return 2*s.LostDisks + 1 }
