package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// operatorTimeout is how long the operator waits for a response.
const operatorTimeout = time.Second

// heartbeatInterval is the time between two heartbeats of an engine, as on the carm-recall sheet.
const heartbeatInterval = 1200 * time.Millisecond

// The ports of every process, relative to the deployment's first port.
const (
	portPeers = iota
	portMetrics
	portLast
	portMain
	portReady
	portEngine
	portCount
)

// callerHost is the host of all routes, and serviceLLM and servicePlain are the services.
const (
	callerHost   = "h.example"
	serviceLLM   = "redactor"
	servicePlain = "registro"
)

// program is the build of the deploy file, relative to the root of the repository.
const program = "target/rosecroft"

// controlCount is the number of control processes, as on the carm-recall sheet.
const controlCount = 5

// member is one process of the system.
type member struct {
	role, name, ip, settings, log, data string
	firstStart                          bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// deployment is a small installation on loopback addresses, with the settings of the carm-recall sheet.
type deployment struct {
	folder    string
	firstPort int
	controls  []*member
	entries   []*member
	engines   []*engineProcess
	client    *http.Client
	record    *record
	keys      []string
	version   int
}

// newDeployment returns a deployment of which nothing is started yet. What it returns must be closed, also after an error.
func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		folder:    folder,
		firstPort: freePorts(),
		client:    &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		record:    r,
		keys:      []string{"key-one"},
	}
	for i := range controlCount {
		d.controls = append(d.controls, d.newMember("control", fmt.Sprintf("127.0.1.%d", i+1)))
	}
	return d, nil
}

// startDeployment returns a deployment of which all processes have been started.
func startDeployment(r *record, entries int) (*deployment, error) {
	d, err := newDeployment(r)
	if err != nil {
		return nil, err
	}
	return d, d.startAll(entries)
}

// startAll starts the control processes that are not started yet, and entries.
func (d *deployment) startAll(entries int) error {
	for _, m := range d.controls {
		if m.cmd != nil {
			continue
		}
		if err := d.start(m); err != nil {
			return err
		}
	}
	for range entries {
		if err := d.addEntry(); err != nil {
			return err
		}
	}
	return nil
}

// addEntry starts another entry.
func (d *deployment) addEntry() error {
	m := d.newMember("entry", fmt.Sprintf("127.0.2.%d", len(d.entries)+1))
	d.entries = append(d.entries, m)
	return d.start(m)
}

// freePorts returns the first of a few ports that are free on all addresses.
func freePorts() int {
	for {
		first := 20000 + rand.IntN(10000)
		free := true
		for port := first; port < first+portCount; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return first
		}
	}
}

func (d *deployment) members() []*member {
	return append(append([]*member(nil), d.controls...), d.entries...)
}

func (d *deployment) newMember(role, ip string) *member {
	return &member{
		role:       role,
		name:       role + "-" + ip,
		ip:         ip,
		settings:   filepath.Join(d.folder, role+"-"+ip+".yaml"),
		log:        filepath.Join(d.folder, role+"-"+ip+".log"),
		data:       filepath.Join(d.folder, "data-"+ip),
		firstStart: true,
	}
}

func (d *deployment) address(m *member, port int) string {
	return fmt.Sprintf("%s:%d", m.ip, d.firstPort+port)
}

// writeSettings writes what the template of the deploy file gives for the carm-recall sheet.
func (d *deployment) writeSettings(m *member) error {
	var seeds []string
	for _, c := range d.controls[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", d.address(c, portMain)))
	}
	text := fmt.Sprintf("name: %q\naddress: %q\ndata-centre: \"zone-a\"\n", m.name, m.ip)
	if m.role == "entry" {
		text += fmt.Sprintf("callers: %q\nreadiness: %q\n", d.address(m, portMain), d.address(m, portReady))
	} else {
		text += fmt.Sprintf("operators: %q\ndata-folder: %q\n", d.address(m, portMain), m.data)
	}
	text += fmt.Sprintf(`peer-ports: [%d, %d]
seeds: [%s]
first-start: %t
lost-disks: 2
memory: 284
descriptors: 4100
link-mbps: 1000.0
heartbeat-interval: 1200ms
contact: 3000ms
revocation: 5000ms
drain: 8s
retries: {ratio: 0.2, window: 10s, slack: 54}
quota: {window: 8s, overage: 0.1, slack: 140000}
usage: {window: 5s, lateness: 10s}
duty-lease: 3000ms
`, d.firstPort+portPeers, d.firstPort+portLast, strings.Join(seeds, ", "), m.firstStart)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(m *member) error {
	if err := d.writeSettings(m); err != nil {
		return err
	}
	m.firstStart = false
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, m.role)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "ROSECROFT_BOOT="+m.settings)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		// A killed process returns an error.
		_ = cmd.Wait()
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.exited = cmd, exited
	return nil
}

