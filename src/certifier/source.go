package certifier

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"

	"github.com/rosecroft/rosecroft/src/parser"
)

// Source is a certificate, its private key and the authorities for verifying peers, loaded
// from files. Load must succeed before any other method is called.
type Source struct {
	Files parser.Listener

	current atomic.Pointer[credentials]
}

// credentials is the parsed content of the files as of the last successful load.
type credentials struct {
	// content is what all files contained, for detecting changes.
	content     []byte
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files and reports whether they changed. If they don't match, as in the
// middle of their replacement, the previous credentials stay in use.
func (s *Source) Load() (changed bool, err error) {
	certificate, err := os.ReadFile(s.Files.Certificate)
	if err != nil {
		return false, fmt.Errorf("read the certificate: %w", err)
	}
	key, err := os.ReadFile(s.Files.PrivateKey)
	if err != nil {
		return false, fmt.Errorf("read the private key: %w", err)
	}
	var authorities []byte
	if s.Files.Authorities != "" {
		if authorities, err = os.ReadFile(s.Files.Authorities); err != nil {
			return false, fmt.Errorf("read the authorities: %w", err)
		}
	}
	content := bytes.Join([][]byte{certificate, key, authorities}, []byte{0})
	if previous := s.current.Load(); previous != nil && bytes.Equal(previous.content, content) {
		return false, nil
	}
	loaded, err := s.parse(certificate, key, authorities)
	if err != nil {
		return false, err
	}
	loaded.content = content
	s.current.Store(loaded)
	return true, nil
}

func (s *Source) parse(certificate, key, authorities []byte) (*credentials, error) {
	keyPair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("%s and %s: %w; name a certificate and its own private key, in PEM",
			s.Files.Certificate, s.Files.PrivateKey, err)
	}
	parsed := &credentials{
		certificate: &keyPair,
	}
	if s.Files.Authorities == "" {
		return parsed, nil
	}
	parsed.authorities = x509.NewCertPool()
	if !parsed.authorities.AppendCertsFromPEM(authorities) {
		return nil, fmt.Errorf("%s contains no certificate; name the authorities' certificates, in PEM", s.Files.Authorities)
	}
	return parsed, nil
}

// Identity returns the identity that the source's own certificate states.
func (s *Source) Identity() (Identity, error) {
	return CertificateIdentity(s.current.Load().certificate.Leaf)
}

// ServerConfig returns the TLS configuration of a listener; each handshake uses the credentials
// loaded last.
func (s *Source) ServerConfig(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			inUse := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*inUse.certificate},
				ClientAuth:   auth,
				ClientCAs:    inUse.authorities,
				// A resumed session skips the verification against the
				// authorities, so that a removed authority would still be trusted.
				SessionTicketsDisabled: auth != tls.NoClientCert,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration for connections to processes with one of the roles.
//
// Processes are reached by IP address, so the identity in the certificate is verified
// instead of a host name.
func (s *Source) ClientConfig(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current.Load().certificate, nil
		},
		// VerifyConnection replaces the standard verification, which does not use
		// reloaded authorities and requires a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			identity, err := s.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth)
			if err != nil {
				return err
			}
			return identity.Require(roles...)
		},
	}
}

// ServerIdentity verifies the server's certificate on a client's connection and returns the
// identity that it states.
func (s *Source) ServerIdentity(state *tls.ConnectionState) (Identity, error) {
	return s.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth)
}

func (s *Source) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, errors.New("the peer presented no certificate; give it one")
	}
	options := x509.VerifyOptions{
		Roots:         s.current.Load().authorities,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	if options.Roots == nil {
		return Identity{}, errors.New("no authorities are configured; name the file of the authorities that sign the peer's certificate")
	}
	for _, intermediate := range chain[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return Identity{}, fmt.Errorf("verify the peer's certificate: %w; use certificates of one authority on both sides", err)
	}
	return CertificateIdentity(chain[0])
}
