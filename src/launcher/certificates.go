package launcher

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/parser"
)

// certificateFlags are an operator's certificate and the CA certificates that verify the instances.
type certificateFlags struct {
	Certificate string `help:"Your client certificate, in PEM, for instances that require TLS." type:"existingfile" and:"tls"`
	PrivateKey  string `help:"Your certificate's private key, in PEM." type:"existingfile" and:"tls"`
	Authorities string `help:"CA certificates that verify the instances, in PEM." type:"existingfile" and:"tls"`
}

// client returns the HTTP client for requests to instances.
func (f *certificateFlags) client() (*http.Client, error) {
	if f.Certificate == "" {
		return &http.Client{Transport: capper.NewDefaultTransport()}, nil
	}
	source := &certifier.Source{
		Files: parser.Listener{
			Certificate: f.Certificate,
			PrivateKey:  f.PrivateKey,
			Authorities: f.Authorities,
		},
	}
	if _, err := source.Load(); err != nil {
		return nil, fmt.Errorf("load the certificate: %w", err)
	}
	return &http.Client{
		Transport: capper.NewTransport(&http.Transport{
			TLSClientConfig: source.ClientConfig(certifier.Control, certifier.Entry),
		}),
	}, nil
}

type makeCertificatesCommand struct {
	Folder   string        `arg:"" help:"Folder for the certificates and private keys."`
	Control  []string      `help:"Names of control instances."`
	Entry    []string      `help:"Names of entry instances."`
	Upstream []string      `help:"Names of upstreams."`
	Operator []string      `help:"Names of operators."`
	Host     []string      `help:"Host names and IP addresses at which callers reach the entries."`
	Lifetime time.Duration `help:"How long the certificates are valid." default:"2160h"`
}

// Run writes the certificates; the certificate authority's private key is not stored.
func (c *makeCertificatesCommand) Run(console *console) error {
	authority := &certifier.Authority{
		Folder:   c.Folder,
		Lifetime: c.Lifetime,
	}
	if err := authority.Generate(); err != nil {
		return err
	}
	for _, holders := range []struct {
		role  certifier.Role
		names []string
		hosts []string
	}{
		{role: certifier.Control, names: c.Control},
		{role: certifier.Entry, names: c.Entry, hosts: c.Host},
		{role: certifier.Upstream, names: c.Upstream},
		{role: certifier.Operator, names: c.Operator},
	} {
		for _, name := range holders.names {
			identity := certifier.Identity{
				Role: holders.role,
				Name: name,
			}
			files, err := authority.Issue(identity, holders.hosts...)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(console.out, "%s: %s\n", identity, files.Certificate)
		}
	}
	return nil
}
