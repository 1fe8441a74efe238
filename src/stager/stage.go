package stager

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// Ports below the range that the system hands to outgoing connections, so
	// that none of those takes a port between its choice and its use.
	lowestPort   = 12000
	highestPort  = 30000
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	settingsMode = 0o600
)

// Stage is a set of real processes on loopback; its fields are set before use.
type Stage struct {
	// Folder holds settings, data and logs.
	Folder string
	// Program and Standin are the built programs.
	Program string
	Standin string
	// Timing goes into every process's settings.
	Timing parser.Timing
	// Voters goes into every process's settings; 0 leaves the default.
	Voters int
	// Secured runs every process over TLS, with certificates made in Folder.
	Secured bool

	Controls []*Node
	Entries  []*Node

	authority *certifier.Authority
	// processesMu guards processes, since several goroutines start programs.
	processesMu sync.Mutex
	processes   []*Process
	portsMu     sync.Mutex
	ports       map[int]bool
	// reserved are sockets whose names keep other stages from this one's ports.
	reserved []net.Listener
}

// Node is one control or entry process with its settings.
type Node struct {
	*Process
	Settings *parser.Settings
	path     string
	role     parser.Role
}

// OperatorURL returns the node's base URL for operators.
func (n *Node) OperatorURL() string { return baseURL(n.Settings.Operators) }

// CallerURL returns an entry's base URL for callers.
func (n *Node) CallerURL() string { return baseURL(n.Settings.Callers) }