func (m *member) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		// An exited process accepts no signal.
		_ = m.cmd.Process.Signal(s)
	}
}

func (m *member) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	<-exited
}

// close ends all processes and removes their folder.
func (d *deployment) close() {
	if d == nil {
		return
	}
	for _, m := range d.members() {
		if m.cmd != nil {
			m.kill()
		}
	}
	for _, e := range d.engines {
		e.kill()
	}
	_ = os.RemoveAll(d.folder)
}

// controlAddresses returns the addresses for operators and engines.
func (d *deployment) controlAddresses() []string {
	var all []string
	for _, c := range d.controls {
		all = append(all, d.address(c, portMain))
	}
	return all
}

// How many connections an engine, and an instance of the plain service, accepts from all callers together.
const (
	llmConnections   = 360
	plainConnections = 100
)

// route is a route of a configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"path_prefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeout_ms"`
	TargetMs    int    `json:"target_latency_ms"`
	GapMs       int    `json:"target_gap_ms,omitempty"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	Sticky      bool   `json:"sticky_sessions"`
	Resumable   bool   `json:"resume_streams"`
}

// configuration returns the next version: confirmations that may run once, streams that may be resumed and streams
// that may not.
func (d *deployment) configuration() []byte {
	d.version++
	service := func(name string, connections int) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_connections": connections, "protocol": "h1", "tls": false}
	}
	routes := []route{
		{Name: "confirm", Prefix: "/confirm/", Kind: "non_idempotent", TimeoutMs: 800, TargetMs: 150, Priority: 2, Service: servicePlain, MaxAttempts: 1},
		{Name: "status", Prefix: "/status/", Kind: "idempotent", TimeoutMs: 800, TargetMs: 150, Priority: 2, Service: servicePlain, MaxAttempts: 2},
		{Name: "query", Prefix: "/query/", Kind: "streaming", TimeoutMs: 12000, TargetMs: 500, GapMs: 500, Service: serviceLLM, MaxAttempts: 1},
		{Name: "draft", Prefix: "/draft/", Kind: "streaming", TimeoutMs: 12000, TargetMs: 1000, GapMs: 500, Priority: 1, Service: serviceLLM, MaxAttempts: 2, Sticky: true, Resumable: true},
	}
	for i := range routes {
		routes[i].Host = callerHost
	}
	document, _ := json.Marshal(map[string]any{
		"version":  d.version,
		"routes":   routes,
		"services": []map[string]any{service(serviceLLM, llmConnections), service(servicePlain, plainConnections)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "acme", "api_keys": d.keys, "priority": 1, "unit": "tokens", "plain_tokens": 200}},
	})
	return document
}

// declareTimeout is how long the first configuration of a case may take.
const declareTimeout = 15 * time.Second

// declare sends a configuration until it is acknowledged.
func (d *deployment) declare(document []byte) error {
	if !d.sendUntilAcked(document, declareTimeout) {
		return fmt.Errorf("no configuration was acknowledged within %v", declareTimeout)
	}
	return nil
}

// post sends a call of an operator or an engine.
func (d *deployment) post(address, path string, body []byte) (int, error) {
	return post(d.client, address, path, body)
}

func post(client *http.Client, address, path string, body []byte) (int, error) {
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// servingTimeout is how long an entry may take until it serves.
const servingTimeout = 20 * time.Second

// awaitServing waits until each entry answers a stream.
func (d *deployment) awaitServing() error {
	var group errgroup.Group
	for _, entry := range d.entries {
		group.Go(func() error {
			deadline := time.Now().Add(servingTimeout)
			for d.call(entry).status != http.StatusOK {
				if time.Now().After(deadline) {
					return fmt.Errorf("%s did not answer within %v", entry.name, servingTimeout)
				}
				time.Sleep(operatorPause)
			}
			return nil
		})
	}
	return group.Wait()
}
