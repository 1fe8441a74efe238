package main

import (
	"errors"
	"fmt"
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
)

const (
	controlCount = 5
	entryCount   = 3
	// contact is the bound contact_ms of the site, and heartbeatInterval its heartbeat_interval_ms.
	contact           = 3 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	portCount         = 8
	apiKey            = "i9n73hh2b9wu3fexd9dn"
)

// fleet is a small deployment of the program with its clients, engines, operator and platform.
type fleet struct {
	program string
	folder  string
	// network is the second byte of all addresses.
	network   int
	firstPort int
	record    *record
	controls  []*process
	entries   []*process
	cloud     *http.Server
	client    *http.Client

	mu      sync.Mutex
	engines []*engine
	closed  bool
}

// process is one process of the program.
type process struct {
	fleet    *fleet
	role     string
	name     string
	address  string
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func newFleet(program string, log *record) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("find the program: %w; build it by the build line of deploy/system.toml", err)
	}
	folder, err := os.MkdirTemp("", "rosecroft-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		program: program,
		folder:  folder,
		network: 64 + rand.IntN(128),
		record:  log,
		client: &http.Client{
			Timeout:   time.Second,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
	if f.firstPort, err = freePorts(); err != nil {
		return nil, err
	}
	for i := range controlCount {
		f.controls = append(f.controls, f.newProcess("control", i+1))
	}
	for i := range entryCount {
		f.entries = append(f.entries, f.newProcess("entry", i+1))
	}
	return f, f.startCloud()
}

// freePorts returns the first of portCount ports that are free on all addresses.
func freePorts() (int, error) {
	const tries, lowest, span = 200, 20000, 10000
	for range tries {
		first := lowest + rand.IntN(span)
		if areFree(first) {
			return first, nil
		}
	}
	return 0, errors.New("found no free ports")
}

func areFree(first int) bool {
	for port := first; port < first+portCount; port++ {
		probe, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port))
		if err != nil {
			return false
		}
		_ = probe.Close()
	}
	return true
}

// addressOf returns the loopback address of the nth machine of a class.
func (f *fleet) addressOf(class, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.network, class, n)
}

// The classes of addresses.
const (
	classControl = iota + 1
	classEntry
	classEngine
	classCloud
)

func (f *fleet) newProcess(role string, n int) *process {
	class := classControl
	if role == "entry" {
		class = classEntry
	}
	name := fmt.Sprintf("%s-%d", role, n)
	return &process{
		fleet:    f,
		role:     role,
		name:     name,
		address:  f.addressOf(class, n),
		settings: filepath.Join(f.folder, name+".yaml"),
	}
}

// outsideAddress is where clients call an entry, and engines and the operator a control process.
func (p *process) outsideAddress() string {
	return fmt.Sprintf("%s:%d", p.address, p.fleet.firstPort+3)
}

// writeSettings writes what the template of the deploy file makes of the fields of the site carm-recall.
func (p *process) writeSettings(firstStart bool) error {
	f := p.fleet
	seeds := make([]string, 0, 3)
	for _, c := range f.controls[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", c.outsideAddress()))
	}
	lines := []string{
		fmt.Sprintf("name: %q", p.name),
		fmt.Sprintf("address: %q", p.address),
		"data-centre: \"talca-a\"",
	}
	memory, descriptors := 284, 4100
	if p.role == "control" {
		memory, descriptors = 280, 4096
		lines = append(lines, fmt.Sprintf("operators: %q", p.outsideAddress()), fmt.Sprintf("data-folder: %q", filepath.Join(f.folder, "data-"+p.name)))
	} else {
		lines = append(lines, fmt.Sprintf("callers: %q", p.outsideAddress()), fmt.Sprintf("readiness: \"%s:%d\"", p.address, f.firstPort+4))
	}
	lines = append(lines,
		fmt.Sprintf("peer-ports: [%d,%d]", f.firstPort, f.firstPort+2),
		fmt.Sprintf("seeds: [%s]", strings.Join(seeds, ",")),
		fmt.Sprintf("first-start: %t", firstStart),
		"lost-disks: 2",
		fmt.Sprintf("memory: %d", memory),
		fmt.Sprintf("descriptors: %d", descriptors),
		"link-mbps: 1000.0",
		fmt.Sprintf("heartbeat-interval: %dms", heartbeatInterval.Milliseconds()),
		fmt.Sprintf("contact: %dms", contact.Milliseconds()),
		"revocation: 5000ms",
		"drain: 8s",
		"retries: {ratio: 0.2, window: 10s, slack: 54}",
		"quota: {window: 8s, overage: 0.1, slack: 140000}",
		"usage: {window: 5s, lateness: 10s}",
		"duty-lease: 3000ms",
		fmt.Sprintf("cloud: {address: %q, calls-per-second: 50.0}", f.cloudAddress()),
	)
	return os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the process by the command of the deploy file.
func (p *process) start(firstStart bool) error {
	if err := p.writeSettings(firstStart); err != nil {
		return err
	}
	output, err := os.OpenFile(p.logPath(), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(p.fleet.program, p.role)
	cmd.Env = []string{"ROSECROFT_BOOT=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		// How it ended does not matter.
		_ = cmd.Wait()
		close(exited)
	}()
	p.fleet.record.add("start %s", p.name)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.fleet.record.add("signal %s %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// ended returns a channel that is closed once the process has ended, nil if it was never started.
func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// awaitExit waits for the end of the process.
func (p *process) awaitExit() {
	if exited := p.ended(); exited != nil {
		<-exited
	}
}

// lastWords returns the last line of the process's output that tells of a panic, "" for none.
func (p *process) lastWords() string {
	content, err := os.ReadFile(p.logPath())
	if err != nil {
		return err.Error()
	}
	found := ""
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "panic: ") {
			found = strings.TrimSpace(line)
		}
	}
	return found
}

func (p *process) logPath() string { return filepath.Join(p.fleet.folder, p.name+".log") }

func (f *fleet) processes() []*process {
	return append(append([]*process(nil), f.controls...), f.entries...)
}

// start starts all processes for the first time.
func (f *fleet) start() error {
	for _, p := range f.processes() {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and engines.
func (f *fleet) close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	engines := f.engines
	f.mu.Unlock()
	for _, p := range f.processes() {
		p.signal(syscall.SIGKILL)
		p.awaitExit()
	}
	for _, e := range engines {
		e.end()
	}
	_ = f.cloud.Close()
	if kept := os.Getenv("KEEP"); kept != "" {
		fmt.Println("kept", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

func (f *fleet) cloudAddress() string {
	return fmt.Sprintf("%s:%d", f.addressOf(classCloud, 1), f.firstPort+3)
}

// startCloud starts the platform's API, which accepts all calls.
func (f *fleet) startCloud() error {
	listener, err := net.Listen("tcp", f.cloudAddress())
	if err != nil {
		return err
	}
	f.cloud = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = f.cloud.Serve(listener) }()
	return nil
}
