package parser

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Settings is what one process of the system is told at its start.
type Settings struct {
	Name       units.Instance   `yaml:"name"`
	DataCentre units.DataCentre `yaml:"data-centre"`
	Region     units.Region     `yaml:"region"`
	// DataFolder is needed for control only.
	DataFolder string `yaml:"data-folder"`
	// Callers is where an entry takes calls.
	Callers Listener `yaml:"callers"`
	// Upstreams is where an entry takes announcements.
	Upstreams Listener `yaml:"upstreams"`
	// Operators is where the process answers operators and metric scrapers.
	Operators Listener `yaml:"operators"`
	// Peers is where other processes of the system reach this one.
	Peers   Listener         `yaml:"peers"`
	Control []ControlAddress `yaml:"control"`
	// Voters is how many of the control instances carry the log; the others stand
	// by as spares. It is an odd number, the same in the settings of all of them.
	Voters int    `yaml:"voters"`
	Timing Timing `yaml:"timing"`
	// InsecureLoopback allows plain connections on loopback addresses.
	InsecureLoopback bool `yaml:"insecure-loopback"`
}

// Listener is one address with the certificate shown there.
type Listener struct {
	Listen      string `yaml:"listen"`
	Certificate string `yaml:"certificate"`
	PrivateKey  string `yaml:"private-key"`
	// Authorities verifies the other end's certificate.
	Authorities string `yaml:"authorities"`
}

// ControlAddress is one instance that carries control.
type ControlAddress struct {
	Name       units.Instance   `yaml:"name"`
	DataCentre units.DataCentre `yaml:"data-centre"`
	Address    string           `yaml:"address"`
}

// Timing holds the periods that can be tuned to a network; each has a default.
type Timing struct {
	Heartbeat time.Duration `yaml:"heartbeat"`
	Election  time.Duration `yaml:"election"`
	// Fence is how long an entry serves without contact to a majority.
	Fence time.Duration `yaml:"fence"`
	// Repair is how long a voter may be gone before a spare takes its place.
	Repair time.Duration `yaml:"repair"`
	// Drain is how long a planned stop waits for calls to finish.
	Drain time.Duration `yaml:"drain"`
}

// Defaults for timing that settings leave out.
const (
	defaultHeartbeat = 50 * time.Millisecond
	defaultElection  = 500 * time.Millisecond
	defaultFence     = 3 * time.Second
	defaultDrain     = 20 * time.Second
	defaultRepair    = 10 * time.Second
	// mostVoters bounds the default, since each change waits for a majority of them.
	mostVoters = 5
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

// FillDefaults sets the periods that were left out.
func (s *Settings) FillDefaults() {
	s.Timing.Heartbeat = orDefault(s.Timing.Heartbeat, defaultHeartbeat)
	s.Timing.Election = orDefault(s.Timing.Election, defaultElection)
	s.Timing.Fence = orDefault(s.Timing.Fence, defaultFence)
	s.Timing.Drain = orDefault(s.Timing.Drain, defaultDrain)
	s.Timing.Repair = orDefault(s.Timing.Repair, defaultRepair)
	if s.Voters == 0 {
		s.Voters = min((len(s.Control)+1)/2*2-1, mostVoters)
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
		at := fmt.Sprintf("control[%d]", i)
		checkName(d, at+".name", string(control.Name), names[control.Name])
		checkAddress(d, at+".address", control.Address)
		names[control.Name] = true
	}
	if role == Control && !names[s.Name] {
		d.report("name", string(s.Name), "a name listed under control", "add this instance to the list")
	}
}

func (d *document) checkListener(at string, l Listener, insecureLoopback bool) {
	checkAddress(d, at+".listen", l.Listen)
	if l.Certificate != "" && l.PrivateKey != "" {
		return
	}
	if l.Certificate+l.PrivateKey+l.Authorities != "" {
		d.report(at+".certificate", l.Certificate, "a certificate and its private key",
			"name both files, or none on a loopback address with insecure-loopback")
		return
	}
	address, err := netip.ParseAddrPort(l.Listen)
	loopback := err == nil && address.Addr().IsLoopback()
	if !insecureLoopback || !loopback {
		d.report(at+".certificate", l.Certificate, "a certificate and its private key",
			"name both files, or set insecure-loopback on a loopback address")
	}
}

// checkAuthorities wants the other end verified wherever a stranger could change something.
func (d *document) checkAuthorities(at string, l Listener) {
	if l.Certificate != "" && l.Authorities == "" {
		d.report(at+".authorities", "", "the authorities that sign the other end's certificates",
			"name the file with their certificates")
	}
}
