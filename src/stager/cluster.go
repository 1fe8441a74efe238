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
	// Ports below the system's ephemeral range, so that no outgoing connection
	// takes a port between its choice and its use.
	minPort          = 12000
	maxPort          = 30000
	readyTimeout     = 20 * time.Second
	pollInterval     = 20 * time.Millisecond
	settingsFileMode = 0o600
)

// Cluster is a fleet of real processes on loopback; its exported fields are set
// before use, except Controls and Entries, which StartFleet fills.
type Cluster struct {
	// Folder holds the settings, data and log files of all processes.
	Folder string
	// Program and Standin are the paths of the built programs.
	Program string
	Standin string
	// Timing is copied into every process's settings.
	Timing parser.Timing
	// Voters is copied into every process's settings; 0 leaves the default.
	Voters int
	// TLS runs every process over TLS, with certificates made in Folder.
	TLS bool

	Controls []*Node
	Entries  []*Node

	authority *certifier.Authority
	// processesMu guards processes, since several goroutines start them.
	processesMu sync.Mutex
	processes   []*Process
	portsMu     sync.Mutex
	usedPorts   map[int]bool
	// portLocks are Unix sockets whose names keep other clusters from choosing this one's ports.
	portLocks []net.Listener
}

// Node is one control or entry process with its settings.
type Node struct {
	*Process
	Settings     *parser.Settings
	settingsPath string
	role         parser.Role
}

// OperatorURL returns the node's base URL for operators.
func (n *Node) OperatorURL() string { return baseURL(n.Settings.Operators) }

// CallerURL returns an entry's base URL for callers.
func (n *Node) CallerURL() string { return baseURL(n.Settings.Callers) }

