package certifier

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

// reloadInterval is how long a replaced certificate may go unnoticed.
const reloadInterval = time.Second

// Certifier holds the certificates of one process.
type Certifier struct {
	Log zerolog.Logger

	control map[string]units.Instance
	// Each is nil where the settings allow plain loopback.
	callers   *Source
	upstreams *Source
	operators *Source
	peers     *Source
}

// New loads what the settings name.
func New(settings *parser.Settings, role parser.Role, log zerolog.Logger) (*Certifier, error) {
	c := &Certifier{
		Log:     log,
		control: make(map[string]units.Instance),
	}
	for _, instance := range settings.Control {
		c.control[instance.Address] = instance.Name
	}
	for at, target := range map[string]struct {
		files  parser.Listener
		source **Source
	}{
		"callers":   {files: settings.Callers, source: &c.callers},
		"upstreams": {files: settings.Upstreams, source: &c.upstreams},
		"operators": {files: settings.Operators, source: &c.operators},
		"peers":     {files: settings.Peers, source: &c.peers},
	} {
		if target.files.Certificate == "" {
			continue
		}
		source := &Source{
			Files: target.files,
		}
		if _, err := source.Load(); err != nil {
			return nil, fmt.Errorf("%s: %w", at, err)
		}
		*target.source = source
	}
	return c, c.checkOwn(Role(role), settings.Name)
}

// checkOwn finds a certificate of another process at the start, which every
// peer would refuse later.
func (c *Certifier) checkOwn(role Role, name units.Instance) error {
	if c.peers == nil {
		return nil
	}
	identity, err := c.peers.Identity()
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	if err := identity.RequireName(role, string(name)); err != nil {
		return fmt.Errorf("peers: the certificate is another process's: %w", err)
	}
	return nil
}

// Run reloads changed files until ctx ends.
func (c *Certifier) Run(ctx context.Context) error {
	if c == nil {
		return nil
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.reload()
		}
	}
}

func (c *Certifier) reload() {
	for _, source := range []*Source{c.callers, c.upstreams, c.operators, c.peers} {
		if source == nil {
			continue
		}
		changed, err := source.Load()
		if err != nil {
			c.Log.Warn().Err(err).Msg("certificate-not-reloaded")
			continue
		}
		if changed {
			c.Log.Info().
				Str("certificate", source.Files.Certificate).
				Time("valid-until", source.current.Load().certificate.Leaf.NotAfter).
				Msg("certificate-reloaded")
		}
	}
}

// Callers returns the configuration for callers, or nil for plain loopback;
// callers show a certificate only where the settings name authorities for them.
func (c *Certifier) Callers() *tls.Config {
	if c == nil || c.callers == nil {
		return nil
	}
	if c.callers.Files.Authorities == "" {
		return c.callers.Server(tls.NoClientCert)
	}
	return c.callers.Server(tls.RequireAndVerifyClientCert)
}

// Upstreams returns the configuration for announcements, or nil for plain loopback.
func (c *Certifier) Upstreams() *tls.Config {
	if c == nil || c.upstreams == nil {
		return nil
	}
	return c.upstreams.Server(tls.RequireAndVerifyClientCert)
}

// Operators returns the configuration for operators, or nil for plain loopback.
// A balancer's probe may come without a certificate and sees the health alone.
func (c *Certifier) Operators() *tls.Config {
	if c == nil || c.operators == nil {
		return nil
	}
	return c.operators.Server(tls.VerifyClientCertIfGiven)
}

// Peers returns the configuration for the system's other processes, or nil for plain loopback.
func (c *Certifier) Peers() *tls.Config {
	if c == nil || c.peers == nil {
		return nil
	}
	return c.peers.Server(tls.RequireAndVerifyClientCert)
}

// ToPeers returns the configuration for connections to the system's other processes, or nil for plain loopback.
func (c *Certifier) ToPeers() *tls.Config {
	if c == nil || c.peers == nil {
		return nil
	}
	return c.peers.Client(Control, Entry)
}

// ToUpstreams returns the configuration for connections to upstreams that announce an https address.
func (c *Certifier) ToUpstreams() *tls.Config {
	if c == nil || c.upstreams == nil {
		return nil
	}
	return c.upstreams.Client(Upstream)
}

// CheckPeer refuses a server at a control instance's address that is not this
// instance: it could otherwise feed an entry a configuration of its own.
func (c *Certifier) CheckPeer(address string, state *tls.ConnectionState) error {
	name, isControl := c.control[address]
	if !isControl {
		return nil
	}
	identity, err := c.peers.ServerIdentity(state)
	if err != nil {
		return err
	}
	return identity.RequireName(Control, string(name))
}
