package parser

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Settings is the settings file of one process, read at its start.
type Settings struct {
	Name       units.Instance   `yaml:"name"`
	DataCentre units.DataCentre `yaml:"data-centre"`
	Region     units.Region     `yaml:"region"`
	// DataFolder is required for control only.
	DataFolder string `yaml:"data-folder"`
	// Callers is the listener on which an entry accepts calls.
	Callers Listener `yaml:"callers"`
	// Upstreams is the listener on which an entry receives announcements of upstreams.
	Upstreams Listener `yaml:"upstreams"`
	// Operators is the listener for requests of operators and metrics scrapers.
	Operators Listener `yaml:"operators"`
	// Peers is the listener for requests of other processes of the system.
	Peers   Listener         `yaml:"peers"`
	Control []ControlAddress `yaml:"control"`
	// Voters is the number of control instances that vote in the replicated log; the
	// others are spares. It must be odd and the same in the settings of all of them.
	Voters int    `yaml:"voters"`
	Timing Timing `yaml:"timing"`
	// ClientLimits bounds what the clients of the process hold.
	ClientLimits ClientLimits `yaml:"client-limits"`
	// InsecureLoopback allows plain connections on loopback addresses.
	InsecureLoopback bool `yaml:"insecure-loopback"`
}

// Listener is a listening address with the certificate presented on it.
type Listener struct {
	Address     string `yaml:"listen"`
	Certificate string `yaml:"certificate"`
	PrivateKey  string `yaml:"private-key"`
	// Authorities is the file with the CA certificates that verify the peer's certificate.
	Authorities string `yaml:"authorities"`
}

// ControlAddress is the address of one control instance.
type ControlAddress struct {
	Name       units.Instance   `yaml:"name"`
	DataCentre units.DataCentre `yaml:"data-centre"`
	Address    string           `yaml:"address"`
}

// Timing holds the intervals and timeouts that can be tuned to a network; each has a default.
type Timing struct {
	HeartbeatInterval time.Duration `yaml:"heartbeat"`
	ElectionTimeout   time.Duration `yaml:"election"`
	// FenceTimeout is how long an entry continues to serve without contact to a majority.
	FenceTimeout time.Duration `yaml:"fence"`
	// ReplacementDelay is how long a voter may be unreachable before a spare replaces it.
	ReplacementDelay time.Duration `yaml:"repair"`
	// DrainTimeout is how long a planned stop waits for calls in flight to finish.
	DrainTimeout time.Duration `yaml:"drain"`
}

// Defaults for omitted settings.
const (
	defaultHeartbeat = 50 * time.Millisecond
	defaultElection  = 500 * time.Millisecond
	defaultFence     = 3 * time.Second
	defaultDrain     = 20 * time.Second
	defaultRepair    = 10 * time.Second
	// maxDefaultVoters bounds the default of Voters: every commit waits for a majority of the voters.
	maxDefaultVoters = 5
)

// Role is the kind of process that settings are for.
type Role string

// The roles of a process.
const (
	Entry   Role = "entry"
	Control Role = "control"
)

// ParseSettings returns the valid settings of a process, or Problems.
func ParseSettings(file string, content []byte, role Role) (*Settings, error) {
	s := &Settings{}
	d := decode(file, content, s)
	if !d.unreadable {
		d.validateSettings(s, role)
	}
	if err := d.problems.err(); err != nil {
		return nil, err
	}
	s.FillDefaults()
	return s, nil
}

// FillDefaults sets the omitted timing and number of voters.
func (s *Settings) FillDefaults() {
	s.Timing.HeartbeatInterval = orDefault(s.Timing.HeartbeatInterval, defaultHeartbeat)
	s.Timing.ElectionTimeout = orDefault(s.Timing.ElectionTimeout, defaultElection)
	s.Timing.FenceTimeout = orDefault(s.Timing.FenceTimeout, defaultFence)
	s.Timing.DrainTimeout = orDefault(s.Timing.DrainTimeout, defaultDrain)
	s.Timing.ReplacementDelay = orDefault(s.Timing.ReplacementDelay, defaultRepair)
	if s.Voters == 0 {
		s.Voters = min((len(s.Control)+1)/2*2-1, maxDefaultVoters)
	}
}

func (d *document) validateSettings(s *Settings, role Role) {
	checkName(d, "name", string(s.Name), false)
	checkName(d, "data-centre", string(s.DataCentre), false)
	d.checkListener("operators", s.Operators, s.InsecureLoopback)
	d.checkAuthorities("operators", s.Operators)
	d.checkListener("peers", s.Peers, s.InsecureLoopback)
	d.checkAuthorities("peers", s.Peers)
	if role == Entry {
		d.checkListener("callers", s.Callers, s.InsecureLoopback)
		d.checkListener("upstreams", s.Upstreams, s.InsecureLoopback)
		d.checkAuthorities("upstreams", s.Upstreams)
	}
	if role == Control && s.DataFolder == "" {
		d.report("data-folder", "", "a folder on a disk", "name the folder that control may write to")
	}
	d.validateControl(s, role)
	d.validateClientLimits(s.ClientLimits)
}

func (d *document) validateControl(s *Settings, role Role) {
	if len(s.Control) == 0 {
		d.report("control", "", "at least one instance", "list the instances that carry control")
	}
	if s.Voters < 0 || s.Voters > len(s.Control) || s.Voters != 0 && s.Voters%2 == 0 {
		d.report("voters", strconv.Itoa(s.Voters), "an odd number, at most that of the control instances",
			"write 3 or 5, or leave it out")
	}
	names := make(map[units.Instance]bool)
	for i, control := range s.Control {
		instancePath := fmt.Sprintf("control[%d]", i)
		checkName(d, instancePath+".name", string(control.Name), names[control.Name])
		checkAddress(d, instancePath+".address", control.Address)
		names[control.Name] = true
	}
	if role == Control && !names[s.Name] {
		d.report("name", string(s.Name), "a name listed under control", "add this instance to the list")
	}
}

func (d *document) checkListener(listenerPath string, l Listener, insecureLoopback bool) {
	checkAddress(d, listenerPath+".listen", l.Address)
	if l.Certificate != "" && l.PrivateKey != "" {
		return
	}
	if l.Certificate+l.PrivateKey+l.Authorities != "" {
		d.report(listenerPath+".certificate", l.Certificate, "a certificate and its private key",
			"name both files, or none on a loopback address with insecure-loopback")
		return
	}
	address, err := netip.ParseAddrPort(l.Address)
	loopback := err == nil && address.Addr().IsLoopback()
	if !insecureLoopback || !loopback {
		d.report(listenerPath+".certificate", l.Certificate, "a certificate and its private key",
			"name both files, or set insecure-loopback on a loopback address")
	}
}

// checkAuthorities requires peer verification on a listener whose clients can change state.
func (d *document) checkAuthorities(listenerPath string, l Listener) {
	if l.Certificate != "" && l.Authorities == "" {
		d.report(listenerPath+".authorities", "", "the authorities that sign the other end's certificates",
			"name the file with their certificates")
	}
}