// FreeAddress returns a free loopback address and locks its port for this cluster.
func (c *Cluster) FreeAddress() string {
	c.portsMu.Lock()
	defer c.portsMu.Unlock()
	if c.usedPorts == nil {
		c.usedPorts = make(map[int]bool)
	}
	for {
		port := minPort + rand.IntN(maxPort-minPort)
		if c.usedPorts[port] || !c.lockPort(port) {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		c.usedPorts[port] = true
		return address
	}
}

// lockPort keeps other clusters on this machine from choosing a port until this one
// stops. A port is unbound between its choice and its program's start: two clusters
// that chose the same one would each lose a process, and a test would wait for it
// until its timeout.
func (c *Cluster) lockPort(port int) bool {
	listener, err := net.Listen("unix", fmt.Sprintf("@rosecroft-port-%d", port))
	if err != nil {
		return false
	}
	c.portLocks = append(c.portLocks, listener)
	return true
}

// StartFleet starts control and entry processes, assigned to the data centres round-robin.
func (c *Cluster) StartFleet(controls, entries int, dataCentres []units.DataCentre) error {
	var addresses []parser.ControlAddress
	for i := range controls {
		addresses = append(addresses, parser.ControlAddress{
			Name:       units.Instance(fmt.Sprintf("c%d", i+1)),
			DataCentre: dataCentres[i%len(dataCentres)],
			Address:    c.FreeAddress(),
		})
	}
	for _, address := range addresses {
		node := &Node{
			role: parser.Control,
			Settings: &parser.Settings{
				Name:       address.Name,
				DataCentre: address.DataCentre,
				DataFolder: filepath.Join(c.Folder, string(address.Name)),
				Control:    addresses,
				Peers:      parser.Listener{Address: address.Address},
			},
		}
		if err := c.Start(node); err != nil {
			return err
		}
		c.Controls = append(c.Controls, node)
	}
	for i := range entries {
		node := &Node{
			role: parser.Entry,
			Settings: &parser.Settings{
				Name:       units.Instance(fmt.Sprintf("e%d", i+1)),
				DataCentre: dataCentres[i%len(dataCentres)],
				Control:    addresses,
				Peers:      parser.Listener{Address: c.FreeAddress()},
				Callers:    parser.Listener{Address: c.FreeAddress()},
				Upstreams:  parser.Listener{Address: c.FreeAddress()},
			},
		}
		if err := c.Start(node); err != nil {
			return err
		}
		c.Entries = append(c.Entries, node)
	}
	return nil
}

// Start starts a node, or restarts it with the settings that it had.
func (c *Cluster) Start(node *Node) error {
	if node.Settings.Operators.Address == "" {
		node.Settings.Operators.Address = c.FreeAddress()
	}
	if err := c.configureTLS(node); err != nil {
		return err
	}
	node.Settings.InsecureLoopback = !c.TLS
	node.Settings.Timing = c.Timing
	node.Settings.Voters = c.Voters
	node.settingsPath = filepath.Join(c.Folder, string(node.Settings.Name)+".yaml")
	content, err := yaml.Marshal(node.Settings)
	if err != nil {
		return fmt.Errorf("encode the settings of %s: %w", node.Settings.Name, err)
	}
	if err := os.WriteFile(node.settingsPath, content, settingsFileMode); err != nil {
		return fmt.Errorf("write the settings of %s: %w", node.Settings.Name, err)
	}
	node.Process, err = c.startProcess(string(node.Settings.Name), c.Program, string(node.role), node.settingsPath)
	return err
}

// StartUpstream starts a stand-in that announces itself to every entry; kind is "engine" or "plain".
func (c *Cluster) StartUpstream(kind, name string, arguments ...string) (*Upstream, error) {
	return c.StartUpstreamFor(c.Entries, kind, name, arguments...)
}

// StartUpstreamFor starts a stand-in that announces itself only to the given entries.
func (c *Cluster) StartUpstreamFor(announceTo []*Node, kind, name string, arguments ...string) (*Upstream, error) {
	address := c.FreeAddress()
	entryURLs := make([]string, 0, len(announceTo))
	for _, entry := range announceTo {
		entryURLs = append(entryURLs, baseURL(entry.Settings.Upstreams))
	}
	commandLine := append([]string{
		kind, "--name", name, "--listen", address, "--entries", strings.Join(entryURLs, ","),
	}, arguments...)
	certificateFlags, err := c.upstreamFlags(name)
	if err != nil {
		return nil, err
	}
	commandLine = append(commandLine, certificateFlags...)
	process, err := c.startProcess(name, c.Standin, commandLine...)
	if err != nil {
		return nil, err
	}
	return &Upstream{
		Process: process,
		URL:     c.scheme() + address,
	}, nil
}

// StartCloud starts the stand-in for the platform's cloud API, whose instances
// announce themselves to every entry.
func (c *Cluster) StartCloud(arguments ...string) (*Upstream, error) {
	return c.StartUpstreamFor(c.Entries, "cloud", "cloud", arguments...)
}

// Upstream is a stand-in process and its base URL.
type Upstream struct {
	*Process
	URL string
}

// AwaitReady waits until every running entry reports that it is ready for calls.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, entry := range c.Entries {
		if !entry.Running() {
			continue
		}
		if err := c.awaitStatusOK(ctx, entry.CallerURL()+"/readyz"); err != nil {
			return fmt.Errorf("%s is not ready: %w; see its log in %s", entry.Settings.Name, err, c.Folder)
		}
	}
	return nil
}

// AwaitHealthy waits until every control and entry process passes its health check
// on the operators' listener.
func (c *Cluster) AwaitHealthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, node := range append(append([]*Node{}, c.Controls...), c.Entries...) {
		if err := c.awaitStatusOK(ctx, node.OperatorURL()+"/healthz"); err != nil {
			return fmt.Errorf("%s does not answer: %w; see its log in %s", node.Settings.Name, err, c.Folder)
		}
	}
	return nil
}

func (c *Cluster) awaitStatusOK(ctx context.Context, url string) error {
	client, err := c.OperatorClient()
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
func (c *Cluster) ControlURLs() string {
	urls := make([]string, 0, len(c.Controls))
	for _, control := range c.Controls {
		urls = append(urls, control.OperatorURL())
	}
	return strings.Join(urls, ",")
}

// Stop kills every running process that the cluster started, by its ID, also suspended ones,
// and releases its ports.
func (c *Cluster) Stop() {
	for _, process := range c.processes {
		if process.Running() {
			process.Signal(syscall.SIGCONT)
			process.Kill()
		}
	}
	c.portsMu.Lock()
	defer c.portsMu.Unlock()
	for _, portLock := range c.portLocks {
		_ = portLock.Close()
	}
	c.portLocks = nil
}
