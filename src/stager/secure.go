package stager

import (
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/parser"
)

const (
	certificateLifetime = 24 * time.Hour
	loopbackAddress     = "127.0.0.1"
	// operatorName is the operator whose certificate the cluster's own requests present.
	operatorName = "stage"
)

func baseURL(l parser.Listener) string {
	if l.Certificate == "" {
		return "http://" + l.Address
	}
	return "https://" + l.Address
}

func (c *Cluster) scheme() string {
	if c.TLS {
		return "https://"
	}
	return "http://"
}

// configureTLS issues a node's certificate and sets it on all of its listeners,
// unless the node already has one or the cluster runs without TLS.
func (c *Cluster) configureTLS(node *Node) error {
	if !c.TLS || node.Settings.Peers.Certificate != "" {
		return nil
	}
	files, err := c.IssueCertificate(certifier.Identity{
		Role: certifier.Role(node.role),
		Name: string(node.Settings.Name),
	})
	if err != nil {
		return err
	}
	for _, listener := range []*parser.Listener{
		&node.Settings.Peers, &node.Settings.Operators, &node.Settings.Upstreams, &node.Settings.Callers,
	} {
		address := listener.Address
		*listener = files
		listener.Address = address
	}
	// Callers authenticate with API keys, not with certificates.
	node.Settings.Callers.Authorities = ""
	return nil
}

// IssueCertificate issues a certificate for an identity; the first call generates the cluster's authority.
func (c *Cluster) IssueCertificate(identity certifier.Identity) (parser.Listener, error) {
	if c.authority == nil {
		issuer := &certifier.Authority{
			Folder:   filepath.Join(c.Folder, "certificates"),
			Lifetime: certificateLifetime,
		}
		if err := issuer.Generate(); err != nil {
			return parser.Listener{}, fmt.Errorf("generate the cluster's certificate authority: %w", err)
		}
		c.authority = issuer
	}
	return c.authority.Issue(identity, loopbackAddress)
}

// TLSFlags returns the command-line flags with which a program presents a
// certificate for an identity, or none where the cluster runs without TLS.
func (c *Cluster) TLSFlags(identity certifier.Identity) ([]string, error) {
	if !c.TLS {
		return nil, nil
	}
	files, err := c.IssueCertificate(identity)
	if err != nil {
		return nil, err
	}
	return tlsFlags(files), nil
}

func (c *Cluster) upstreamFlags(name string) ([]string, error) {
	return c.TLSFlags(certifier.Identity{
		Role: certifier.Upstream,
		Name: name,
	})
}

func tlsFlags(files parser.Listener) []string {
	return []string{
		"--certificate", files.Certificate, "--private-key", files.PrivateKey, "--authorities", files.Authorities,
	}
}

// OperatorClient returns an HTTP client that presents the certificate of an operator.
func (c *Cluster) OperatorClient() (*http.Client, error) {
	return c.ClientFor(certifier.Identity{
		Role: certifier.Operator,
		Name: operatorName,
	})
}

// ClientFor returns an HTTP client that presents the certificate of an identity.
func (c *Cluster) ClientFor(identity certifier.Identity) (*http.Client, error) {
	if !c.TLS {
		return http.DefaultClient, nil
	}
	files, err := c.IssueCertificate(identity)
	if err != nil {
		return nil, err
	}
	source := &certifier.Source{
		Files: files,
	}
	if _, err := source.Load(); err != nil {
		return nil, fmt.Errorf("load the cluster's certificate: %w", err)
	}
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: source.ClientConfig(certifier.Control, certifier.Entry, certifier.Upstream),
		},
	}, nil
}