// Address returns a free loopback address.
func (s *Stage) Address() string {
	s.portsMu.Lock()
	defer s.portsMu.Unlock()
	if s.ports == nil {
		s.ports = make(map[int]bool)
	}
	for {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if s.ports[port] || !s.reserve(port) {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		s.ports[port] = true
		return address
	}
}

// reserve keeps a port from other stages on this machine until this one stops. A
// port is free between its choice and its program's start; two stages that chose
// the same one would each lose a process, and a test would wait for it in vain.
func (s *Stage) reserve(port int) bool {
	held, err := net.Listen("unix", fmt.Sprintf("@rosecroft-port-%d", port))
	if err != nil {
		return false
	}
	s.reserved = append(s.reserved, held)
	return true
}

// StartFleet starts control and entry processes, spread over the data centres in turn.
func (s *Stage) StartFleet(controls, entries int, dataCentres []units.DataCentre) error {
	var addresses []parser.ControlAddress
	for i := range controls {
		addresses = append(addresses, parser.ControlAddress{
			Name:       units.Instance(fmt.Sprintf("c%d", i+1)),
			DataCentre: dataCentres[i%len(dataCentres)],
			Address:    s.Address(),
		})
	}
	for _, address := range addresses {
		node := &Node{
			role: parser.Control,
			Settings: &parser.Settings{
				Name:       address.Name,
				DataCentre: address.DataCentre,
				DataFolder: filepath.Join(s.Folder, string(address.Name)),
				Control:    addresses,
				Peers:      parser.Listener{Listen: address.Address},
			},
		}
		if err := s.Start(node); err != nil {
			return err
		}
		s.Controls = append(s.Controls, node)
	}
	for i := range entries {
		node := &Node{
			role: parser.Entry,
			Settings: &parser.Settings{
				Name:       units.Instance(fmt.Sprintf("e%d", i+1)),
				DataCentre: dataCentres[i%len(dataCentres)],
				Control:    addresses,
				Peers:      parser.Listener{Listen: s.Address()},
				Callers:    parser.Listener{Listen: s.Address()},
				Upstreams:  parser.Listener{Listen: s.Address()},
			},
		}
		if err := s.Start(node); err != nil {
			return err
		}
		s.Entries = append(s.Entries, node)
	}
	return nil
}

// Start starts a node, or starts it again with the settings it had.
func (s *Stage) Start(node *Node) error {
	if node.Settings.Operators.Listen == "" {
		node.Settings.Operators.Listen = s.Address()
	}
	if err := s.secure(node); err != nil {
		return err
	}
	node.Settings.InsecureLoopback = !s.Secured
	node.Settings.Timing = s.Timing
	node.Settings.Voters = s.Voters
	node.path = filepath.Join(s.Folder, string(node.Settings.Name)+".yaml")
	content, err := yaml.Marshal(node.Settings)
	if err != nil {
		return fmt.Errorf("form the settings of %s: %w", node.Settings.Name, err)
	}
	if err := os.WriteFile(node.path, content, settingsMode); err != nil {
		return fmt.Errorf("write the settings of %s: %w", node.Settings.Name, err)
	}
	node.Process, err = s.start(string(node.Settings.Name), s.Program, string(node.role), node.path)
	return err
}

// StartUpstream starts a stand-in that announces itself to every entry; kind is "engine" or "plain".
func (s *Stage) StartUpstream(kind, name string, arguments ...string) (*Upstream, error) {
	return s.StartUpstreamAt(s.Entries, kind, name, arguments...)
}

// StartUpstreamAt starts a stand-in that announces itself to the entries given alone.
func (s *Stage) StartUpstreamAt(hearers []*Node, kind, name string, arguments ...string) (*Upstream, error) {
	address := s.Address()
	entries := make([]string, 0, len(hearers))
	for _, entry := range hearers {
		entries = append(entries, baseURL(entry.Settings.Upstreams))
	}
	all := append([]string{
		kind, "--name", name, "--listen", address, "--entries", strings.Join(entries, ","),
	}, arguments...)
	certificate, err := s.upstreamFlags(name)
	if err != nil {
		return nil, err
	}
	all = append(all, certificate...)
	process, err := s.start(name, s.Standin, all...)
	if err != nil {
		return nil, err
	}
	return &Upstream{
		Process: process,
		URL:     s.scheme() + address,
	}, nil
}

// StartCloud starts the platform's stand-in, whose instances announce themselves to every entry.
func (s *Stage) StartCloud(arguments ...string) (*Upstream, error) {
	return s.StartUpstreamAt(s.Entries, "cloud", "cloud", arguments...)
}

// Upstream is one stand-in process.
type Upstream struct {
	*Process
	URL string
}

// AwaitReady waits until every entry that runs takes calls.
func (s *Stage) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, entry := range s.Entries {
		if !entry.Running() {
			continue
		}
		if err := s.awaitOK(ctx, entry.CallerURL()+"/readyz"); err != nil {
			return fmt.Errorf("%s is not ready: %w; see its log in %s", entry.Settings.Name, err, s.Folder)
		}
	}
	return nil
}

// AwaitHealthy waits until every control and entry process answers operators.
func (s *Stage) AwaitHealthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, node := range append(append([]*Node{}, s.Controls...), s.Entries...) {
		if err := s.awaitOK(ctx, node.OperatorURL()+"/healthz"); err != nil {
			return fmt.Errorf("%s does not answer: %w; see its log in %s", node.Settings.Name, err, s.Folder)
		}
	}
	return nil
}

func (s *Stage) awaitOK(ctx context.Context, url string) error {
	client, err := s.Client()
	if err != nil {
		return err
	}
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// ControlURLs returns the control instances' base URLs, separated by commas.
func (s *Stage) ControlURLs() string {
	urls := make([]string, 0, len(s.Controls))
	for _, control := range s.Controls {
		urls = append(urls, control.OperatorURL())
	}
	return strings.Join(urls, ",")
}

// Stop ends every process that the stage started, by its id.
func (s *Stage) Stop() {
	for _, process := range s.processes {
		if process.Running() {
			process.Signal(syscall.SIGCONT)
			process.Kill()
		}
	}
	s.portsMu.Lock()
	defer s.portsMu.Unlock()
	for _, held := range s.reserved {
		_ = held.Close()
	}
	s.reserved = nil
}
