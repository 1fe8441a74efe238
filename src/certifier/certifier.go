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

// reloadInterval is the interval at which certificate files are checked for changes.
const reloadInterval = time.Second

// Certifier holds the certificates of one process.
type Certifier struct {
	Log zerolog.Logger

	// controlNames maps the peer address of each control instance to its name.
	controlNames map[string]units.Instance
	// Each of these is nil where the settings allow unencrypted loopback connections.
	callers   *Source
	upstreams *Source
	operators *Source
	peers     *Source
}

// New loads the certificates that the settings name and checks that the peer certificate is
// that of this process.
func New(settings *parser.Settings, role parser.Role, log zerolog.Logger) (*Certifier, error) {
	c := &Certifier{
		Log:          log,
		controlNames: make(map[string]units.Instance),
	}
	for _, instance := range settings.Control {
		c.controlNames[instance.Address] = instance.Name
	}
	for section, target := range map[string]struct {
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
			return nil, fmt.Errorf("%s: %w", section, err)
		}
		*target.source = source
	}
	return c, c.checkOwnIdentity(Role(role), settings.Name)
}

// checkOwnIdentity returns an error if the peer certificate is that of another process.
// Without this check at startup, every peer would refuse the certificate later.
func (c *Certifier) checkOwnIdentity(role Role, name units.Instance) error {
	if c.peers == nil {
		return nil
	}
	identity, err := c.peers.Identity()
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	if err := identity.RequireName(role, string(name)); err != nil {
		return fmt.Errorf("peers: the certificate belongs to another process: %w", err)
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

// CallerConfig returns the TLS configuration of the listener for callers, or nil for unencrypted
// loopback. Callers must present a certificate only where the settings name authorities for
// them.
func (c *Certifier) CallerConfig() *tls.Config {
	if c == nil || c.callers == nil {
		return nil
	}
	if c.callers.Files.Authorities == "" {
		return c.callers.ServerConfig(tls.NoClientCert)
	}
	return c.callers.ServerConfig(tls.RequireAndVerifyClientCert)
}

// UpstreamConfig returns the TLS configuration of the listener for upstreams' announcements, or
// nil for unencrypted loopback.
func (c *Certifier) UpstreamConfig() *tls.Config {
	if c == nil || c.upstreams == nil {
		return nil
	}
	return c.upstreams.ServerConfig(tls.RequireAndVerifyClientCert)
}

// OperatorConfig returns the TLS configuration of the listener for operators, or nil for
// unencrypted loopback. A client certificate is optional, since load balancers probe without
// one; without it, only the health endpoints are open.
func (c *Certifier) OperatorConfig() *tls.Config {
	if c == nil || c.operators == nil {
		return nil
	}
	return c.operators.ServerConfig(tls.VerifyClientCertIfGiven)
}

// PeerConfig returns the TLS configuration of the listener for the system's other processes, or
// nil for unencrypted loopback.
func (c *Certifier) PeerConfig() *tls.Config {
	if c == nil || c.peers == nil {
		return nil
	}
	return c.peers.ServerConfig(tls.RequireAndVerifyClientCert)
}

// PeerClientConfig returns the TLS configuration for connections to the system's other processes, or
// nil for unencrypted loopback.
func (c *Certifier) PeerClientConfig() *tls.Config {
	if c == nil || c.peers == nil {
		return nil
	}
	return c.peers.ClientConfig(Control, Entry)
}

// UpstreamClientConfig returns the TLS configuration for connections to upstreams that announce an
// https address, or nil for unencrypted loopback.
func (c *Certifier) UpstreamClientConfig() *tls.Config {
	if c == nil || c.upstreams == nil {
		return nil
	}
	return c.upstreams.ClientConfig(Upstream)
}

// VerifyControlServer returns an error if the server at a control instance's address is not that
// instance; such a server could otherwise send an entry a forged configuration.
func (c *Certifier) VerifyControlServer(address string, state *tls.ConnectionState) error {
	name, isControl := c.controlNames[address]
	if !isControl {
		return nil
	}
	identity, err := c.peers.ServerIdentity(state)
	if err != nil {
		return err
	}
	return identity.RequireName(Control, string(name))
}
