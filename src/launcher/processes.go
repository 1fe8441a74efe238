package launcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"golang.org/x/sync/errgroup"

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/parser"
)

type entryCommand struct {
	Settings string `arg:"" help:"Settings file, in YAML." type:"existingfile"`
}

type controlCommand struct {
	Settings string `arg:"" help:"Settings file, in YAML." type:"existingfile"`
}

type runCommand struct {
	DataFolder string `help:"Folder for the data of control." default:"rosecroft-data"`
	Callers    string `help:"Listening address for callers." default:"127.0.0.1:8080"`
	Upstreams  string `help:"Listening address for announcements of upstreams." default:"127.0.0.1:8081"`
	Operators  string `help:"Listening address for operators." default:"127.0.0.1:8082"`
}

// Run runs an entry until ctx is cancelled.
func (c *entryCommand) Run(ctx context.Context, console *console) error {
	settings, err := readSettings(c.Settings, parser.Entry)
	if err != nil {
		return err
	}
	return runEntry(ctx, console, settings)
}

// Run runs a control instance until ctx is cancelled.
func (c *controlCommand) Run(ctx context.Context, console *console) error {
	settings, err := readSettings(c.Settings, parser.Control)
	if err != nil {
		return err
	}
	return runControl(ctx, console, settings)
}

// Run runs control and an entry in one process.
func (c *runCommand) Run(ctx context.Context, console *console) error {
	peers, err := freeAddress()
	if err != nil {
		return err
	}
	entryOperators, err := freeAddress()
	if err != nil {
		return err
	}
	entryPeers, err := freeAddress()
	if err != nil {
		return err
	}
	shared := parser.Settings{
		DataCentre:       "local",
		InsecureLoopback: true,
		Control: []parser.ControlAddress{{
			Name:    "control",
			Address: peers,
		}},
	}
	control := shared
	control.Name = "control"
	control.DataFolder = filepath.Clean(c.DataFolder)
	control.Peers.Address = peers
	control.Operators.Address = c.Operators
	control.FillDefaults()
	entry := shared
	entry.Name = "entry"
	entry.Callers.Address = c.Callers
	entry.Upstreams.Address = c.Upstreams
	entry.Operators.Address = entryOperators
	entry.Peers.Address = entryPeers
	entry.FillDefaults()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runControl(ctx, console, &control) })
	group.Go(func() error { return runEntry(ctx, console, &entry) })
	return group.Wait()
}

func readSettings(path string, role parser.Role) (*parser.Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the settings: %w", err)
	}
	return parser.ParseSettings(path, content, role)
}

func runControl(ctx context.Context, console *console, settings *parser.Settings) error {
	peers, err := listen(ctx, settings.Peers)
	if err != nil {
		return err
	}
	operators, err := listen(ctx, settings.Operators)
	if err != nil {
		return errors.Join(err, peers.Close())
	}
	process, cleanUp, err := buildControl(console, settings)
	if err != nil {
		return errors.Join(err, peers.Close(), operators.Close())
	}
	defer cleanUp()
	process.Peers = peers
	process.Operators = operators
	return process.Run(ctx)
}

func runEntry(ctx context.Context, console *console, settings *parser.Settings) error {
	process, cleanUp, err := buildEntry(console, settings)
	if err != nil {
		return err
	}
	defer cleanUp()
	targets := []struct {
		from parser.Listener
		to   *net.Listener
	}{
		{from: settings.Callers, to: &process.Callers},
		{from: settings.Upstreams, to: &process.Upstreams},
		{from: settings.Operators, to: &process.Operators},
		{from: settings.Peers, to: &process.Peers},
	}
	for _, target := range targets {
		listener, err := listen(ctx, target.from)
		if err != nil {
			return err
		}
		*target.to = listener
	}
	return process.Run(ctx)
}

func listen(ctx context.Context, l parser.Listener) (net.Listener, error) {
	config := net.ListenConfig{Control: admitter.BoundBuffers}
	listener, err := config.Listen(ctx, "tcp", l.Address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; choose a free port or stop the process that uses it", l.Address, err)
	}
	return listener, nil
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	return listener.Addr().String(), listener.Close()
}
